import fc from 'fast-check';
import { SlotEnding } from '../gen/peer_pb.js';
import { createInvariants } from '../runtime/invariants.js';
import { describe } from '../test/describe.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import type { ClassDeclaration, EndpointDeclaration } from '../types/declarations.js';
import { createRandom } from '../utils/random.js';
import { createShardOwner } from './shard-owner.js';

const CLASSES = new Map<string, ClassDeclaration>(
  ['counter', 'reorder', 'history'].map((name, tier) => [
    name,
    { name, tier, firstTokenMs: 1000, betweenTokensMs: 100, deadlineMs: 10_000, floor: 0.1 },
  ]),
);

function buildEndpoints(count: number, slots: number): EndpointDeclaration[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `engine-${index}`,
    pool: 'models',
    url: 'http://127.0.0.1:1',
    dataCentre: 'one',
    slots,
  }));
}

function createOwner(endpoints: number, slots: number) {
  const owner = createShardOwner({
    shard: 'models/0',
    random: createRandom(1),
    invariants: createInvariants((breach) => {
      throw new Error(`${breach.name}: ${breach.detail}`);
    }),
  });
  const configure = {
    kind: 'configure' as const,
    classes: CLASSES,
    weights: () => 1,
    endpoints: buildEndpoints(endpoints, slots),
  };
  owner.handle(configure, 0);
  const held = new Map<string, string>();

  function recordAll(messages: readonly AddressedMessage[]): AddressedMessage[] {
    for (const { body } of messages) {
      if (body.case === 'grantSlot') held.set(body.value.ticketId, body.value.endpoint);
    }
    return [...messages];
  }

  return {
    owner,
    held,
    post(ticketId: string, className: string, nowMs: number, organisation = 'depot') {
      return recordAll(
        owner.handle(
          {
            kind: 'post',
            from: 'entry-1',
            ticket: {
              $typeName: 'hyssoptally.peer.v1.PostTicket',
              ticketId,
              shard: 'models/0',
              className,
              organisation,
              model: '',
              expectedTokens: 10,
              remainingMs: 10_000,
              prefixHash: 0,
              preemptible: true,
              excludedEndpoints: [],
              waitedMs: 0,
              resumed: false,
              first: true,
            },
          },
          nowMs,
        ),
      );
    },
    release(
      ticketId: string,
      nowMs: number,
      ending = SlotEnding.COMPLETED,
      tokens = 10,
      stepMs = 0,
      restMs = 0,
    ) {
      const endpoint = held.get(ticketId) ?? '';
      held.delete(ticketId);
      return recordAll(
        owner.handle(
          {
            kind: 'release',
            from: 'entry-1',
            release: {
              $typeName: 'hyssoptally.peer.v1.ReleaseSlot',
              ticketId,
              shard: 'models/0',
              endpoint,
              tokens,
              stepMs,
              firstTokenMs: 0,
              ending,
              restMs,
            },
          },
          nowMs,
        ),
      );
    },
    tick: (nowMs: number) => recordAll(owner.handle({ kind: 'tick' }, nowMs)),
  };
}

function listGranted(messages: readonly AddressedMessage[]): string[] {
  return messages.flatMap(({ body }) => (body.case === 'grantSlot' ? [body.value.ticketId] : []));
}

function listRefused(messages: readonly AddressedMessage[]): string[] {
  return messages.flatMap(({ body }) =>
    body.case === 'refuseTicket' ? [body.value.ticketId] : [],
  );
}

describe('shard owner', ({ describe: describeInner, it }) => {
  describeInner('tiers', ({ it: itInner }) => {
    itInner('are served in order', (t) => {
      const shard = createOwner(1, 1);
      shard.post('running', 'counter', 0);
      shard.post('low', 'history', 1);
      shard.post('high', 'counter', 2);
      t.deepEqual(listGranted(shard.release('running', 3)), ['high']);
    });

    itInner('preempt a lower tier for a request that waits too long', (t) => {
      const shard = createOwner(1, 1);
      shard.post('low', 'history', 0);
      shard.post('high', 'counter', 10);
      t.deepEqual(shard.tick(50), []);
      const [preempted] = shard.tick(200);
      t.is(preempted?.body.case, 'preemptSlot');
      t.deepEqual(listGranted(shard.release('low', 210, SlotEnding.CANCELLED)), ['high']);
    });

    itInner('are shed lowest first when the queue is full', (t) => {
      const shard = createOwner(1, 1);
      shard.post('running', 'counter', 0);
      const refused: string[] = [];
      for (let index = 0; index < 33; index += 1) {
        const className = index % 2 === 0 ? 'history' : 'reorder';
        refused.push(...listRefused(shard.post(`${className}-${index}`, className, 1)));
      }
      refused.push(...listRefused(shard.post('high', 'counter', 2)));
      t.true(refused.length > 0);
      t.true(refused.every((ticketId) => ticketId.startsWith('history')));
    });
  });

  it('serves the floor of a low tier during a burst of the highest', (t) => {
    // Guards against starvation of lower tiers by strict tier order.
    const shard = createOwner(1, 4);
    const served = new Map<string, number>();
    for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
      shard.post(`counter-${nowMs}`, 'counter', nowMs);
      if (nowMs % 200 === 0) shard.post(`history-${nowMs}`, 'history', nowMs);
      shard.tick(nowMs);
      const [oldest] = shard.held.keys();
      if (oldest !== undefined && nowMs % 100 === 0) {
        shard.release(oldest, nowMs);
        const name = oldest.split('-')[0] ?? '';
        served.set(name, (served.get(name) ?? 0) + 1);
      }
    }
    t.true((served.get('history') ?? 0) >= 10, JSON.stringify([...served]));
    t.true((served.get('counter') ?? 0) > (served.get('history') ?? 0) * 4);
  });

  it('gives organisations equal tokens, not equal requests', (t) => {
    // Guards against an organisation with long responses that takes most of the capacity.
    const shard = createOwner(1, 1);
    shard.post('running', 'reorder', 0);
    for (let index = 0; index < 14; index += 1) {
      shard.post(`long-${index}`, 'reorder', 0, 'long');
      shard.post(`short-${index}`, 'reorder', 0, 'short');
    }
    const order: string[] = [];
    let current = 'running';
    for (let index = 0; index < 12; index += 1) {
      const tokens = current.startsWith('long') ? 100 : 10;
      [current = ''] = listGranted(shard.release(current, index + 1, SlotEnding.COMPLETED, tokens));
      order.push(current.split('-')[0] ?? '');
    }
    const long = order.filter((name) => name === 'long').length;
    t.true(long <= 3, order.join(' '));
  });

  describeInner('a new owner', ({ it: itInner }) => {
    itInner('counts slots that instances still hold', (t) => {
      // Guards against granting slots twice after a change of owner.
      const shard = createOwner(1, 2);
      const held = ['old-1', 'old-2'].map((ticketId) => ({
        $typeName: 'hyssoptally.peer.v1.HeldSlot' as const,
        ticketId,
        endpoint: 'engine-0',
        className: 'counter',
        organisation: 'depot',
        preemptible: true,
        tokens: 3,
        stepMs: 0,
        floor: false,
      }));
      shard.owner.handle({ kind: 'holdings', from: 'entry-1', held }, 1);
      t.deepEqual(shard.post('new', 'counter', 2), []);
    });

    itInner('frees slots whose release was lost', (t) => {
      const shard = createOwner(1, 1);
      shard.post('lost', 'counter', 0);
      shard.post('waiting', 'counter', 1);
      const holdings = { kind: 'holdings' as const, from: 'entry-1', held: [] };
      t.deepEqual(listGranted(shard.owner.handle(holdings, 1000)), []);
      t.deepEqual(listGranted(shard.owner.handle(holdings, 4000)), ['waiting']);
    });

    itInner('frees the slots of an instance that died', (t) => {
      const shard = createOwner(1, 1);
      shard.post('held', 'counter', 0);
      t.is(shard.owner.getView().endpoints[0]?.held, 1);
      shard.owner.handle({ kind: 'member_gone', member: 'entry-1' }, 10);
      t.is(shard.owner.getView().endpoints[0]?.held, 0);
    });
  });

  describeInner('endpoints', ({ it: itInner }) => {
    itInner('that are leaving receive no grants', (t) => {
      const shard = createOwner(2, 1);
      shard.owner.handle({ kind: 'endpoint_leaving', endpoint: 'engine-0', isLeaving: true }, 0);
      shard.post('a', 'counter', 1);
      shard.post('b', 'counter', 2);
      t.deepEqual([...shard.held.values()], ['engine-1']);
    });

    // Guards against a slot at an endpoint that asked any instance for rest.
    itInner('that asked for rest receive no grants until it is over', (t) => {
      const shard = createOwner(2, 1);
      shard.post('a', 'counter', 0);
      const resting = shard.held.get('a') ?? '';
      shard.release('a', 10, SlotEnding.UNUSED, 0, 0, 1000);
      shard.post('b', 'counter', 20);
      shard.post('c', 'counter', 30);
      t.false([...shard.held.values()].includes(resting));
      t.deepEqual(listGranted(shard.tick(900)), []);
      t.deepEqual(listGranted(shard.tick(1010)), ['c']);
    });

    // Guards against a wait that ends at the deadline, where a refusal could have come at once.
    itInner('that all rest beyond a deadline make the owner refuse at arrival', (t) => {
      const shard = createOwner(1, 1);
      shard.post('a', 'counter', 0);
      shard.release('a', 10, SlotEnding.UNUSED, 0, 0, 600_000);
      const refusal = shard
        .post('b', 'counter', 20)
        .map(({ body }) => (body.case === 'refuseTicket' ? body.value : undefined))
        .find((value) => value !== undefined);
      t.is(refusal?.ticketId, 'b');
      t.true((refusal?.retryAfterMs ?? 0) >= 599_000);
    });

    itInner('that are much slower than the others are marked as stragglers', (t) => {
      // Guards against a slow endpoint that receives as many requests as the others.
      const shard = createOwner(4, 4);
      for (let round = 0; round < 8; round += 1) {
        for (let index = 0; index < 16; index += 1)
          shard.post(`t${round}-${index}`, 'counter', round * 500);
        for (const [ticketId, endpoint] of [...shard.held]) {
          const stepMs = endpoint === 'engine-0' ? 300 : 30;
          shard.release(ticketId, round * 500 + 400, SlotEnding.COMPLETED, 10, stepMs);
        }
      }
      const statuses = shard.owner.getView().endpoints.map(({ status }) => status);
      t.is(statuses.filter((status) => status === 'straggler').length, 1);
    });

    itInner('behind a network partition receive no grants until a probe succeeds', (t) => {
      const shard = createOwner(1, 1);
      const dataCentres = new Set(['one']);
      shard.owner.handle({ kind: 'cut_off', dataCentres }, 0);
      t.deepEqual(listGranted(shard.post('a', 'counter', 1)), []);
      const seen = { kind: 'endpoint_seen' as const, endpoint: 'engine-0', isReachable: true };
      t.deepEqual(listGranted(shard.owner.handle(seen, 2)), ['a']);
    });
  });

  it('admits again after a wrong estimate', (t) => {
    // Guards against a class that is refused forever, because without responses nothing corrects the
    // estimate.
    const shard = createOwner(1, 1);
    for (let index = 0; index < 20; index += 1) {
      shard.post(`slow-${index}`, 'counter', index * 9000);
      shard.release(`slow-${index}`, index * 9000 + 8900);
    }
    t.deepEqual(listGranted(shard.post('next', 'counter', 200_000)), ['next']);
  });

  it('reports no breach of tier order for a ticket that is too late for a free slot', (t) => {
    // Guards against a false breach when ticks are late and tickets wait until near their deadlines.
    const shard = createOwner(1, 4);
    for (let index = 0; index < 16; index += 1) {
      shard.post(`learn-${index}`, 'counter', index * 4000);
      shard.release(`learn-${index}`, index * 4000 + 3000);
    }
    for (let index = 0; index < 4; index += 1) shard.post(`low-${index}`, 'history', 70_000);
    shard.post('high-1', 'counter', 70_001);
    shard.post('high-2', 'counter', 70_002);
    const late = shard.release('low-0', 79_000);
    // The ticket with the latest deadline is refused; the last one in the queue is always granted.
    t.deepEqual(listRefused(late), ['high-2']);
    t.deepEqual(listGranted(late), ['high-1']);
  });

  it('counts requested preemptions when several tickets expire at once', (t) => {
    // Guards against a false breach when an instance does not release preempted slots in time.
    const shard = createOwner(1, 5);
    for (let index = 0; index < 5; index += 1) shard.post(`low-${index}`, 'history', 0);
    for (let index = 0; index < 3; index += 1) shard.post(`high-${index}`, 'counter', 1);
    t.is(shard.tick(300).length, 3);
    t.is(listRefused(shard.tick(10_100)).length, 3);
  });

  it('keeps its invariants under any sequence of messages', (t) => {
    const stepArbitrary = fc.record({
      action: fc.constantFrom(
        ...(['post', 'post', 'post', 'release', 'cancel', 'fail', 'tick', 'gone'] as const),
      ),
      className: fc.constantFrom(...CLASSES.keys()),
      organisation: fc.constantFrom('a', 'b', 'c'),
      waitMs: fc.integer({ min: 0, max: 300 }),
    });
    const property = fc.property(fc.array(stepArbitrary, { maxLength: 150 }), (steps) => {
      const shard = createOwner(2, 2);
      let nowMs = 0;
      steps.forEach(({ action, className, organisation, waitMs }, index) => {
        nowMs += waitMs;
        const [oldest = ''] = shard.held.keys();
        if (action === 'post') shard.post(`t${index}`, className, nowMs, organisation);
        else if (action === 'release') shard.release(oldest, nowMs);
        else if (action === 'cancel') shard.release(oldest, nowMs, SlotEnding.CANCELLED);
        else if (action === 'fail') shard.release(oldest, nowMs, SlotEnding.FAILED);
        else if (action === 'tick') shard.tick(nowMs);
        else if (index % 20 === 0) {
          shard.held.clear();
          shard.owner.handle({ kind: 'member_gone', member: 'entry-1' }, nowMs);
        }
      });
      return shard.owner.getView().endpoints.every(({ held, slots }) => held <= slots);
    });
    t.notThrows(() => fc.assert(property, { seed: 9, numRuns: 500 }));
  });
});
