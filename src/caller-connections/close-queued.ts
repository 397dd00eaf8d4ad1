/** Ends responses that wait for their turn on a connection. */
import type { ServerResponse } from 'node:http';

/**
 * Closes a response that waits behind another one; does nothing for one whose turn has come. The answers
 * before it are still written, and its connection closes when its turn comes. The runtime tells only the
 * response whose turn it is of its end, so that what a waiting one holds would not be given back.
 */
export function closeQueued(response: ServerResponse): void {
  if (response.socket !== null || response.closed) return;
  response.destroy();
  response.emit('close');
}
