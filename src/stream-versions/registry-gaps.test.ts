import { createEndpointKnowledge } from '../gateway/endpoint-knowledge.js';
import type { EndpointKnowledge } from '../gateway/endpoint-knowledge.js';
import type { FeedRow } from '../knowledge/feed.js';
import type { RoutedCall } from '../calls/call-messages.js';
import { hashStartId } from '../placement/remote-loads.js';
import { describe } from '../test/describe.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import { SILENT_STREAM_OBSERVER } from '../test/simulated-stream-store.js';
import { SERVING_MAX_MS, createStreamFleet } from '../test/stream-fleet.js';
import { CALL_KIND } from '../types/traffic.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { hashVersion } from './stream-binding.js';
import type { BindingMessage } from './binding-messages.js';
import { createStreamLife } from './stream-life.js';
import { createStreamVersions } from './stream-versions.js';
import type { StreamChoice, StreamVersions } from './stream-versions.js';

const POOL = 'engines';
const SETTLED_MS = 40_000;
const LIFE_MS = 10_000;
/** Time by which a watch answers later than a look. */
const UPDATE_LATE_MS = 50;
const UNREADABLE = 'odd';

function buildEndpoint(id: string, softwareVersion: string): RegisteredEndpoint {
  return {
    id,
    startId: `${id}@${softwareVersion}`,
    pool: POOL,
    address: id,
    dataCentre: 'd',
    slots: 1,
    isLeaving: false,
    isSpot: false,
    softwareVersion,
  };
}

/** The value of a row is the version of its endpoint. */
function decodeEndpoint({ key, value }: FeedRow): RegisteredEndpoint | undefined {
  return value === undefined || value === UNREADABLE ? undefined : buildEndpoint(key, value);
}

/** A store that tells the last change of each row only, as the platform's does. */
interface Registry {
  set(id: string, version: string | undefined): void;
  getRevision(): number;
  listSince(revision: number): FeedRow[];
  setReachable(isReachable: boolean): void;
  isReachable(): boolean;
}

function createRegistry(): Registry {
  const rows = new Map<string, FeedRow & { readonly revision: number }>();
  let revision = 1;
  let isReachable = true;
  return {
    setReachable(next) {
      isReachable = next;
    },
    isReachable: () => isReachable,
    set(key, value) {
      revision += 1;
      rows.delete(key);
      rows.set(key, { key, value, revision });
    },
    getRevision: () => revision,
    listSince: (since) => [...rows.values()].filter((row) => row.revision > since),
  };
}

interface Watcher {
  readonly streams: StreamVersions;
  readonly sent: BindingMessage[];
  readonly knowledge: EndpointKnowledge;
  /** Receives the answer of the watch. */
  update(): void;
  runFor(ms: number): void;
}

/** One instance with its own view of a registry; its peers never answer. */
function createWatcher(registry: Registry): Watcher {
  let nowMs = 0;
  const sent: BindingMessage[] = [];
  const life = createStreamLife(() => nowMs);
  life.recordStored(0);
  const knowledge = createEndpointKnowledge({
    log: { write: () => undefined },
    getNow: () => nowMs,
    decodeEndpoint,
    onEndpointStarted: () => undefined,
    onEndpointEnded: () => undefined,
    onEndpointsApplied: (isGap) => streams.recordRegistry(isGap),
  });
  const streams: StreamVersions = createStreamVersions({
    self: 'self',
    getNow: () => nowMs,
    listAlive: () => ['self', 'other'].map((name) => ({ name, dataCentre: 'd' })),
    listRegistered: () => knowledge.directory.listAll(),
    find: (id) => knowledge.directory.find(id),
    isViewConfirmed: () => true,
    isViewContinuous: () => knowledge.getRevision() > 0 && !knowledge.directory.hasUnreadable(),
    getRegistryRevision: () => knowledge.getRevision(),
    getChangeRevision: () => knowledge.getContentRevision(),
    startLook(since, onEnded) {
      if (!registry.isReachable()) {
        onEnded(undefined);
        return;
      }
      const rows = registry.listSince(since);
      const present = rows.map(decodeEndpoint).filter((endpoint) => endpoint !== undefined);
      const removed = rows.filter(({ value }) => value === undefined).map(({ key }) => key);
      onEnded({ revision: registry.getRevision(), present, removed, sentMs: nowMs });
    },
    life,
    getCoveredMs: () => life.get() + SERVING_MAX_MS,
    resolveStored: () => ({ kind: 'unknown' }),
    send: (message) => sent.push(message),
    observer: SILENT_STREAM_OBSERVER,
  });
  const buildAnswer = () => ({
    revision: registry.getRevision(),
    sourceNowMs: nowMs,
    sentMs: nowMs,
  });
  knowledge.applyList(registry.listSince(0), buildAnswer());
  return {
    streams,
    sent,
    knowledge,
    update: () =>
      knowledge.applyChanges(registry.listSince(knowledge.getRevision()), buildAnswer()),
    runFor(ms) {
      for (const endMs = nowMs + ms; nowMs < endMs;) {
        nowMs += 25;
        streams.advanceLooks();
        if (nowMs % 100 === 0) streams.advance();
      }
    },
  };
}

function buildStreamCall(changes: Partial<RoutedCall>): RoutedCall {
  const route = { ...buildSimulatedRoute('stream', {}), kind: CALL_KIND.ResumableStream };
  const source = { route, sharedTokens: 1, ownTokens: 1, outputTokens: 1, callsPerSecond: 1 };
  const call = buildCall(source, 'first', 0, createRandom(1));
  return { ...call, pool: POOL, organisation: 'own', ...changes };
}

/** Takes up a stream that another instance began on v2. */
function takeUp({ streams, runFor }: Watcher, changes: Partial<RoutedCall> = {}): StreamChoice {
  const call = buildStreamCall({
    callId: 'next',
    lastEventId: '1',
    resumedCallId: 'elsewhere',
    ...changes,
  });
  let choice = streams.resolve(call);
  while (choice.kind === 'wait') {
    runFor(25);
    choice = streams.resolve(call);
  }
  return choice;
}

/** The same, while the watch answers a little later. */
function takeUpBeforeUpdate(watcher: Watcher): StreamChoice {
  const call = buildStreamCall({ callId: 'n', lastEventId: '1', resumedCallId: 'elsewhere' });
  if (watcher.streams.resolve(call).kind === 'wait') watcher.runFor(UPDATE_LATE_MS);
  watcher.update();
  return takeUp(watcher);
}

function startWatched(): { readonly registry: Registry; readonly watcher: Watcher } {
  const registry = createRegistry();
  registry.set('a', 'v1');
  registry.set('b', 'v1');
  const watcher = createWatcher(registry);
  watcher.runFor(SETTLED_MS);
  return { registry, watcher };
}

const UNKNOWN: StreamChoice = { kind: 'unknown' };

describe('a version that nobody saw', ({ it }) => {
  it('leaves the conclusion of a calm registry', (t) => {
    const { watcher } = startWatched();
    t.deepEqual(takeUp(watcher), { kind: 'bound', version: hashVersion('v1') });
  });

  // Guards against refusing streams whenever an endpoint comes, is changed or goes.
  it('leaves it to the watch which of them came and went, if that answers a little later', (t) => {
    for (const [id, version] of [
      ['a', undefined],
      ['a', 'v1'],
      ['c', 'v1'],
    ] as const) {
      const { registry, watcher } = startWatched();
      registry.set(id, version);
      const expected = { kind: 'bound', version: hashVersion('v1') } as const;
      t.deepEqual(takeUpBeforeUpdate(watcher), expected, `${id} ${version}`);
    }
    const { registry, watcher } = startWatched();
    registry.set('c', 'v2');
    t.deepEqual(takeUpBeforeUpdate(watcher), UNKNOWN);
  });

  // Guards against an endpoint that came back under its id with other software and left before the look.
  it('is not passed over by a look, if its endpoint has a known id and went', (t) => {
    const { registry, watcher } = startWatched();
    registry.set('a', 'v2');
    registry.set('a', undefined);
    t.deepEqual(takeUp(watcher), UNKNOWN);
  });

  // Guards against an endpoint whose software was changed and changed back before the look.
  it('is not passed over by a look, if its endpoint has its old version again', (t) => {
    const { registry, watcher } = startWatched();
    registry.set('a', 'v2');
    registry.set('a', 'v1');
    t.deepEqual(takeUp(watcher), UNKNOWN);
  });

  // Guards against a removed id that came back with other software and went within one answer of the watch.
  it('is not passed over by the memory, if its id was known as removed', (t) => {
    const { registry, watcher } = startWatched();
    registry.set('a', undefined);
    watcher.update();
    watcher.runFor(LIFE_MS);
    registry.set('a', 'v2');
    registry.set('a', undefined);
    watcher.update();
    t.deepEqual(takeUp(watcher), UNKNOWN);
  });

  // Guards against an entry that this release cannot read, while another serves the endpoint.
  it('is not passed over by the memory, if its entry could not be read', (t) => {
    const { registry, watcher } = startWatched();
    registry.set('c', UNREADABLE);
    watcher.update();
    t.deepEqual(takeUp(watcher), UNKNOWN);
  });

  // Guards against a list in several pages, whose later rows are newer than its revision.
  it('is not passed over by one that adopts the revision of others after a list in pages', (t) => {
    const registry = createRegistry();
    registry.set('a', 'v1');
    const watcher = createWatcher(registry);
    watcher.runFor(SETTLED_MS);
    const { knowledge } = watcher;
    const listRevision = registry.getRevision() + 1;
    registry.set('z', 'v1');
    // Between the first page and the last: one is added to the first, one to the last.
    registry.set('aa', 'v2');
    registry.set('zz', 'v1');
    const paged = registry.listSince(0).filter(({ key }) => key !== 'aa');
    knowledge.applyList(paged, { revision: listRevision, sourceNowMs: 0, sentMs: 0 });
    knowledge.recordUnchanged(registry.getRevision(), registry.getRevision() + 5);
    t.true(knowledge.getRevision() <= listRevision, `revision ${knowledge.getRevision()}`);
    t.true(
      knowledge.getContentRevision() <= listRevision,
      `last change ${knowledge.getContentRevision()}`,
    );
  });

  // Guards against a life that only the instance knows that began the stream.
  it('is not passed over by one that does not know how long the caller tries', (t) => {
    const { registry, watcher } = startWatched();
    registry.set('c', 'v2');
    watcher.update();
    // Another instance begins a stream here on c, for a caller that names 60 s.
    registry.set('c', undefined);
    watcher.update();
    watcher.runFor(20_000);
    t.deepEqual(takeUp(watcher, { callerTimeoutMs: 40_000 }), UNKNOWN);
  });
});

describe('a stream of a start that is not the registered one', ({ it }) => {
  // Guards against a look that agrees because the registry has not noticed the other software yet.
  it('is not concluded by an instance that was not told of it', (t) => {
    const { registry, watcher } = startWatched();
    const first = createWatcher(registry);
    first.runFor(SETTLED_MS);
    const old = buildEndpoint('a', 'v1');
    first.streams.recordEnded(hashStartId(old.startId));
    first.streams.recordStarted(buildStreamCall({ callId: 'elsewhere' }), old);
    for (const message of first.sent)
      if (message.kind === 'told') watcher.streams.handleTold(message.groups, 'first');
    t.deepEqual(takeUp(watcher), UNKNOWN);
  });
});

describe('a take-up that was refused while the registry could not be read', ({ it }) => {
  // Guards against a refusal that outlives its reason, since the query is kept for its next try.
  it('goes on at its next try, once it can be read', (t) => {
    const { registry, watcher } = startWatched();
    registry.setReachable(false);
    t.deepEqual(takeUp(watcher), UNKNOWN);
    registry.setReachable(true);
    watcher.runFor(500);
    t.deepEqual(takeUp(watcher), { kind: 'bound', version: hashVersion('v1') });
  });
});

describe('streams that an instance begins by an old view of the registry', ({ it }) => {
  function startLagging(lagMs: number) {
    const fleet = createStreamFleet({
      instances: 7,
      random: createRandom(3),
      lossProbability: 0,
    });
    fleet.setVersions(['v1']);
    fleet.runFor(SETTLED_MS);
    fleet.setLag(0, 60_000);
    fleet.setVersions(['v2']);
    fleet.runFor(lagMs);
    const stream = fleet.startAt(0);
    // Too late to tell: its instance ends at once.
    fleet.stop(0);
    fleet.runFor(LIFE_MS - 1000);
    return { fleet, stream };
  }

  // Guards against the age of the configuration, taken for that of the registry.
  for (const lagMs of [8000, 16_000]) {
    it(`are not joined by others, if only its view of the registry is ${lagMs} ms old`, (t) => {
      const { fleet, stream } = startLagging(lagMs);
      t.is(stream, undefined);
      t.is(fleet.startAt(1)?.version, 'v2');
    });
  }

  // Guards against a conclusion that covers less than the age of a view that begins streams.
  it('are not joined by others, if its view of the registry is as old as it may be', (t) => {
    const { fleet, stream } = startLagging(SERVING_MAX_MS - 100);
    t.is(stream?.version, 'v1');
    if (stream !== undefined) t.is(fleet.resumeAt(1, stream).version, undefined);
  });
});
