/** Converts attempt verdicts to and from their wire form. */
import type { AttemptVerdict } from '../claims/claim.js';
import { AttemptVerdict as WireVerdict } from '../gen/peer_pb.js';
import { assertNever } from '../utils/assert-never.js';

export function encodeVerdict(verdict: AttemptVerdict): WireVerdict {
  switch (verdict) {
    case 'abandoned':
      return WireVerdict.ABANDONED;
    case 'sent':
      return WireVerdict.SENT;
    case 'unknown':
      return WireVerdict.UNKNOWN;
    default:
      return assertNever(verdict);
  }
}

/** A value of a newer release is read as `unknown`. */
export function parseVerdict(verdict: WireVerdict): AttemptVerdict {
  switch (verdict) {
    case WireVerdict.ABANDONED:
      return 'abandoned';
    case WireVerdict.SENT:
      return 'sent';
    default:
      return 'unknown';
  }
}
