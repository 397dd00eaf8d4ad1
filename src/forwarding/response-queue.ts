/** Responses on their way to a peer that reads more slowly than the endpoint answers. */
import { createJoinedBytes } from '../memory/joined-bytes.js';
import type { JoinedBytes } from '../memory/joined-bytes.js';
import { createAsyncQueue } from '../utils/async-queue.js';
import type { AsyncQueue } from '../utils/async-queue.js';
import type { ForwardResponse } from './forward-messages.js';

/** Bytes of one exchange that wait for the peer before its endpoint is held back. */
const QUEUED_BYTES_MAX = 64 * 1024;
/** Larger pieces are messages of their own, and not copied. */
const SMALL_PIECE_BYTES = 16 * 1024;

export interface ResponseQueueOptions {
  /** Holds the endpoint back. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Small pieces that follow each other are joined, so that they cost no message each. */
type QueuedResponse = ForwardResponse | { readonly kind: 'pieces'; readonly pieces: JoinedBytes };

function buildResponse(queued: QueuedResponse): ForwardResponse {
  return queued.kind === 'pieces' ? { kind: 'data', bytes: queued.pieces.build() } : queued;
}

function countBytes(queued: QueuedResponse): number {
  if (queued.kind === 'pieces') return queued.pieces.getLength();
  return queued.kind === 'data' ? queued.bytes.length : 0;
}

export function createResponseQueue({
  pause,
  resume,
}: ResponseQueueOptions): AsyncQueue<ForwardResponse> {
  /** At the end of the queue. */
  let lastPieces: JoinedBytes | undefined;
  let queuedBytes = 0;
  let isPaused = false;

  const queue = createAsyncQueue<QueuedResponse>((queued) => {
    queuedBytes -= countBytes(queued);
    if (queued.kind === 'pieces' && queued.pieces === lastPieces) lastPieces = undefined;
    if (!isPaused || queuedBytes > QUEUED_BYTES_MAX / 2) return;
    isPaused = false;
    resume();
  });

  function addSmallPiece(bytes: Buffer): void {
    if (lastPieces === undefined) {
      lastPieces = createJoinedBytes();
      queue.add({ kind: 'pieces', pieces: lastPieces });
    }
    lastPieces.add(bytes);
  }

  function addResponse(response: ForwardResponse): void {
    lastPieces = undefined;
    queue.add(response);
  }

  function updateHold(): void {
    if (isPaused || queuedBytes <= QUEUED_BYTES_MAX) return;
    isPaused = true;
    pause();
  }

  return {
    add(response) {
      if (response.kind !== 'data') {
        addResponse(response);
        return;
      }
      if (response.bytes.length < SMALL_PIECE_BYTES) addSmallPiece(response.bytes);
      else addResponse(response);
      queuedBytes += response.bytes.length;
      updateHold();
    },
    close: () => queue.close(),
    async *[Symbol.asyncIterator]() {
      for await (const queued of queue) yield buildResponse(queued);
    },
  };
}
