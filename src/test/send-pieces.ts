/** Sends bytes over a connection so that each piece arrives on its own. */
import type { Socket } from 'node:net';

function sendPiece(socket: Socket, piece: string): Promise<void> {
  return new Promise((resolve) => {
    socket.write(piece, 'latin1', () => setImmediate(resolve));
  });
}

/** Cuts a text at the positions; empty pieces are left out. */
export function listPieces(text: string, cuts: readonly number[]): readonly string[] {
  const sorted = [0, ...[...cuts].sort((a, b) => a - b), text.length];
  return sorted
    .map((cut, index) => text.slice(sorted[index - 1] ?? 0, cut))
    .filter((piece) => piece !== '');
}

/** Ends early if the connection is closed. `pieces` are latin1. */
export async function sendPieces(socket: Socket, pieces: readonly string[]): Promise<void> {
  socket.setNoDelay(true);
  for (const piece of pieces) {
    if (socket.destroyed) return;
    // One after the other.
    // eslint-disable-next-line no-await-in-loop
    await sendPiece(socket, piece);
  }
}
