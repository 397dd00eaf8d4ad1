/** What an entry says of an attempt, between the wire and the program. */
import type { AttemptVerdict } from '../claims/claim.js';
import { AttemptVerdict as WireVerdict } from '../gen/peer_pb.js';
import { assertNever } from '../utils/assert-never.js';

/** The verdict for the wire. */
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

/** The verdict off the wire; what cannot be read proves nothing. */
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
