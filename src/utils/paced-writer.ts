/**
 * Writes a stream to a reader that may be slow, one write at a time; what comes meanwhile is joined into
 * the next. Free of I/O.
 *
 * Guards against a reader for which writes pile up: each is an object, and keeps the buffer alive that
 * its bytes came in.
 */
import { createJoinedBytes } from '../memory/joined-bytes.js';

/** Bytes that wait behind a write before no more are asked for. */
export const WAITING_BYTES_MAX = 64 * 1024;

export interface PacedWriterOptions {
  /** Starts a write; `onWritten` is called later, once its bytes have left. */
  readonly write: (bytes: Buffer, onWritten: () => void) => void;
  /** Asks for no more until `resume`; what comes nevertheless is still written. */
  readonly pause: () => void;
  readonly resume: () => void;
}

export interface PacedWriter {
  /** Cuts are only made between the bytes of two calls. */
  write(bytes: Buffer): void;
  /** Writes what waits at once, before an end. */
  flush(): void;
}

export function createPacedWriter({ write, pause, resume }: PacedWriterOptions): PacedWriter {
  const waiting = createJoinedBytes();
  let isWriting = false;
  let isPaused = false;

  function startWrite(bytes: Buffer): void {
    isWriting = true;
    write(bytes, handleWritten);
  }

  function handleWritten(): void {
    isWriting = false;
    if (waiting.getLength() > 0) startWrite(waiting.build());
    if (!isPaused) return;
    isPaused = false;
    resume();
  }

  return {
    write(bytes) {
      if (!isWriting) {
        startWrite(bytes);
        return;
      }
      waiting.add(bytes);
      if (isPaused || waiting.getLength() < WAITING_BYTES_MAX) return;
      isPaused = true;
      pause();
    },
    flush() {
      if (waiting.getLength() > 0) startWrite(waiting.build());
    },
  };
}
