/** The requests for sends that an instance has pending at holders. Performs no I/O. */
import type { EndpointKey } from '../placement/remote-loads.js';
import { hashName, hashPair } from '../utils/hash.js';
import type { PermitId, PermitReply, PermitRequest } from './permit-messages.js';

/** Interval at which a pending request is repeated, since datagrams are lost. */
const REPEAT_MS = 200;
/** A request that its call no longer queries is dropped after this time. */
const QUERY_TIMEOUT_MS = 300;
/** Time for which a grant may be used. */
const GRANT_VALID_MS = 1000;
/** Requests in one datagram. The most urgent are sent; the others wait at this instance. */
const REQUESTS_PER_HOLDER_MAX = 16;

export type PermitState =
  | { readonly kind: 'pending' }
  | { readonly kind: 'granted'; readonly endpoint: EndpointKey }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

export interface AddressedRequests {
  /** Name of the holder. */
  readonly to: string;
  readonly requests: readonly PermitRequest[];
}

export interface PermitRequests {
  /** Starts or continues a request at one of the holders and returns its state. */
  query(request: PermitRequest, holders: readonly string[], nowMs: number): PermitState;
  has(id: PermitId): boolean;
  handle(reply: PermitReply, nowMs: number): void;
  /** Uses up a grant; false if there is none for the endpoint. */
  takeGrant(id: PermitId, endpoint: EndpointKey, nowMs: number): boolean;
  /** Returns the requests that are due to be sent. */
  advance(nowMs: number): AddressedRequests[];
  count(): number;
}

interface PendingRequest {
  request: PermitRequest;
  holder: string;
  queriedMs: number;
  sentMs: number;
  state: PermitState;
  repliedMs: number;
}

const PENDING: PermitState = { kind: 'pending' };

/** Spreads the requests over the holders; the same request goes to the same one. */
function chooseHolder(id: PermitId, holders: readonly string[]): string | undefined {
  const rank = (holder: string): number => hashPair(hashName(holder), id);
  return [...holders].sort((a, b) => rank(b) - rank(a))[0];
}

function compareUrgency(a: PendingRequest, b: PendingRequest): number {
  return a.request.urgency - b.request.urgency || a.request.waitLeftMs - b.request.waitLeftMs;
}

export function createPermitRequests(): PermitRequests {
  const pending = new Map<PermitId, PendingRequest>();

  function isExpired({ queriedMs, state, repliedMs }: PendingRequest, nowMs: number): boolean {
    if (nowMs - queriedMs > QUERY_TIMEOUT_MS) return true;
    return state.kind === 'granted' && nowMs - repliedMs > GRANT_VALID_MS;
  }

  function listDue(nowMs: number): PendingRequest[] {
    return [...pending.values()].filter(
      ({ state, sentMs }) => state.kind === 'pending' && nowMs - sentMs >= REPEAT_MS,
    );
  }

  return {
    query(request, holders, nowMs) {
      const holder = chooseHolder(request.id, holders);
      if (holder === undefined) return PENDING;
      const known = pending.get(request.id);
      if (known === undefined) {
        const sentMs = -Infinity;
        pending.set(request.id, {
          request,
          holder,
          queriedMs: nowMs,
          sentMs,
          state: PENDING,
          repliedMs: -Infinity,
        });
        return PENDING;
      }
      if (known.holder !== holder && known.state.kind === 'pending') known.sentMs = -Infinity;
      known.request = request;
      known.holder = holder;
      known.queriedMs = nowMs;
      return known.state;
    },
    has: (id) => pending.has(id),
    handle(reply, nowMs) {
      const known = pending.get(reply.id);
      if (known === undefined || known.state.kind === 'granted') return;
      known.repliedMs = nowMs;
      known.state =
        reply.kind === 'granted'
          ? { kind: 'granted', endpoint: reply.endpoint }
          : { kind: 'refused', retryAfterMs: reply.retryAfterMs };
    },
    takeGrant(id, endpoint, nowMs) {
      const known = pending.get(id);
      if (known?.state.kind !== 'granted' || known.state.endpoint !== endpoint) return false;
      pending.delete(id);
      return !isExpired(known, nowMs);
    },
    advance(nowMs) {
      for (const [id, entry] of pending) if (isExpired(entry, nowMs)) pending.delete(id);
      const byHolder = new Map<string, PendingRequest[]>();
      for (const entry of listDue(nowMs).sort(compareUrgency)) {
        const entries = byHolder.get(entry.holder) ?? [];
        if (entries.length < REQUESTS_PER_HOLDER_MAX) {
          entry.sentMs = nowMs;
          byHolder.set(entry.holder, [...entries, entry]);
        }
      }
      return [...byHolder].map(([to, entries]) => ({
        to,
        requests: entries.map(({ request }) => request),
      }));
    },
    count: () => pending.size,
  };
}
