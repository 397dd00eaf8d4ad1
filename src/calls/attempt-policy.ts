/** When an attempt counts as stalled, and what its end says of its endpoint. */
import { ENDPOINT_VERDICT } from '../placement/endpoint-loads.js';
import type { EndpointVerdict } from '../placement/endpoint-loads.js';
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind } from '../types/traffic.js';
import type { AttemptEnd, RoutedCall } from './call-messages.js';

/** An attempt counts as stalled after this many times the route's target. */
const FIRST_RESPONSE_TARGET_FACTOR = 3;
/** A stream's first event counts as stalled no sooner than after this many of its longest pauses: its prompt may stand behind others. */
const FIRST_RESPONSE_GAP_FACTOR = 6;
/** A stream counts as stalled after this many times the longest pause that is still in time: an engine that has turned three times slower still serves. */
const STREAM_IDLE_GAP_FACTOR = 3;
const SERVER_ERROR_MIN = 500;

/** Whether the answer is an event stream. */
export function isStream(kind: CallKind): boolean {
  return kind === CALL_KIND.Stream || kind === CALL_KIND.ResumableStream;
}

/** Silence after which an attempt without an answer is given up, in milliseconds. */
export function computeFirstResponseTimeoutMs({ route }: RoutedCall): number {
  return Math.max(
    route.targetMs * FIRST_RESPONSE_TARGET_FACTOR,
    (route.gapTargetMs ?? 0) * FIRST_RESPONSE_GAP_FACTOR,
  );
}

/** Silence after which a stream that began is given up, in milliseconds. */
export function computeStreamIdleTimeoutMs({ route }: RoutedCall): number {
  return (route.gapTargetMs ?? route.targetMs) * STREAM_IDLE_GAP_FACTOR;
}

/** What an attempt's end says of its endpoint. */
export function computeEndpointVerdict(end: AttemptEnd): EndpointVerdict {
  switch (end.kind) {
    case 'unsent':
      return ENDPOINT_VERDICT.Unreachable;
    case 'broken':
      return ENDPOINT_VERDICT.Failed;
    case 'rejected':
      // Where another endpoint has the address, this one is gone and its entry lags behind.
      return end.isWrongEndpoint ? ENDPOINT_VERDICT.Unreachable : ENDPOINT_VERDICT.Errored;
    case 'answered':
      return end.head.status >= SERVER_ERROR_MIN ? ENDPOINT_VERDICT.Errored : ENDPOINT_VERDICT.Good;
    default:
      return ENDPOINT_VERDICT.Good;
  }
}
