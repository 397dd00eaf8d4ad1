/** Recognises uncaught errors of connections. */
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

/** Errors that the runtime raises on a connection, which have no system call. */
const CONNECTION_CODE_PATTERN = /^ERR_(HTTP2|SOCKET|STREAM)_/;
/** A frame of a stack in a file, other than those of the runtime itself. */
const OWN_FRAME_PATTERN = /^\s+at (?!.*\(?node:)/m;

/** Whether the runtime raised the error on an event of a connection, not in a call by this program. */
function isRaisedByRuntime(error: unknown): boolean {
  if (!(error instanceof Error) || error instanceof TypeError || error instanceof RangeError)
    return false;
  const { code, stack = '' } = error as NodeJS.ErrnoException;
  return CONNECTION_CODE_PATTERN.test(code ?? '') && !OWN_FRAME_PATTERN.test(stack);
}

/**
 * Whether an uncaught error comes from a connection only. The owners of connections listen for their
 * errors; this guards against a process exit where one is missed. Told by the origin of the error: a
 * failed call to a peer, a system call on a socket, or an event that the runtime handled by itself. An
 * error in a call by this program is of unknown effect, whatever its code.
 */
export function isLinkFailure(error: unknown): boolean {
  if (error instanceof ConnectError) return LINK_CODES.includes(error.code);
  return isSocketFailure(error) || isRaisedByRuntime(error);
}
