/**
 * Requests that wait at a holder for a send to a limited endpoint. Performs no I/O.
 *
 * The most urgent come first, then the organisation that was served longest ago, then the oldest.
 * A request that cannot be served in time is refused at once, so that its caller can return later.
 */
import type { EndpointKey } from '../placement/remote-loads.js';
import { createBoundedMap } from '../utils/bounded-map.js';
import type { PermitId, PermitReply, PermitRequest } from './permit-messages.js';
import type { SendShares } from './send-shares.js';

/** A request that was not repeated for this long is dropped: its call has ended. */
const REQUEST_TIMEOUT_MS = 700;
/** Time for which a grant is repeated if its request comes again, since replies are lost. */
const GRANT_MEMORY_MS = 2000;
/** Largest predicted wait of a request that is queued, as a share of the time its call can wait. */
const PREDICTED_WAIT_SHARE_MAX = 0.8;
/** Limit of the requests that wait. */
const QUEUE_MAX = 512;
const ORGANISATIONS_MAX = 1024;

export interface AddressedReply {
  /** Name of the instance that asked. */
  readonly to: string;
  readonly reply: PermitReply;
}

export interface PermitQueue {
  /** Adds or repeats a request; returns a reply if it is decided already. */
  handle(request: PermitRequest, from: string, nowMs: number): PermitReply | undefined;
  /** Returns the grants that are due. */
  advance(nowMs: number): AddressedReply[];
  count(): number;
}

interface WaitingRequest {
  readonly request: PermitRequest;
  readonly from: string;
  readonly arrivedMs: number;
  repeatedMs: number;
}

interface Grant {
  readonly reply: PermitReply;
  readonly grantedMs: number;
}

export function createPermitQueue(
  shares: Pick<SendShares, 'computeRate' | 'computeReadyInMs' | 'take' | 'isReady'>,
): PermitQueue {
  const waiting = new Map<PermitId, WaitingRequest>();
  const grants = new Map<PermitId, Grant>();
  /** When each organisation was last granted a send. */
  const servedMs = createBoundedMap<number, number>(ORGANISATIONS_MAX);

  function compareRequests(a: WaitingRequest, b: WaitingRequest): number {
    return (
      a.request.urgency - b.request.urgency ||
      (servedMs.get(a.request.organisation) ?? -Infinity) -
        (servedMs.get(b.request.organisation) ?? -Infinity) ||
      a.arrivedMs - b.arrivedMs ||
      a.request.id - b.request.id
    );
  }

  /** Predicted wait of a new request behind those that are at least as urgent. */
  function predictWaitMs({ endpoints, urgency }: PermitRequest, nowMs: number): number {
    const rate = endpoints.reduce((sum, key) => sum + shares.computeRate(key, nowMs), 0);
    const ahead = [...waiting.values()].filter(
      ({ request }) =>
        request.urgency <= urgency && request.endpoints.some((key) => endpoints.includes(key)),
    ).length;
    const readyInMs = Math.min(...endpoints.map((key) => shares.computeReadyInMs(key, nowMs)));
    return readyInMs + (ahead * 1000) / rate;
  }

  function removeExpired(nowMs: number): void {
    for (const [id, { repeatedMs }] of waiting)
      if (nowMs - repeatedMs > REQUEST_TIMEOUT_MS) waiting.delete(id);
    for (const [id, { grantedMs }] of grants)
      if (nowMs - grantedMs > GRANT_MEMORY_MS) grants.delete(id);
  }

  function findNext(endpoint: EndpointKey): WaitingRequest | undefined {
    return [...waiting.values()]
      .filter(({ request }) => request.endpoints.includes(endpoint))
      .sort(compareRequests)[0];
  }

  function grant(endpoint: EndpointKey, { request, from }: WaitingRequest, nowMs: number) {
    const reply: PermitReply = { kind: 'granted', id: request.id, endpoint };
    waiting.delete(request.id);
    grants.set(request.id, { reply, grantedMs: nowMs });
    servedMs.set(request.organisation, nowMs);
    return { to: from, reply };
  }

  return {
    handle(request, from, nowMs) {
      const granted = grants.get(request.id);
      if (granted !== undefined) return granted.reply;
      const known = waiting.get(request.id);
      if (known !== undefined) {
        known.repeatedMs = nowMs;
        return undefined;
      }
      const waitMs = predictWaitMs(request, nowMs);
      // An instance that holds no share, or does not know the limit yet, cannot tell.
      if (!Number.isFinite(waitMs)) return undefined;
      const isTooLong = waitMs > request.waitLeftMs * PREDICTED_WAIT_SHARE_MAX;
      if (isTooLong || waiting.size >= QUEUE_MAX)
        return { kind: 'refused', id: request.id, retryAfterMs: Math.round(waitMs) };
      waiting.set(request.id, { request, from, arrivedMs: nowMs, repeatedMs: nowMs });
      return undefined;
    },
    advance(nowMs) {
      removeExpired(nowMs);
      const endpoints = new Set([...waiting.values()].flatMap(({ request }) => request.endpoints));
      return [...endpoints].flatMap((endpoint) => {
        if (!shares.isReady(endpoint, nowMs)) return [];
        const next = findNext(endpoint);
        if (next === undefined || !shares.take(endpoint, nowMs)) return [];
        return [grant(endpoint, next, nowMs)];
      });
    },
    count: () => waiting.size,
  };
}
