/**
 * The client side of admission: posts a ticket to the owners of two sampled shards of the pool, spills
 * over to further shards after a delay, takes the first grant and releases any later one. A request is
 * refused only once all owners asked have refused it, or its deadline has passed.
 */
import type { HeldSlot, PostTicket } from '../gen/peer_pb.js';
import { SlotEnding } from '../gen/peer_pb.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import { assertNever } from '../utils/assert-never.js';
import type {
  TicketClientCommand,
  TicketClientMessage,
  HeldGrant,
  ShardRoute,
  SlotRequest,
  SlotUse,
} from './ticket-client-messages.js';
import type { Random } from '../utils/random.js';
import { REFUSAL } from './ticket.js';
import type { Refusal } from './ticket.js';

const INITIAL_SHARDS = 2;
const SPILLOVER_DELAY_MS = 25;
const SPILLOVER_SHARDS = 2;
/** Unanswered tickets are posted again, since messages between peers may be lost. */
const REPOST_INTERVAL_MS = 500;

interface ShardPost {
  readonly owner: string;
  readonly isPrimaryShard: boolean;
  isRefused: boolean;
  readonly postedMs: number;
}

interface PendingTicket {
  readonly request: SlotRequest;
  /** Keyed by shard. */
  readonly posts: Map<string, ShardPost>;
  hasSpilledOver: boolean;
  retryAfterMs: number;
  reason: Refusal;
}

interface GrantedSlot {
  readonly request: SlotRequest;
  readonly grant: HeldGrant;
  tokens: number;
  stepMs: number;
}

/** The ticket client of one instance. */
export interface TicketClient {
  handle(message: TicketClientMessage, nowMs: number): TicketClientCommand[];
  countPending(): number;
  countHeld(): number;
}

/** Creates a client without routes; they arrive in a `routes` message. */
export function createTicketClient(random: Random): TicketClient {
  const pending = new Map<string, PendingTicket>();
  const held = new Map<string, GrantedSlot>();
  let routes: ReadonlyMap<string, readonly ShardRoute[]> = new Map();
  let owners = new Map<string, string>();
  let outbox: TicketClientCommand[] = [];

  function postMessage(to: string, body: AddressedMessage['body']): void {
    outbox.push({ kind: 'send', message: { to, body } });
  }

  function buildPost(
    request: SlotRequest,
    route: ShardRoute,
    isPrimaryShard: boolean,
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
      excludedEndpoints: [...request.excludedEndpoints],
      waitedMs: nowMs - request.requestedMs,
      resumed: request.isResumed,
      first: isPrimaryShard,
    };
  }

  function postTicket(ticket: PendingTicket, route: ShardRoute, nowMs: number): void {
    const known = ticket.posts.get(route.shard);
    const isPrimaryShard = known?.isPrimaryShard ?? ticket.posts.size === 0;
    ticket.posts.set(route.shard, {
      owner: route.owner,
      isPrimaryShard,
      isRefused: false,
      postedMs: nowMs,
    });
    postMessage(route.owner, {
      case: 'postTicket',
      value: buildPost(ticket.request, route, isPrimaryShard, nowMs),
    });
  }

  /** Posts to up to `count` further shards of the pool, from a random start to spread load. */
  function postToMoreShards(ticket: PendingTicket, count: number, nowMs: number): void {
    const poolRoutes = routes.get(ticket.request.pool) ?? [];
    const candidates = poolRoutes.filter((route) => !ticket.posts.has(route.shard));
    const start = candidates.length <= count ? 0 : random.nextIndex(candidates.length);
    const chosen = [...candidates.slice(start), ...candidates.slice(0, start)].slice(0, count);
    for (const route of chosen) postTicket(ticket, route, nowMs);
  }

  function postSpillover(ticket: PendingTicket, nowMs: number): void {
    if (ticket.hasSpilledOver) return;
    ticket.hasSpilledOver = true;
    postToMoreShards(ticket, SPILLOVER_SHARDS, nowMs);
  }

  function refuseIfAllRefused(ticket: PendingTicket, nowMs: number): void {
    const isAwaitingReply = [...ticket.posts.values()].some((post) => !post.isRefused);
    if (isAwaitingReply) return;
    if (!ticket.hasSpilledOver) postSpillover(ticket, nowMs);
    const isAwaitingSpilloverReply = [...ticket.posts.values()].some((post) => !post.isRefused);
    if (isAwaitingSpilloverReply) return;
    pending.delete(ticket.request.ticketId);
    outbox.push({
      kind: 'settle_refusal',
      ticketId: ticket.request.ticketId,
      reason: ticket.reason,
      retryAfterMs: ticket.retryAfterMs,
    });
  }

  function cancelPosts(ticket: PendingTicket, except: string | undefined): void {
    for (const [shard, post] of ticket.posts) {
      if (shard !== except && !post.isRefused) {
        postMessage(post.owner, {
          case: 'withdrawTicket',
          value: {
            $typeName: 'hyssoptally.peer.v1.WithdrawTicket',
            ticketId: ticket.request.ticketId,
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
    const ticket: PendingTicket = {
      request,
      posts: new Map(),
      hasSpilledOver: false,
      retryAfterMs: 1000,
      reason: REFUSAL.NoEndpoint,
    };
    pending.set(request.ticketId, ticket);
    postToMoreShards(ticket, INITIAL_SHARDS, nowMs);
    if (ticket.posts.size === 0) refuseIfAllRefused(ticket, nowMs);
  }

  function handleGrant(grant: HeldGrant): void {
    const ticket = pending.get(grant.ticketId);
    if (ticket === undefined) {
      const isHeld = held.get(grant.ticketId)?.grant.shard === grant.shard;
      // The ticket was granted by another shard first, cancelled or refused.
      if (!isHeld) {
        postRelease(grant, {
          tokens: 0,
          stepMs: 0,
          firstTokenMs: 0,
          ending: SlotEnding.UNUSED,
          restMs: 0,
        });
      }
      return;
    }
    pending.delete(grant.ticketId);
    cancelPosts(ticket, grant.shard);
    held.set(grant.ticketId, { request: ticket.request, grant, tokens: 0, stepMs: 0 });
    outbox.push({ kind: 'settle_grant', grant });
  }

  function handleRefusal(
    message: Extract<TicketClientMessage, { kind: 'refused' }>,
    nowMs: number,
  ): void {
    const ticket = pending.get(message.ticketId);
    const post = ticket?.posts.get(message.shard);
    if (ticket === undefined || post === undefined) return;
    post.isRefused = true;
    ticket.retryAfterMs = message.retryAfterMs;
    ticket.reason = Object.values(REFUSAL).find((name) => name === message.reason) ?? REFUSAL.Shed;
    refuseIfAllRefused(ticket, nowMs);
  }

  function buildHeldSlot(slot: GrantedSlot): HeldSlot {
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

  /** Reports held slots and reposts pending tickets to the new owners of reassigned shards. */
  function handleRoutes(next: ReadonlyMap<string, readonly ShardRoute[]>, nowMs: number): void {
    const previousOwners = owners;
    routes = next;
    owners = new Map([...next.values()].flat().map((route) => [route.shard, route.owner]));
    const movedShards = [...owners.keys()].filter(
      (shard) => previousOwners.get(shard) !== owners.get(shard),
    );
    postHoldings(movedShards);
    const routeOf = new Map([...next.values()].flat().map((route) => [route.shard, route]));
    for (const ticket of pending.values()) {
      for (const [shard, post] of [...ticket.posts]) {
        const route = routeOf.get(shard);
        if (route === undefined) ticket.posts.delete(shard);
        else if (route.owner !== post.owner) postTicket(ticket, route, nowMs);
      }
      if (ticket.posts.size === 0) postToMoreShards(ticket, INITIAL_SHARDS, nowMs);
      refuseIfAllRefused(ticket, nowMs);
    }
  }

  function handleTick(nowMs: number): void {
    for (const ticket of pending.values()) {
      const { request } = ticket;
      if (nowMs >= request.expiresMs) {
        pending.delete(request.ticketId);
        cancelPosts(ticket, undefined);
        outbox.push({
          kind: 'settle_refusal',
          ticketId: request.ticketId,
          reason: REFUSAL.Expired,
          retryAfterMs: ticket.retryAfterMs,
        });
      } else {
        if (nowMs - request.requestedMs >= SPILLOVER_DELAY_MS) postSpillover(ticket, nowMs);
        const routeOf = new Map((routes.get(request.pool) ?? []).map((r) => [r.shard, r]));
        for (const [shard, post] of ticket.posts) {
          const route = routeOf.get(shard);
          const isDue = !post.isRefused && nowMs - post.postedMs >= REPOST_INTERVAL_MS;
          if (route !== undefined && isDue) postTicket(ticket, route, nowMs);
        }
      }
    }
  }

  function applyMessage(message: TicketClientMessage, nowMs: number): void {
    switch (message.kind) {
      case 'request':
        handleRequest(message.request, nowMs);
        break;
      case 'cancel': {
        const ticket = pending.get(message.ticketId);
        pending.delete(message.ticketId);
        if (ticket !== undefined) cancelPosts(ticket, undefined);
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
