/**
 * Stores condemned contents, so that they survive a restart of all instances at once. The instance
 * that condemns a content writes its row; instances that follow the source read the rows and report
 * them to their peers.
 */
import type { ContentId } from '../calls/content-id.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { CaseReport } from './case-ledger.js';
import type { CrashCase, OrganisationKey } from './crash-case.js';

/** Long, since peers exchange cases directly and rows only fill gaps. */
const READ_PERIOD_MS = 60_000;
/** Also the retry interval for rows that could not be written. */
const WRITE_PERIOD_MS = 1000;
/** Rows waiting to be written; the oldest are dropped first. */
const PENDING_WRITES_MAX = 64;
/** Assumed interval between the crashes of a stored case, since rows hold no times. */
const STORED_CRASH_INTERVAL_MS = 1000;

export const CASE_STATE = { Condemned: 'condemned', Released: 'released' } as const;
export type CaseState = (typeof CASE_STATE)[keyof typeof CASE_STATE];

export interface CaseRow {
  readonly content: ContentId;
  readonly organisation: OrganisationKey;
  readonly starts: readonly EndpointKey[];
  readonly state: CaseState;
  /** The operator who released the content; empty if an instance decided. */
  readonly who: string;
  readonly reason: string;
}

export interface CaseStore {
  /** Undefined if the store cannot be read. */
  list(): Promise<readonly CaseRow[] | undefined>;
  /** False if the store did not confirm the write. */
  set(row: CaseRow): Promise<boolean>;
  /**
   * Takes the fleet-wide lease on a content's trial; false if it is held or the store does not
   * answer.
   */
  takeTrialLease(content: ContentId): Promise<boolean>;
}

export interface CaseRowsOptions {
  readonly store: CaseStore;
  readonly timers: TimerService;
  /** Called for each row that was read, in the form of a peer's report. */
  readonly onReport: (report: CaseReport) => void;
}

export interface CaseRows {
  add(subject: CrashCase, state: CaseState, who: string, reason: string): void;
  /** Enables reading, for an instance that follows the source. */
  setReading(isReading: boolean): void;
}

/**
 * Converts a row to a peer's report. Its crashes count as successive ones; a release clears only
 * the crashes that it names.
 */
function buildReport({ content, organisation, starts, state }: CaseRow): CaseReport {
  const isReleased = state === CASE_STATE.Released;
  const crashes = starts.map((start, index) => {
    const crashedAgoMs = (starts.length - index) * STORED_CRASH_INTERVAL_MS;
    return { start, crashedAgoMs, sentAgoMs: crashedAgoMs + STORED_CRASH_INTERVAL_MS / 2 };
  });
  return {
    content,
    organisation,
    crashes: isReleased ? [] : crashes,
    cleared: isReleased ? starts : [],
    trial: undefined,
  };
}

export function createCaseRows({ store, timers, onReport }: CaseRowsOptions): CaseRows {
  const pendingWrites = new Map<ContentId, CaseRow>();
  let isReading = false;
  let readMs = -Infinity;
  let isBusy = false;

  async function readRows(): Promise<void> {
    const rows = await store.list();
    if (rows === undefined) return;
    readMs = timers.clock.monotonicMs();
    for (const row of rows) onReport(buildReport(row));
  }

  async function writeRows(): Promise<void> {
    for (const [content, row] of [...pendingWrites]) {
      // Sequential, to limit the load on the store.
      // eslint-disable-next-line no-await-in-loop
      const isStored = await store.set(row);
      if (isStored && pendingWrites.get(content) === row) pendingWrites.delete(content);
    }
  }

  async function advanceRows(): Promise<void> {
    if (isBusy) return;
    isBusy = true;
    try {
      if (pendingWrites.size > 0) await writeRows();
      const isDue = timers.clock.monotonicMs() - readMs >= READ_PERIOD_MS;
      if (isReading && isDue) await readRows();
    } finally {
      isBusy = false;
    }
  }

  timers.subscribe(WRITE_PERIOD_MS, () => {
    // The store client logs its failures; the next period tries again.
    advanceRows().catch(() => undefined);
  });

  return {
    add({ content, organisation, crashes }, state, who, reason) {
      pendingWrites.delete(content);
      pendingWrites.set(content, {
        content,
        organisation,
        starts: [...crashes.keys()],
        state,
        who,
        reason,
      });
      const [oldest] = pendingWrites.keys();
      if (pendingWrites.size > PENDING_WRITES_MAX && oldest !== undefined)
        pendingWrites.delete(oldest);
    },
    setReading(next) {
      isReading = next;
    },
  };
}
