/**
 * The entry's side of sharing endpoints: posts a ticket to the owners of two sampled shards of the
 * pool, a moment later to more, takes the first grant and hands back any other. Nothing is refused
 * until every owner that was asked has refused.
 */
import type { HeldSlot, PostTicket } from '../gen/peer_pb.js';
import { SlotEnding } from '../gen/peer_pb.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import { assertNever } from '../utils/assert-never.js';
import type {
  DeskCommand,
  DeskMessage,
  HeldGrant,
  ShardRoute,
  SlotRequest,
  SlotUse,
} from './desk-messages.js';
import type { Random } from '../utils/random.js';
import { REFUSAL } from './ticket.js';
import type { Refusal } from './ticket.js';

/** Shards asked first; with few shards that is all of them. */
const FIRST_SHARDS = 2;
/** The first shards get this long before others are asked, in milliseconds. */
const SPILL_AFTER_MS = 25;
/** Further shards asked before a ticket is given up. */
const SPILL_SHARDS = 2;
/** A ticket nobody has answered is posted again after this long: messages between peers may be lost. */
const REPOST_MS = 500;

interface Asked {
  readonly owner: string;
  readonly isFirst: boolean;
  isRefused: boolean;
  readonly postedMs: number;
}

interface Pending {
  readonly request: SlotRequest;
  /** Shards asked, with the owner asked and whether it has refused. */
  readonly asked: Map<string, Asked>;
  isSpilled: boolean;
  retryAfterMs: number;
  reason: Refusal;
}

interface Held {
  readonly request: SlotRequest;
  readonly grant: HeldGrant;
  tokens: number;
  stepMs: number;
}

/** The desk of one entry. */
export interface TicketDesk {
  handle(message: DeskMessage, nowMs: number): DeskCommand[];
  countPending(): number;
  countHeld(): number;
}

/** Builds a desk that knows no shard yet. */
export function createTicketDesk(random: Random): TicketDesk {
  const pending = new Map<string, Pending>();
  const held = new Map<string, Held>();
  let routes: ReadonlyMap<string, readonly ShardRoute[]> = new Map();
  let owners = new Map<string, string>();
  let outbox: DeskCommand[] = [];

  function postMessage(to: string, body: AddressedMessage['body']): void {
    outbox.push({ kind: 'send', message: { to, body } });
  }

  function buildPost(
    request: SlotRequest,
    route: ShardRoute,
    isFirst: boolean,
    nowMs: number,
  ): PostTicket {
    return {
      $typeName: 'hyssoptally.peer.v1.PostTicket',
      ticketId: request.ticketId,
      shard: route.shard,
      className: request.className,
      organisation: request.organisation,
      model: '',
      expectedTokens: request.expectedTokens,
      remainingMs: request.expiresMs - nowMs,
      prefixHash: request.prefixHash,
      preemptible: request.preemptible,
      excludedEndpoints: [...request.excluded],
      waitedMs: nowMs - request.requestedMs,
      resumed: request.isResumed,
      first: isFirst,
    };
  }

  function postTicket(entry: Pending, route: ShardRoute, nowMs: number): void {
    const known = entry.asked.get(route.shard);
    const isFirst = known?.isFirst ?? entry.asked.size === 0;
    entry.asked.set(route.shard, {
      owner: route.owner,
      isFirst,
      isRefused: false,
      postedMs: nowMs,
    });
    postMessage(route.owner, {
      case: 'postTicket',
      value: buildPost(entry.request, route, isFirst, nowMs),
    });
  }

  /** Asks up to `count` more shards of the pool, from a random start so that load spreads. */
  function postToMore(entry: Pending, count: number, nowMs: number): void {
    const routesOfPool = routes.get(entry.request.pool) ?? [];
    const open = routesOfPool.filter((route) => !entry.asked.has(route.shard));
    const start = open.length <= count ? 0 : random.nextIndex(open.length);
    const chosen = [...open.slice(start), ...open.slice(0, start)].slice(0, count);
    for (const route of chosen) postTicket(entry, route, nowMs);
  }

  function postElsewhere(entry: Pending, nowMs: number): void {
    if (entry.isSpilled) return;
    entry.isSpilled = true;
    postToMore(entry, SPILL_SHARDS, nowMs);
  }

  function refuseIfAllRefused(entry: Pending, nowMs: number): void {
    const isOpen = [...entry.asked.values()].some((asked) => !asked.isRefused);
    if (isOpen) return;
    if (!entry.isSpilled) postElsewhere(entry, nowMs);
    const isOpenNow = [...entry.asked.values()].some((asked) => !asked.isRefused);
    if (isOpenNow) return;
    pending.delete(entry.request.ticketId);
    outbox.push({
      kind: 'settle_refusal',
      ticketId: entry.request.ticketId,
      reason: entry.reason,
      retryAfterMs: entry.retryAfterMs,
    });
  }

  function removePosted(entry: Pending, except: string | undefined): void {
    for (const [shard, asked] of entry.asked) {
      if (shard !== except && !asked.isRefused) {
        postMessage(asked.owner, {
          case: 'withdrawTicket',
          value: {
            $typeName: 'hyssoptally.peer.v1.WithdrawTicket',
            ticketId: entry.request.ticketId,
            shard,
          },
        });
      }
    }
  }

  function postRelease(grant: HeldGrant, use: SlotUse): void {
    const owner = owners.get(grant.shard);
    if (owner === undefined) return;
    postMessage(owner, {
      case: 'releaseSlot',
      value: {
        $typeName: 'hyssoptally.peer.v1.ReleaseSlot',
        ticketId: grant.ticketId,
        shard: grant.shard,
        endpoint: grant.endpoint,
        ...use,
      },
    });
  }

  function handleRequest(request: SlotRequest, nowMs: number): void {
    const entry: Pending = {
      request,
      asked: new Map(),
      isSpilled: false,
      retryAfterMs: 1000,
      reason: REFUSAL.NoEndpoint,
    };
    pending.set(request.ticketId, entry);
    postToMore(entry, FIRST_SHARDS, nowMs);
    if (entry.asked.size === 0) refuseIfAllRefused(entry, nowMs);
  }

  function handleGrant(grant: HeldGrant): void {
    const entry = pending.get(grant.ticketId);
    if (entry === undefined) {
      const isMine = held.get(grant.ticketId)?.grant.shard === grant.shard;
      // A second grant for a ticket that another shard served first, or that was given up.
      if (!isMine) {
        postRelease(grant, {
          tokens: 0,
          stepMs: 0,
          firstTokenMs: 0,
          ending: SlotEnding.UNUSED,
        });
      }
      return;
    }
    pending.delete(grant.ticketId);
    removePosted(entry, grant.shard);
    held.set(grant.ticketId, { request: entry.request, grant, tokens: 0, stepMs: 0 });
    outbox.push({ kind: 'settle_grant', grant });
  }

  function handleRefusal(message: Extract<DeskMessage, { kind: 'refused' }>, nowMs: number): void {
    const entry = pending.get(message.ticketId);
    const asked = entry?.asked.get(message.shard);
    if (entry === undefined || asked === undefined) return;
    asked.isRefused = true;
    entry.retryAfterMs = message.retryAfterMs;
    entry.reason = Object.values(REFUSAL).find((name) => name === message.reason) ?? REFUSAL.Shed;
    refuseIfAllRefused(entry, nowMs);
  }

  function buildHeldSlot(slot: Held): HeldSlot {
    return {
      $typeName: 'hyssoptally.peer.v1.HeldSlot',
      ticketId: slot.grant.ticketId,
      endpoint: slot.grant.endpoint,
      className: slot.request.className,
      organisation: slot.request.organisation,
      preemptible: slot.request.preemptible,
      tokens: slot.tokens,
      stepMs: slot.stepMs,
      floor: slot.grant.isFloor,
    };
  }

  function postHoldings(shards: Iterable<string>): void {
    for (const shard of shards) {
      const owner = owners.get(shard);
      if (owner !== undefined) {
        const slots = [...held.values()].filter((slot) => slot.grant.shard === shard);
        postMessage(owner, {
          case: 'reportHoldings',
          value: {
            $typeName: 'hyssoptally.peer.v1.ReportHoldings',
            shard,
            held: slots.map(buildHeldSlot),
          },
        });
      }
    }
  }

  /** An owner died or moved: its successor learns what is held and what waits from here. */
  function handleRoutes(next: ReadonlyMap<string, readonly ShardRoute[]>, nowMs: number): void {
    const before = owners;
    routes = next;
    owners = new Map([...next.values()].flat().map((route) => [route.shard, route.owner]));
    const moved = [...owners.keys()].filter((shard) => before.get(shard) !== owners.get(shard));
    postHoldings(moved);
    const routeOf = new Map([...next.values()].flat().map((route) => [route.shard, route]));
    for (const entry of pending.values()) {
      for (const [shard, asked] of [...entry.asked]) {
        const route = routeOf.get(shard);
        if (route === undefined) entry.asked.delete(shard);
        else if (route.owner !== asked.owner) postTicket(entry, route, nowMs);
      }
      if (entry.asked.size === 0) postToMore(entry, FIRST_SHARDS, nowMs);
      refuseIfAllRefused(entry, nowMs);
    }
  }

  function handleTick(nowMs: number): void {
    for (const entry of pending.values()) {
      const { request } = entry;
      if (nowMs >= request.expiresMs) {
        pending.delete(request.ticketId);
        removePosted(entry, undefined);
        outbox.push({
          kind: 'settle_refusal',
          ticketId: request.ticketId,
          reason: REFUSAL.Expired,
          retryAfterMs: entry.retryAfterMs,
        });
      } else {
        if (nowMs - request.requestedMs >= SPILL_AFTER_MS) postElsewhere(entry, nowMs);
        const routeOf = new Map((routes.get(request.pool) ?? []).map((r) => [r.shard, r]));
        for (const [shard, asked] of entry.asked) {
          const route = routeOf.get(shard);
          const isDue = !asked.isRefused && nowMs - asked.postedMs >= REPOST_MS;
          if (route !== undefined && isDue) postTicket(entry, route, nowMs);
        }
      }
    }
  }

  function applyMessage(message: DeskMessage, nowMs: number): void {
    switch (message.kind) {
      case 'request':
        handleRequest(message.request, nowMs);
        break;
      case 'cancel': {
        const entry = pending.get(message.ticketId);
        pending.delete(message.ticketId);
        if (entry !== undefined) removePosted(entry, undefined);
        break;
      }
      case 'release': {
        const slot = held.get(message.ticketId);
        held.delete(message.ticketId);
        if (slot !== undefined) postRelease(slot.grant, message.use);
        break;
      }
      case 'progress': {
        const slot = held.get(message.ticketId);
        if (slot === undefined) break;
        slot.tokens = message.tokens;
        slot.stepMs = message.stepMs;
        break;
      }
      case 'granted':
        handleGrant(message.grant);
        break;
      case 'refused':
        handleRefusal(message, nowMs);
        break;
      case 'preempt':
        if (held.get(message.ticketId)?.request.preemptible === true) {
          outbox.push({ kind: 'preempt', ticketId: message.ticketId });
        }
        break;
      case 'routes':
        handleRoutes(message.routes, nowMs);
        break;
      case 'report':
        postHoldings(owners.keys());
        break;
      case 'tick':
        handleTick(nowMs);
        break;
      default:
        assertNever(message);
    }
  }

  return {
    handle(message, nowMs) {
      outbox = [];
      applyMessage(message, nowMs);
      return outbox;
    },
    countPending: () => pending.size,
    countHeld: () => held.size,
  };
}
