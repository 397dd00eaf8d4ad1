/** Recognises uncaught errors of connections to peers. */
import { Code, ConnectError } from '@connectrpc/connect';

const LINK_CODES: readonly Code[] = [
  Code.Unavailable,
  Code.DeadlineExceeded,
  Code.Canceled,
  Code.Aborted,
];

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
 * Whether an uncaught error comes from a connection to a peer. Guards against a process exit: a
 * session aborted while connecting can emit an error after the connect library has removed its
 * listeners. The next message opens a new connection.
 */
export function isLinkFailure(error: unknown): boolean {
  if (error instanceof ConnectError) return LINK_CODES.includes(error.code);
  return isSocketFailure(error);
}
