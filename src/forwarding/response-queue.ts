/** Responses on their way to a peer that reads more slowly than the endpoint answers. */
import { createAsyncQueue } from '../utils/async-queue.js';
import type { AsyncQueue } from '../utils/async-queue.js';
import type { ForwardResponse } from './forward-messages.js';

/** Bytes of one exchange that wait for the peer before its endpoint is held back. */
const QUEUED_BYTES_MAX = 256 * 1024;

export interface ResponseQueueOptions {
  /** Holds the endpoint back. */
  readonly pause: () => void;
  readonly resume: () => void;
}

export function createResponseQueue({
  pause,
  resume,
}: ResponseQueueOptions): AsyncQueue<ForwardResponse> {
  let queuedBytes = 0;
  let isPaused = false;

  const queue = createAsyncQueue<ForwardResponse>((response) => {
    if (response.kind === 'data') queuedBytes -= response.bytes.length;
    if (!isPaused || queuedBytes > QUEUED_BYTES_MAX / 2) return;
    isPaused = false;
    resume();
  });

  return {
    ...queue,
    add(response) {
      queue.add(response);
      if (response.kind === 'data') queuedBytes += response.bytes.length;
      if (isPaused || queuedBytes <= QUEUED_BYTES_MAX) return;
      isPaused = true;
      pause();
    },
  };
}
