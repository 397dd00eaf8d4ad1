/** Tells errors that a peer's connection raised by itself from all others. */
import { Code, ConnectError } from '@connectrpc/connect';

/** What a connection that is lost, silent or given up ends with. */
const LINK_CODES: readonly Code[] = [
  Code.Unavailable,
  Code.DeadlineExceeded,
  Code.Canceled,
  Code.Aborted,
];

/** What a socket that could not be connected, or was lost, ends with. */
const SOCKET_CODES: readonly string[] = [
  'ECONNREFUSED',
  'ECONNRESET',
  'EPIPE',
  'ETIMEDOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
];

function isSocketFailure(error: unknown): boolean {
  const { syscall, code } = error as NodeJS.ErrnoException;
  return error instanceof Error && syscall !== undefined && SOCKET_CODES.includes(code ?? '');
}

/**
 * Whether an error that nobody caught is a lost link to a peer. Guards against the end of the whole
 * process: a session that is given up while it still connects raises the refusal of its connection
 * after the connect library removed its listeners, and Node ends a process for such an error. It
 * shows after a cut, when a connection that was silent is refused by a peer that has since been
 * killed. The link is made anew by the next message, so nothing else has to happen.
 */
export function isLinkFailure(error: unknown): boolean {
  if (error instanceof ConnectError) return LINK_CODES.includes(error.code);
  return isSocketFailure(error);
}
