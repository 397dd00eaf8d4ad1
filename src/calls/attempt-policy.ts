/** Timeouts of attempts, and the verdict on an endpoint after an attempt. */
import { ENDPOINT_VERDICT } from '../placement/endpoint-loads.js';
import type { EndpointVerdict } from '../placement/endpoint-loads.js';
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import { REJECTION } from './call-messages.js';
import type { AttemptEnd, RejectionReason, RoutedCall } from './call-messages.js';

/** Multiple of the route's latency target after which an attempt without a response counts as stalled. */
const FIRST_RESPONSE_TARGET_FACTOR = 3;
/** Lower bound of the same timeout for streams, as a multiple of the gap target: the prompt may be queued behind others. */
const FIRST_RESPONSE_GAP_FACTOR = 6;
/**
 * Multiple of the gap target after which a stream without a new event counts as stalled: an engine that
 * has become three times slower still serves.
 */
const STREAM_IDLE_GAP_FACTOR = 3;
const SERVER_ERROR_MIN = 500;

/** Whether calls of this kind are answered by an event stream. */
export function isStream(kind: CallKind): boolean {
  return kind === CALL_KIND.Stream || kind === CALL_KIND.ResumableStream;
}

/** Whether an attempt that ended so provably did not run. */
export function isNotRun({ kind }: AttemptEnd): boolean {
  return kind === 'unsent' || kind === 'withheld' || kind === 'rejected';
}

/** Returns the time after which an attempt without a response counts as stalled. */
export function computeFirstResponseTimeoutMs({ route }: RoutedCall): number {
  return Math.max(
    route.targetMs * FIRST_RESPONSE_TARGET_FACTOR,
    (route.gapTargetMs ?? 0) * FIRST_RESPONSE_GAP_FACTOR,
  );
}

/** Returns the time without an event after which a stream counts as stalled. */
export function computeStreamIdleTimeoutMs({ route }: RoutedCall): number {
  return (route.gapTargetMs ?? route.targetMs) * STREAM_IDLE_GAP_FACTOR;
}

function computeRejectionVerdict(reason: RejectionReason): EndpointVerdict {
  switch (reason) {
    case REJECTION.Full:
      return ENDPOINT_VERDICT.Errored;
    case REJECTION.Resting:
      return ENDPOINT_VERDICT.Resting;
    case REJECTION.WrongEndpoint:
      // The endpoint is gone and its registry entry is stale.
      return ENDPOINT_VERDICT.Unreachable;
    default:
      return assertNever(reason);
  }
}

/** Judges the endpoint by the result of an attempt. */
export function computeEndpointVerdict(end: AttemptEnd): EndpointVerdict {
  switch (end.kind) {
    case 'unsent':
      return ENDPOINT_VERDICT.Unreachable;
    case 'withheld':
      return ENDPOINT_VERDICT.None;
    case 'broken':
      return ENDPOINT_VERDICT.Failed;
    case 'rejected':
      return computeRejectionVerdict(end.reason);
    case 'answered':
      return end.head.status >= SERVER_ERROR_MIN ? ENDPOINT_VERDICT.Errored : ENDPOINT_VERDICT.Good;
    default:
      return ENDPOINT_VERDICT.Good;
  }
}
