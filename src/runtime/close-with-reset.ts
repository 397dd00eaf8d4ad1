/** Resets connections. */
import type { Socket } from 'node:net';

/** Whether the end of the sending half is on its way to the kernel. */
function isEnding({ writableEnded, writableFinished, writableLength }: Socket): boolean {
  return writableEnded && !writableFinished && writableLength === 0;
}

/**
 * Closes a connection by a reset, without what is not written yet. The runtime's own reset fails while
 * the end of the sending half is under way; it then never closes the socket, and the process cannot end.
 */
export function closeWithReset(socket: Socket | null | undefined): void {
  // eslint-disable-next-line no-restricted-properties -- used here alone
  const reset = (): unknown => socket?.resetAndDestroy();
  if (socket != null && isEnding(socket)) socket.once('finish', reset);
  else reset();
}
