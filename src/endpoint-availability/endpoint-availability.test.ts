import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { hashStartId } from '../placement/remote-loads.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { LEAVING_MEMORY_MS } from './availability-ledger.js';
import type { NoticeChange } from './availability-ledger.js';
import { NO_NOTICE } from './availability-notice.js';
import type { AvailabilityNotice } from './availability-notice.js';
import { createEndpointAvailability } from './endpoint-availability.js';

const POOL = 'engines';

function buildEndpoint(id: string, start = 1): RegisteredEndpoint {
  return {
    id,
    startId: `${id}@${start}`,
    pool: POOL,
    address: id,
    dataCentre: 'd',
    slots: 4,
    isLeaving: false,
    isSpot: false,
    softwareVersion: 'v1',
  };
}

function createHarness() {
  const first = buildEndpoint('first');
  const second = buildEndpoint('second');
  const changes: NoticeChange[] = [];
  const unreadable: string[] = [];
  const refused: string[] = [];
  const state = { nowMs: 0, registered: [first, second] as readonly RegisteredEndpoint[] };
  const availability = createEndpointAvailability({
    getNow: () => state.nowMs,
    listRegistered: () => state.registered,
    isRegistered: () => true,
    countInstances: () => 2,
    random: createRandom(1),
    observer: {
      onChanged: (change) => changes.push(change),
      onUnreadable: (_, text) => unreadable.push(text),
      onRefused: ({ callId }) => refused.push(callId),
    },
  });
  const listIds = (): string[] => availability.listOpen(POOL).map(({ id }) => id);
  return { availability, first, second, state, changes, unreadable, refused, listIds };
}

const REST_MS = 3000;
const RESTING: AvailabilityNotice = { isLeaving: false, rest: { kind: 'rest', restMs: REST_MS } };
/** End of the rest at an instance that waits longest beyond it. */
const REST_END_MAX_MS = REST_MS * 1.1;

/** Builds a call that arrives at 0 and may wait for two fifths of its time. */
function buildWaitingCall(callId: string, timeoutMs: number) {
  const route = buildSimulatedRoute('call', { timeoutMs });
  const simulated = { route, sharedTokens: 1, ownTokens: 1, outputTokens: 1, callsPerSecond: 1 };
  return { ...buildCall(simulated, callId, 0, createRandom(1)), pool: POOL };
}

const LEAVING = { ...NO_NOTICE, isLeaving: true };

describe('endpoint availability', ({ describe: block, it: test }) => {
  block('an endpoint that is leaving', ({ it }) => {
    it('takes no requests until it starts anew', (t) => {
      const { availability, first, second, state, listIds } = createHarness();
      availability.recordAnswer(first, LEAVING);
      t.deepEqual(listIds(), ['second']);
      t.false(availability.isAvailable(first));
      state.registered = [buildEndpoint('first', 2), second];
      t.deepEqual(listIds(), ['first', 'second']);
    });

    // Guards against an answer under way, or a success, that undoes what was said before.
    it('stays so after an answer that does not say it', (t) => {
      const { availability, first, listIds } = createHarness();
      availability.recordAnswer(first, LEAVING);
      availability.recordAnswer(first, NO_NOTICE);
      t.deepEqual(listIds(), ['second']);
    });

    // Guards against a line and four reports for each call in flight at a leaving endpoint.
    it('is reported once however many answers say so', (t) => {
      const { availability, first, state, changes } = createHarness();
      for (let answer = 0; answer < 20; answer += 1) {
        state.nowMs += 20;
        availability.recordAnswer(first, { isLeaving: true, rest: RESTING.rest });
      }
      t.deepEqual(
        changes.map(({ change, notice }) => `${notice.kind} ${change}`),
        ['leaving learned', 'resting learned'],
      );
    });

    // Guards against an endpoint that stays after all and would idle for ever.
    it('is used again after a long time in which nobody heard it say so', (t) => {
      const { availability, first, state, listIds, changes } = createHarness();
      availability.recordAnswer(first, LEAVING);
      state.nowMs = LEAVING_MEMORY_MS;
      availability.advance();
      t.deepEqual(listIds(), ['first', 'second']);
      t.deepEqual(
        changes.map(({ change }) => change),
        ['learned', 'ended'],
      );
    });

    it('is forgotten when its start has ended', (t) => {
      const { availability, first, listIds } = createHarness();
      availability.recordAnswer(first, LEAVING);
      availability.remove(first.startId);
      t.deepEqual(listIds(), ['first', 'second']);
      t.deepEqual(availability.list(), []);
    });
  });

  block('an endpoint that asked for rest', ({ it }) => {
    it('takes no requests until its rest is over', (t) => {
      const { availability, first, state, listIds } = createHarness();
      availability.recordAnswer(first, RESTING);
      t.deepEqual(listIds(), ['second']);
      state.nowMs = REST_MS - 1;
      t.deepEqual(listIds(), ['second']);
      state.nowMs = REST_END_MAX_MS;
      t.deepEqual(listIds(), ['first', 'second']);
    });

    // Guards against a rest that a shorter one, or a success under way, ends early.
    it('rests until the end of the longest of several rests', (t) => {
      const { availability, first, state, listIds } = createHarness();
      availability.recordAnswer(first, RESTING);
      state.nowMs = 100;
      availability.recordAnswer(first, { ...RESTING, rest: { kind: 'rest', restMs: 50 } });
      availability.recordAnswer(first, NO_NOTICE);
      state.nowMs = REST_MS - 1;
      t.deepEqual(listIds(), ['second']);
    });
  });

  block('a pool whose every endpoint rests', ({ it }) => {
    // Guards against a refusal of calls that have time to wait, and a wait of those that have not.
    it('lets calls wait that have time left and refuses the others', (t) => {
      const { availability, first, second, refused, state } = createHarness();
      availability.recordAnswer(first, RESTING);
      availability.recordAnswer(second, RESTING);
      t.is(availability.choose(buildWaitingCall('patient', 20_000), []).kind, 'wait');
      const choice = availability.choose(buildWaitingCall('hurried', 2000), []);
      t.deepEqual(refused, ['hurried']);
      t.true(choice.kind === 'refuse' && (choice.failure.retryAfterMs ?? 0) >= REST_MS);
      state.nowMs = REST_END_MAX_MS;
      t.is(availability.choose(buildWaitingCall('patient', 20_000), []).kind, 'open');
    });

    // Guards against more calls at the end of the rest than the endpoints have places.
    it('lets no more calls wait than its share of the places', (t) => {
      const { availability, first, second } = createHarness();
      availability.recordAnswer(first, RESTING);
      availability.recordAnswer(second, RESTING);
      const kinds = Array.from(
        { length: 6 },
        (_, index) => availability.choose(buildWaitingCall(`c${index}`, 20_000), []).kind,
      );
      t.deepEqual(kinds, ['wait', 'wait', 'wait', 'wait', 'refuse', 'refuse']);
    });

    // Guards against a wait for an endpoint that rests while another takes the call at once.
    it('is open again as soon as one endpoint takes requests', (t) => {
      const { availability, first } = createHarness();
      availability.recordAnswer(first, RESTING);
      t.is(availability.choose(buildWaitingCall('c', 20_000), []).kind, 'open');
      t.is(availability.computeReturnMs(POOL), 0);
    });
  });

  block('what another instance reports', ({ it }) => {
    it('is that an endpoint is leaving, or rests and is used only if there is no other', (t) => {
      const { availability, first, second, listIds, state } = createHarness();
      const start = hashStartId(first.startId);
      const other = hashStartId(second.startId);
      availability.merge([{ endpoint: start, leavingAgoMs: 10, restLeftMs: 0 }], 'peer');
      availability.merge([{ endpoint: other, leavingAgoMs: undefined, restLeftMs: 900 }], 'peer');
      t.deepEqual(listIds(), ['second']);
      t.true(availability.isRestingElsewhere(second));
      state.nowMs = 900;
      t.false(availability.isRestingElsewhere(second));
    });

    // Guards against two instances that keep a notice alive by sending it back and forth.
    it('does not become younger by coming back', (t) => {
      const { availability, first, state } = createHarness();
      availability.recordAnswer(first, { isLeaving: true, rest: RESTING.rest });
      const ends = availability.list().map(({ untilMs }) => untilMs);
      for (let round = 0; round < 20; round += 1) {
        state.nowMs += 100;
        const reports = availability.takeReports();
        state.nowMs += 100;
        availability.merge(reports, 'peer');
      }
      const lastMs = Math.max(...availability.list().map(({ untilMs }) => untilMs));
      t.true(lastMs <= Math.max(...ends) + 500);
    });
  });

  // Guards against any order of answers, reports and time that opens an endpoint too early, or never.
  test('opens an endpoint exactly when nothing that it said is in force', (t) => {
    const step = fc.record({
      waitMs: fc.integer({ min: 0, max: 2000 }),
      act: fc.constantFrom('leaving', 'rest', 'none', 'told leaving', 'told rest', 'advance'),
      restMs: fc.integer({ min: 1, max: 5000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const { availability, first, state } = createHarness();
        const start = hashStartId(first.startId);
        let isLeaving = false;
        let restEndMs = 0;
        for (const { waitMs, act, restMs } of steps) {
          state.nowMs += waitMs;
          const rest = { kind: 'rest', restMs } as const;
          if (act === 'leaving') availability.recordAnswer(first, LEAVING);
          if (act === 'rest') availability.recordAnswer(first, { ...NO_NOTICE, rest });
          if (act === 'none') availability.recordAnswer(first, NO_NOTICE);
          if (act === 'advance') availability.advance();
          const leavingAgoMs = act === 'told leaving' ? restMs : undefined;
          const restLeftMs = act === 'told rest' ? restMs : 0;
          if (act.startsWith('told'))
            availability.merge([{ endpoint: start, leavingAgoMs, restLeftMs }], 'peer');
          isLeaving ||= act === 'leaving' || act === 'told leaving';
          if (act === 'rest') restEndMs = Math.max(restEndMs, state.nowMs + restMs);
          const isOpen = availability.listOpen(POOL).includes(first);
          t.is(isOpen, availability.isAvailable(first));
          if (isLeaving || state.nowMs < restEndMs) t.false(isOpen);
          // Instances return spread over a tenth of the rest.
          if (!isLeaving && state.nowMs >= restEndMs + 500) t.true(isOpen);
        }
      }),
      { numRuns: 200, seed: 1 },
    );
  });

  // Guards against placements that each build the list of a large pool.
  test('returns the same list until something changes', (t) => {
    const { availability, first } = createHarness();
    availability.recordAnswer(first, LEAVING);
    t.is(availability.listOpen(POOL), availability.listOpen(POOL));
  });

  test('reports a rest that cannot be read', (t) => {
    const { availability, first, unreadable } = createHarness();
    availability.recordAnswer(first, { ...NO_NOTICE, rest: { kind: 'unreadable', text: 'soon' } });
    t.deepEqual(unreadable, ['soon']);
  });
});
