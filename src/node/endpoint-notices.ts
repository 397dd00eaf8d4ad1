/**
 * What endpoints said in their responses of the requests that they still take, for requests with
 * declared classes. These endpoints have no start ids: a rest ends by time, and leaving when a later
 * health check denies it.
 */
import { REST_MAX_MS } from '../endpoint-availability/availability-notice.js';
import type { AvailabilityNotice } from '../endpoint-availability/availability-notice.js';

/** Time by which the report of a health check may lag behind responses. */
const REPORT_LAG_MAX_MS = 5000;

export interface EndpointNoticesOptions {
  readonly getNow: () => number;
  /** A response said that the endpoint is leaving. */
  readonly onLeaving: (endpoint: string) => void;
  /** A response asked this instance for rest that ends later than a known one. */
  readonly onResting: (endpoint: string, restMs: number) => void;
}

export interface EndpointNotices {
  /** Records what the head of an endpoint's response says. */
  recordAnswer(endpoint: string, notice: AvailabilityNotice): void;
  /** Applies what other instances and health checks found. */
  setLeaving(endpoint: string, isLeaving: boolean): void;
  isLeaving(endpoint: string): boolean;
  /** Whether a health check that was sent at `sentMs` may deny that the endpoint is leaving. */
  isDenialCurrent(endpoint: string, sentMs: number): boolean;
  /** Time for which this instance must send nothing to the endpoint; 0 if it may. */
  computeRestLeft(endpoint: string): number;
}

export function createEndpointNotices(options: EndpointNoticesOptions): EndpointNotices {
  const { getNow } = options;
  const leavingHeardMs = new Map<string, number>();
  const restUntilMs = new Map<string, number>();

  function computeRestLeft(endpoint: string): number {
    const leftMs = (restUntilMs.get(endpoint) ?? -Infinity) - getNow();
    if (leftMs > 0) return leftMs;
    restUntilMs.delete(endpoint);
    return 0;
  }

  function recordRest(endpoint: string, restMs: number): void {
    if (restMs <= computeRestLeft(endpoint)) return;
    restUntilMs.set(endpoint, getNow() + Math.min(REST_MAX_MS, restMs));
    options.onResting(endpoint, restMs);
  }

  return {
    recordAnswer(endpoint, notice) {
      if (notice.rest.kind === 'rest') recordRest(endpoint, notice.rest.restMs);
      if (!notice.isLeaving) return;
      leavingHeardMs.set(endpoint, getNow());
      options.onLeaving(endpoint);
    },
    setLeaving(endpoint, isLeaving) {
      if (!isLeaving) leavingHeardMs.delete(endpoint);
      else if (!leavingHeardMs.has(endpoint)) leavingHeardMs.set(endpoint, getNow());
    },
    isLeaving: (endpoint) => leavingHeardMs.has(endpoint),
    isDenialCurrent: (endpoint, sentMs) =>
      sentMs >= (leavingHeardMs.get(endpoint) ?? -Infinity) + REPORT_LAG_MAX_MS,
    computeRestLeft,
  };
}
