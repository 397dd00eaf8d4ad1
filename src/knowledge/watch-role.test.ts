import { describe } from '../test/describe.js';
import { LEADING_WATCHERS, WATCHERS_MIN, createWatchRoleSelector } from './watch-role.js';
import type { WatchCandidate, WatchRole } from './watch-role.js';

/** A fleet whose instances are assigned to data centres in turn. */
function buildFleet(instances: number, dataCentres: number): WatchCandidate[] {
  return Array.from({ length: instances }, (_, index) => ({
    name: `front-${index}`,
    dataCentre: `dc-${index % dataCentres}`,
  }));
}

const FLEET = buildFleet(195, 5);
const UPTIME_MS = 10_000;

/** The role of an instance that has run for ten seconds, by the age of its data. */
function computeRole(
  self: string,
  alive: readonly WatchCandidate[],
  knowledgeAgeMs = 500,
): WatchRole {
  const input = { self, alive, knowledgeAgeMs, hasContacts: true };
  return createWatchRoleSelector(0).advance(input, UPTIME_MS);
}

function listWatching(alive: readonly WatchCandidate[], knowledgeAgeMs?: number): string[] {
  return alive
    .map(({ name }) => name)
    .filter((name) => computeRole(name, alive, knowledgeAgeMs).kind === 'watch');
}

describe('watch role', ({ it }) => {
  it('selects one watcher per data centre, two of them leading', (t) => {
    const watching = listWatching(FLEET);
    const dataCentres = FLEET.filter(({ name }) => watching.includes(name)).map(
      ({ dataCentre }) => dataCentre,
    );
    t.deepEqual(dataCentres.sort(), ['dc-0', 'dc-1', 'dc-2', 'dc-3', 'dc-4']);
    const leading = watching.filter((name) => {
      const role = computeRole(name, FLEET);
      return role.kind === 'watch' && role.isLeading;
    });
    t.is(leading.length, LEADING_WATCHERS);
  });

  it('selects at least three watchers, or all of a smaller fleet', (t) => {
    t.is(listWatching(buildFleet(9, 1)).length, WATCHERS_MIN);
    t.is(listWatching(buildFleet(2, 1)).length, 2);
    t.is(computeRole('a', []).kind, 'watch');
  });

  // Guards against refused requests when the store turns away just the watchers, and against a
  // whole fleet calling the store at once.
  it('adds watchers as data ages, up to the whole fleet before keys are refused', (t) => {
    const counts = [2200, 2450, 2850, 3250, 4450].map((ageMs) => listWatching(FLEET, ageMs).length);
    t.deepEqual(counts, [5, 10, 20, 40, 195]);
  });

  // Guards against a request storm while the store is down and the whole fleet watches.
  it('increases the retry delay with the rank of the watcher', (t) => {
    const perSecond = FLEET.reduce((sum, { name }) => {
      const role = computeRole(name, FLEET, 60_000);
      return sum + (role.kind === 'watch' ? 1 / role.pauseFactor : 0);
    }, 0);
    t.true(perSecond < 30, `${perSecond} times the rate of one watcher`);
  });

  // Guards against many instances calling the store when their clocks jump, although peers can tell
  // them the time.
  it('does not add watchers at once when clocks jump', (t) => {
    const self = FLEET.find(({ name }) => computeRole(name, FLEET).kind === 'follow')?.name ?? '';
    const selector = createWatchRoleSelector(0);
    const advance = (knowledgeAgeMs: number, nowMs: number): string =>
      selector.advance({ self, alive: FLEET, knowledgeAgeMs, hasContacts: true }, nowMs).kind;
    t.is(advance(500, 20_000), 'follow');
    t.is(advance(Infinity, 20_300), 'follow');
    t.is(advance(Infinity, 21_400), 'follow');
    t.is(advance(Infinity, 28_000), 'watch');
  });

  it('keeps watching for a while after it is no longer needed', (t) => {
    const self = FLEET.find(({ name }) => computeRole(name, FLEET).kind === 'follow')?.name ?? '';
    const selector = createWatchRoleSelector(0);
    const advance = (knowledgeAgeMs: number, nowMs: number): string =>
      selector.advance({ self, alive: FLEET, knowledgeAgeMs, hasContacts: true }, nowMs).kind;
    t.is(advance(500, 6000), 'follow');
    t.is(advance(4000, 7000), 'watch');
    t.is(advance(500, 11_000), 'watch');
    t.is(advance(500, 12_500), 'follow');
  });

  // Guards against every instance watching when a whole fleet starts and nobody knows the others
  // yet.
  it('follows peers at the start if it knows addresses of others', (t) => {
    const selector = createWatchRoleSelector(0);
    const alone = buildFleet(1, 1);
    const advance = (knowledgeAgeMs: number, hasContacts: boolean, nowMs: number): string =>
      selector.advance({ self: 'front-0', alive: alone, knowledgeAgeMs, hasContacts }, nowMs).kind;
    t.is(advance(Infinity, true, 0), 'follow');
    t.is(advance(Infinity, true, 1400), 'follow');
    t.is(advance(300, true, 3000), 'follow');
    t.is(advance(Infinity, true, 1600), 'watch');
    t.is(
      createWatchRoleSelector(0).advance(
        { self: 'a', alive: [], knowledgeAgeMs: Infinity, hasContacts: false },
        0,
      ).kind,
      'watch',
    );
  });

  it('replaces a watcher that dies', (t) => {
    const [dead] = listWatching(FLEET);
    const left = FLEET.filter(({ name }) => name !== dead);
    t.is(listWatching(left).length, 5);
  });
});
