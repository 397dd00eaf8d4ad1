/**
 * Writes the row of this instance: streams that nobody could conclude, and claims of an instance that
 * leads the watch of the registry.
 */
import type { BindingGroup, StreamKey } from './stream-binding.js';
import type { StreamRow, StreamStore, VersionClaim } from './stream-row.js';

/** Shortest time between two writes; streams that begin within it are lost with the process. */
const WRITE_PERIOD_MS = 250;
/** Keeps all instances together under half of the rate of four partitions of 200 writes a second. */
const WRITE_PERIOD_PER_INSTANCE_MS = 2.5;
/** Age at which a claim is written anew; the registry keeps its changes for some times as long. */
const CLAIM_PERIOD_MS = 5000;
/** A watcher that leads looks for old rows this often. */
const CLEANUP_PERIOD_MS = 600_000;
/** Rows of this age are of no use. */
const ROW_KEPT_MS = 600_000;
/** Rows removed at once. */
const REMOVED_MAX = 50;

export interface StreamRowWriterOptions {
  readonly key: string;
  readonly store: StreamStore;
  readonly getNow: () => number;
  /** The store's clock; undefined while unknown. */
  readonly getSourceNow: () => number | undefined;
  readonly countInstances: () => number;
  readonly getLifeMs: () => number;
  /** Own streams whose version nobody could conclude. */
  readonly listStreams: () => readonly BindingGroup[];
  /** Undefined unless this instance leads the watch and a pool has one version. */
  readonly getClaim: () => VersionClaim | undefined;
  readonly isLeading: () => boolean;
}

export interface StreamRowWriter {
  /** Starts a write if one is due. */
  advance(): void;
}

export function createStreamRowWriter(options: StreamRowWriterOptions): StreamRowWriter {
  const { store, getNow } = options;
  const cleanupStartMs = getNow();
  let isBusy = false;
  let writtenMs = -Infinity;
  let claimedMs = -Infinity;
  let writtenLifeMs = 0;
  let writtenKeys: ReadonlySet<StreamKey> = new Set();
  let cleanedMs = cleanupStartMs;

  function buildRow(sourceNowMs: number): StreamRow {
    return {
      key: options.key,
      writtenAtMs: sourceNowMs,
      lifeMs: options.getLifeMs(),
      streams: options.listStreams(),
      claim: options.getClaim(),
    };
  }

  function hasNewKeys(streams: readonly BindingGroup[]): boolean {
    return streams.some(({ keys }) => keys.some((key) => !writtenKeys.has(key)));
  }

  /** A longer life is written at once, since it limits what may be concluded after an end of all. */
  function isDue(row: StreamRow, nowMs: number): boolean {
    if (row.lifeMs > writtenLifeMs && row.streams.length > 0) return true;
    const periodMs = Math.max(
      WRITE_PERIOD_MS,
      options.countInstances() * WRITE_PERIOD_PER_INSTANCE_MS,
    );
    if (nowMs - writtenMs < periodMs) return false;
    const isClaimDue = row.claim !== undefined && nowMs - claimedMs >= CLAIM_PERIOD_MS;
    return isClaimDue || hasNewKeys(row.streams);
  }

  async function writeRow(row: StreamRow, nowMs: number): Promise<void> {
    writtenMs = nowMs;
    if (!(await store.set(row))) return;
    writtenLifeMs = row.lifeMs;
    writtenKeys = new Set(row.streams.flatMap(({ keys }) => keys));
    if (row.claim !== undefined) claimedMs = nowMs;
  }

  async function removeOldRows(): Promise<void> {
    cleanedMs = getNow();
    const stored = await store.list();
    if (stored === undefined) return;
    const { rows, sourceNowMs } = stored;
    const old = rows.filter(({ writtenAtMs }) => sourceNowMs - writtenAtMs > ROW_KEPT_MS);
    const keys = old.slice(0, REMOVED_MAX).map(({ key }) => key);
    if (keys.length > 0) await store.remove(keys);
  }

  async function runDue(): Promise<void> {
    const nowMs = getNow();
    const sourceNowMs = options.getSourceNow();
    if (sourceNowMs === undefined) return;
    const row = buildRow(sourceNowMs);
    if (isDue(row, nowMs)) await writeRow(row, nowMs);
    else if (options.isLeading() && nowMs - cleanedMs >= CLEANUP_PERIOD_MS) await removeOldRows();
  }

  return {
    advance() {
      if (isBusy) return;
      isBusy = true;
      runDue()
        // The store reports failures in its results; the next period tries again.
        .catch(() => undefined)
        .finally(() => {
          isBusy = false;
        });
    },
  };
}
