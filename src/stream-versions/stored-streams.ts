/**
 * Reads the rows that instances stored before they ended: streams and their versions, and claims that a
 * pool had one version only.
 */
import type { Resolution } from './binding-queries.js';
import { UNSURE_VERSION } from './stream-binding.js';
import type { PoolKey, StreamBinding, StreamKey } from './stream-binding.js';
import type { StoredRows, StreamRow, StreamStore } from './stream-row.js';
import { listUnchanged } from './version-claim.js';

/** Shortest time between two reads. */
const READ_PERIOD_MS = 1000;
/** The same once all that ended before this instance started is beyond a life. */
const LATE_READ_PERIOD_MS = 10_000;
/** Longest wait of a call for the first read after the start. */
const FIRST_READ_WAIT_MS = 2000;
/** Bounds the memory that rows can take. */
const STORED_MAX = 65_536;

/** A claim that holds until now. */
export interface HeldClaim {
  readonly pools: readonly StreamBinding[];
  /** The pools had no other version since then. */
  readonly sinceMs: number;
  /** When the registry was asked for what changed. */
  readonly checkedMs: number;
}

/** A read of the rows, as logged. */
export interface StoredRead {
  readonly rows: number;
  /** Streams whose version the rows tell. */
  readonly streams: number;
  readonly lifeMs: number;
  readonly tookMs: number;
}

export interface StoredStreamsOptions {
  readonly store: StreamStore;
  readonly getNow: () => number;
  /** Whether this instance's own view of the registry is confirmed. */
  readonly isViewReady: () => boolean;
  readonly getLifeMs: () => number;
  /** Receives the longest life of all rows; 0 if there are none. */
  readonly onLife: (lifeMs: number) => void;
  readonly onClaim: (claim: HeldClaim) => void;
  readonly onRead: (read: StoredRead) => void;
}

export interface StoredStreams {
  /** Resolves a stream that no instance knows; starts a read if one is due. */
  resolve(key: StreamKey, pool: PoolKey): Resolution;
  /** Starts the first read as soon as it is of use. */
  advance(): void;
}

const UNKNOWN: Resolution = { kind: 'unknown' };
const WAIT: Resolution = { kind: 'wait' };

function isSameBinding(a: StreamBinding, b: StreamBinding): boolean {
  return a.pool === b.pool && a.version === b.version;
}

export function createStoredStreams(options: StoredStreamsOptions): StoredStreams {
  const { store, getNow } = options;
  const startedMs = getNow();
  let bindings = new Map<StreamKey, StreamBinding>();
  let isReading = false;
  let hasRead = false;
  let readMs = -Infinity;

  /** A stream that two rows hold for begun by different versions is bound to none. */
  function buildBindings(rows: readonly StreamRow[]): Map<StreamKey, StreamBinding> {
    const found = new Map<StreamKey, StreamBinding>();
    for (const { streams } of rows) {
      for (const { pool, version, keys } of streams) {
        for (const key of keys) {
          const binding = { pool, version };
          const known = found.get(key);
          const isSure = known === undefined || isSameBinding(known, binding);
          if (found.size < STORED_MAX)
            found.set(key, isSure ? binding : { pool, version: UNSURE_VERSION });
        }
      }
    }
    return found;
  }

  async function checkClaim(row: StreamRow, ageMs: number): Promise<void> {
    const { claim } = row;
    if (claim === undefined) return;
    const sinceMs = getNow() - ageMs - (claim.coveredMs ?? row.lifeMs);
    const changes = await store.listEndpointChanges(claim.revision);
    if (changes === undefined) return;
    options.onClaim({ pools: listUnchanged(claim, changes), sinceMs, checkedMs: changes.sentMs });
  }

  async function applyRows({ rows, sourceNowMs, sentMs }: StoredRows): Promise<void> {
    const computeAge = ({ writtenAtMs }: StreamRow): number =>
      getNow() - sentMs + sourceNowMs - writtenAtMs;
    options.onLife(Math.max(0, ...rows.map(({ lifeMs }) => lifeMs)));
    const lifeMs = options.getLifeMs();
    bindings = buildBindings(rows.filter((row) => computeAge(row) <= lifeMs));
    const newest = rows
      .filter(({ claim }) => claim !== undefined)
      .sort((a, b) => (b.claim?.revision ?? 0) - (a.claim?.revision ?? 0))[0];
    if (newest !== undefined) await checkClaim(newest, computeAge(newest));
  }

  async function readRows(): Promise<void> {
    const stored = await store.list();
    if (stored === undefined) return;
    await applyRows(stored);
    hasRead = true;
    options.onRead({
      rows: stored.rows.length,
      streams: bindings.size,
      lifeMs: options.getLifeMs(),
      tookMs: getNow() - stored.sentMs,
    });
  }

  function startRead(): void {
    isReading = true;
    readMs = getNow();
    readRows()
      // The store reports failures in its results; the next call that needs the rows tries again.
      .catch(() => undefined)
      .finally(() => {
        isReading = false;
      });
  }

  /** Rows that others wrote before this instance started are late at most by a life. */
  function isReadDue(): boolean {
    const isLate = getNow() - startedMs > options.getLifeMs();
    const periodMs = isLate ? LATE_READ_PERIOD_MS : READ_PERIOD_MS;
    return options.isViewReady() && getNow() - readMs >= periodMs;
  }

  function isStarting(): boolean {
    return !hasRead && getNow() - startedMs < FIRST_READ_WAIT_MS;
  }

  return {
    resolve(key, pool) {
      const known = bindings.get(key);
      if (known !== undefined) {
        const isUsable = known.pool === pool && known.version !== UNSURE_VERSION;
        return isUsable ? { kind: 'bound', version: known.version } : UNKNOWN;
      }
      if (!isReading && isReadDue()) startRead();
      return isReading || isStarting() ? WAIT : UNKNOWN;
    },
    advance() {
      if (!hasRead && !isReading && isReadDue()) startRead();
    },
  };
}
