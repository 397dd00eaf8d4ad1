/** A queue that one reader iterates over as values come. */
export interface AsyncQueue<T> extends AsyncIterable<T> {
  add(value: T): void;
  /** No more values follow; those that are queued are still read. */
  close(): void;
}

/** `onTaken` is called for each value before the reader gets it. */
export function createAsyncQueue<T>(onTaken: (value: T) => void = () => undefined): AsyncQueue<T> {
  const values: T[] = [];
  let isClosed = false;
  let wakeReader: () => void = () => undefined;

  function waitForChange(): Promise<void> {
    return new Promise((resolve) => {
      wakeReader = resolve;
    });
  }

  return {
    add(value) {
      if (isClosed) return;
      values.push(value);
      wakeReader();
    },
    close() {
      isClosed = true;
      wakeReader();
    },
    async *[Symbol.asyncIterator]() {
      while (values.length > 0 || !isClosed) {
        if (values.length > 0) {
          const value = values.shift() as T;
          onTaken(value);
          yield value;
        } else {
          // Each wait ends before the next begins.
          // eslint-disable-next-line no-await-in-loop
          await waitForChange();
        }
      }
    },
  };
}
