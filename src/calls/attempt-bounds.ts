/** When an attempt counts as stalled, and what its end says of its endpoint. */
import { ENDPOINT_VERDICT } from '../placement/endpoint-loads.js';
import type { EndpointVerdict } from '../placement/endpoint-loads.js';
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind } from '../types/traffic.js';
import type { AttemptEnd, RoutedCall } from './call-messages.js';

/** An attempt counts as stalled after this many times the route's target. */
const STALL_TARGETS = 3;
/** A stream's first event counts as stalled no sooner than after this many of its longest pauses: its prompt may stand behind others. */
const STALL_PAUSES = 6;
/** A stream counts as stalled after this many times the longest pause that is still in time: an engine that has turned three times slower still serves. */
const GAP_PAUSES = 3;
const SERVER_ERROR_MIN = 500;

/** Whether the answer is an event stream. */
export function isStream(kind: CallKind): boolean {
  return kind === CALL_KIND.Stream || kind === CALL_KIND.ResumableStream;
}

/** Silence after which an attempt without an answer is given up, in milliseconds. */
export function computeStallMs({ route }: RoutedCall): number {
  return Math.max(route.targetMs * STALL_TARGETS, (route.gapTargetMs ?? 0) * STALL_PAUSES);
}

/** Silence after which a stream that began is given up, in milliseconds. */
export function computeGapMs({ route }: RoutedCall): number {
  return (route.gapTargetMs ?? route.targetMs) * GAP_PAUSES;
}

/** What an attempt's end says of its endpoint. */
export function computeVerdict(end: AttemptEnd): EndpointVerdict {
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
