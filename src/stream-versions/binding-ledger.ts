/**
 * The bindings of streams that this instance knows, from its own calls and from other instances.
 * Performs no I/O; bounded in size.
 */
import { UNSURE_VERSION } from './stream-binding.js';
import type { BindingGroup, StreamBinding, StreamKey } from './stream-binding.js';

/** About 3 MB of memory. */
const BINDINGS_MAX = 16_384;
/** Number of times that an own binding is told, since datagrams are lost. */
const TOLD_COPIES = 2;
/** Own bindings listed at once: those of a row stay under half of its size. */
const LISTED_MAX = 1500;
/** Source of own bindings. */
const OWN = 'own';

export interface KnownBinding extends StreamBinding {
  readonly recordedMs: number;
  /** 'own' or the name of the instance that told it. */
  readonly source: string;
}

/** An own binding that other instances do not know yet. */
export interface UntoldBinding {
  readonly key: StreamKey;
  readonly binding: StreamBinding;
}

export interface BindingLedger {
  /** Records the first event of an own call; a later call of the stream records it again. */
  record(key: StreamKey, binding: StreamBinding, nowMs: number): void;
  merge(groups: readonly BindingGroup[], source: string, nowMs: number): void;
  find(key: StreamKey): KnownBinding | undefined;
  /** Returns the own bindings to tell now, each as often as it is to be told. */
  takeUntold(isTold: (binding: StreamBinding) => boolean): UntoldBinding[];
  /** Returns the newest own bindings that are to be told, by pool and version. */
  listOwn(isTold: (binding: StreamBinding) => boolean): BindingGroup[];
  count(): number;
  /** Drops bindings that were recorded before a time. */
  removeBefore(beforeMs: number): void;
}

export function createBindingLedger(): BindingLedger {
  /** In the order of recording, the oldest first. */
  const bindings = new Map<StreamKey, KnownBinding>();
  const copiesLeft = new Map<StreamKey, number>();

  function removeBinding(key: StreamKey): void {
    bindings.delete(key);
    copiesLeft.delete(key);
  }

  function setBinding(key: StreamKey, binding: KnownBinding): void {
    bindings.delete(key);
    bindings.set(key, binding);
    const [oldest] = bindings.keys();
    if (bindings.size > BINDINGS_MAX && oldest !== undefined) removeBinding(oldest);
  }

  /** A stream that two instances hold for begun by different versions is bound to none. */
  function mergeBinding(key: StreamKey, told: KnownBinding): void {
    const known = bindings.get(key);
    const isSame = known === undefined || known.version === told.version;
    setBinding(key, isSame ? told : { ...told, version: UNSURE_VERSION });
  }

  return {
    record(key, { pool, version }, nowMs) {
      setBinding(key, { pool, version, recordedMs: nowMs, source: OWN });
      copiesLeft.set(key, TOLD_COPIES);
    },
    merge(groups, source, nowMs) {
      for (const { pool, version, keys } of groups)
        for (const key of keys) mergeBinding(key, { pool, version, recordedMs: nowMs, source });
    },
    find: (key) => bindings.get(key),
    takeUntold(isTold) {
      const untold: UntoldBinding[] = [];
      for (const [key, copies] of copiesLeft) {
        const binding = bindings.get(key);
        if (binding !== undefined && isTold(binding)) {
          untold.push({ key, binding });
          if (copies > 1) copiesLeft.set(key, copies - 1);
          else copiesLeft.delete(key);
        }
      }
      return untold;
    },
    listOwn(isTold) {
      const groups = new Map<string, StreamBinding & { readonly keys: StreamKey[] }>();
      const own = [...bindings].filter(([, known]) => known.source === OWN && isTold(known));
      for (const [key, { pool, version }] of own.slice(-LISTED_MAX)) {
        const name = `${pool}|${version}`;
        const group = groups.get(name) ?? { pool, version, keys: [] };
        group.keys.push(key);
        groups.set(name, group);
      }
      return [...groups.values()];
    },
    count: () => bindings.size,
    removeBefore(beforeMs) {
      for (const [key, { recordedMs }] of bindings) {
        if (recordedMs >= beforeMs) return;
        removeBinding(key);
      }
    },
  };
}
