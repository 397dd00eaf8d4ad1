import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { LEAVING_MEMORY_MS } from './availability-ledger.js';
import type { NoticeChange } from './availability-ledger.js';
import { NO_NOTICE } from './availability-notice.js';
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
  };
}

function createHarness() {
  const first = buildEndpoint('first');
  const second = buildEndpoint('second');
  const changes: NoticeChange[] = [];
  const unreadable: string[] = [];
  const state = { nowMs: 0, registered: [first, second] as readonly RegisteredEndpoint[] };
  const availability = createEndpointAvailability({
    getNow: () => state.nowMs,
    listRegistered: () => state.registered,
    observer: {
      onChanged: (change) => changes.push(change),
      onUnreadable: (_, text) => unreadable.push(text),
    },
  });
  const listIds = (): string[] => availability.listOpen(POOL).map(({ id }) => id);
  return { availability, first, second, state, changes, unreadable, listIds };
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
