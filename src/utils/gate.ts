/** A gate that one reader waits at while it is closed. */
export interface Gate {
  close(): void;
  open(): void;
  isClosed(): boolean;
  /** Returns once it is opened. */
  waitOpened(): Promise<void>;
}

export function createGate(): Gate {
  let isClosed = false;
  let wakeReader: () => void = () => undefined;
  return {
    close() {
      isClosed = true;
    },
    open() {
      isClosed = false;
      wakeReader();
    },
    isClosed: () => isClosed,
    waitOpened: () =>
      new Promise((resolve) => {
        wakeReader = resolve;
      }),
  };
}
