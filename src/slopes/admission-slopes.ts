/** Measures how the cost of admission and routing grows with endpoints, shards and members. */
import { buildShards } from '../admission/shard-map.js';
import { createShardOwner } from '../admission/shard-owner.js';
import { createTicketClient } from '../admission/ticket-client.js';
import type { ShardRoute } from '../admission/ticket-client-messages.js';
import { SlotEnding } from '../gen/peer_pb.js';
import { createInvariants } from '../runtime/invariants.js';
import type { ClassDeclaration, Declarations, EndpointDeclaration } from '../types/declarations.js';
import { createRandom } from '../utils/random.js';
import { buildSlope, computeMebibytes, computeMicroseconds } from './measure.js';
import type { Slope } from './measure.js';

const TIERS = 6;
const SLOTS = 8;
const TIMES = 2000;
const ENDPOINT_SIZES = [4, 8, 16, 32] as const;
const QUEUE_SIZES = [0, 16, 64, 200] as const;
const SHARD_SIZES = [1, 8, 24, 47] as const;
const RUNNER_SIZES = [100, 400, 800, 1500] as const;
const ENTRIES = 410;
const DATA_CENTRES = 5;

function buildClasses(): Map<string, ClassDeclaration> {
  return new Map(
    Array.from({ length: TIERS }, (_, tier) => {
      const name = `class-${tier}`;
      return [
        name,
        { name, tier, firstTokenMs: 1400, betweenTokensMs: 76, deadlineMs: 60_000, floor: 0.05 },
      ];
    }),
  );
}

function buildEndpoints(count: number): EndpointDeclaration[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `engine-${String(index).padStart(4, '0')}`,
    pool: 'models',
    url: 'http://127.0.0.1:1',
    dataCentre: `dc-${index % DATA_CENTRES}`,
    slots: SLOTS,
  }));
}

function createOwner(endpoints: number) {
  const owner = createShardOwner({
    shard: 'models/0',
    random: createRandom(1),
    invariants: createInvariants(() => undefined),
  });
  owner.handle(
    {
      kind: 'configure',
      classes: buildClasses(),
      weights: () => 1,
      endpoints: buildEndpoints(endpoints),
    },
    0,
  );
  let nowMs = 0;
  function post(ticketId: string, className: string): void {
    nowMs += 1;
    owner.handle(
      {
        kind: 'post',
        from: 'entry',
        ticket: {
          $typeName: 'hyssoptally.peer.v1.PostTicket',
          ticketId,
          shard: 'models/0',
          className,
          organisation: `organisation-${nowMs % 50}`,
          model: '',
          expectedTokens: 100,
          remainingMs: 1e9,
          prefixHash: nowMs % 500,
          preemptible: false,
          excludedEndpoints: [],
          waitedMs: 0,
          resumed: false,
          first: true,
        },
      },
      nowMs,
    );
  }
  function release(ticketId: string): void {
    owner.handle(
      {
        kind: 'release',
        from: 'entry',
        release: {
          $typeName: 'hyssoptally.peer.v1.ReleaseSlot',
          ticketId,
          shard: 'models/0',
          endpoint: '',
          tokens: 100,
          stepMs: 30,
          firstTokenMs: 30,
          ending: SlotEnding.COMPLETED,
          restMs: 0,
        },
      },
      nowMs,
    );
  }
  return { owner, post, release };
}

/** Microseconds from posting a ticket to releasing its slot, on a shard with `endpoints` and `waiting` other tickets. */
function computeTicket(endpoints: number, waiting: number): number {
  const shard = createOwner(endpoints);
  if (waiting > 0) {
    for (let index = 0; index < endpoints * SLOTS; index += 1)
      shard.post(`full-${index}`, 'class-0');
    for (let index = 0; index < waiting; index += 1) shard.post(`wait-${index}`, 'class-5');
  }
  let number = 0;
  return computeMicroseconds(TIMES, () => {
    number += 1;
    const ticketId = `t-${number}`;
    shard.post(ticketId, 'class-0');
    if (waiting > 0) {
      shard.owner.handle({ kind: 'withdraw', from: 'entry', ticketId }, number);
    } else shard.release(ticketId);
  });
}

/** Microseconds that the ticket client spends on a ticket, if the pool has `count` shards. */
function computeDesk(count: number): number {
  const desk = createTicketClient(createRandom(1));
  const list: ShardRoute[] = Array.from({ length: count }, (_, index) => ({
    shard: `models/${index}`,
    owner: `entry-${index}`,
  }));
  desk.handle({ kind: 'routes', routes: new Map([['models', list]]) }, 0);
  let number = 0;
  return computeMicroseconds(TIMES, () => {
    number += 1;
    const ticketId = `t-${number}`;
    desk.handle(
      {
        kind: 'request',
        request: {
          ticketId,
          pool: 'models',
          className: 'class-0',
          organisation: 'organisation',
          expectedTokens: 100,
          expiresMs: 1e9,
          requestedMs: 0,
          prefixHash: 0,
          preemptible: false,
          excludedEndpoints: [],
          isResumed: false,
        },
      },
      0,
    );
    const grant = { ticketId, shard: 'models/0', endpoint: 'engine-1', isFloor: false };
    desk.handle({ kind: 'granted', grant }, 0);
    desk.handle(
      {
        kind: 'release',
        ticketId,
        use: { tokens: 1, stepMs: 1, firstTokenMs: 1, ending: SlotEnding.COMPLETED, restMs: 0 },
      },
      0,
    );
  });
}

/** Microseconds to reassign the owners of all shards, which each change of membership requires. */
function computePlacement(runners: number): number {
  const declarations: Declarations = {
    version: 1,
    classes: buildClasses(),
    organisations: new Map(),
    pools: new Map([
      [
        'models',
        {
          name: 'models',
          kind: 'engine',
          models: ['m'],
          fencing: 'checked',
          endpoints: buildEndpoints(runners),
        },
      ],
    ]),
  };
  const live = Array.from({ length: ENTRIES }, (_, index) => ({
    name: `entry-${index}`,
    dataCentre: `dc-${index % DATA_CENTRES}`,
  }));
  return computeMicroseconds(20, () => {
    buildShards(declarations, live);
  });
}

/** Measures admission and routing. */
export function buildAdmissionSlopes(): Slope[] {
  return [
    buildSlope(
      'owners',
      'µs a ticket, posted, granted, released',
      'endpoints in a shard',
      ENDPOINT_SIZES.map((size) => ({ size, value: computeTicket(size, 0) })),
    ),
    buildSlope(
      'owners',
      'µs a ticket, posted and withdrawn on a full shard of 32 endpoints',
      'tickets waiting',
      QUEUE_SIZES.map((size) => ({ size, value: computeTicket(32, size + 1) })),
    ),
    buildSlope(
      'owners',
      'MiB of a shard',
      'endpoints in a shard',
      ENDPOINT_SIZES.map((size) => ({ size, value: computeMebibytes(() => createOwner(size)) })),
    ),
    buildSlope(
      'admission',
      'µs of the desk a ticket',
      'shards of the pool',
      SHARD_SIZES.map((size) => ({ size, value: computeDesk(size) })),
    ),
    buildSlope(
      'routing',
      'µs to place all shards among 410 entries',
      'runners',
      RUNNER_SIZES.map((size) => ({ size, value: computePlacement(size) })),
    ),
  ];
}
