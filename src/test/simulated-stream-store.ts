/** A store of streams in memory, of which every instance reads what all have written. */
import type { EndpointChanges, StreamRow, StreamStore } from '../stream-versions/stream-row.js';
import type { StreamObserver } from '../stream-versions/stream-versions.js';

export interface SimulatedStreamStore extends StreamStore {
  readonly rows: ReadonlyMap<string, StreamRow>;
  /** Whether calls are answered. */
  setReachable(isReachable: boolean): void;
  /** Sets what the registry answers if it is asked for changes; none by default. */
  setChanges(changes: Omit<EndpointChanges, 'sentMs' | 'revision'> | undefined): void;
}

/** The clock of the store is that of the test. */
export function createSimulatedStreamStore(getNow: () => number): SimulatedStreamStore {
  const rows = new Map<string, StreamRow>();
  let isReachable = true;
  let changes: Omit<EndpointChanges, 'sentMs' | 'revision'> | undefined = {
    present: [],
    removed: [],
  };
  return {
    rows,
    setReachable(next) {
      isReachable = next;
    },
    setChanges(next) {
      changes = next;
    },
    async list() {
      if (!isReachable) return undefined;
      return { rows: [...rows.values()], sourceNowMs: getNow(), sentMs: getNow() };
    },
    async set(row) {
      if (!isReachable) return false;
      rows.set(row.key, row);
      return true;
    },
    async remove(keys) {
      for (const key of keys) rows.delete(key);
    },
    async listEndpointChanges(revision) {
      if (!isReachable || changes === undefined) return undefined;
      return { revision, ...changes, sentMs: getNow() };
    },
  };
}

export const SILENT_STREAM_OBSERVER: StreamObserver = {
  onResolved: () => undefined,
  onTold: () => undefined,
  onStoredRead: () => undefined,
  onClaim: () => undefined,
};
