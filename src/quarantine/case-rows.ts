/**
 * Condemned contents as rows that outlast all instances. Guards against forgetting when every instance is
 * restarted at once, which shows as three more endpoints lost to each of them. Who condemns writes; the
 * instances that follow the source read, and tell the others.
 */
import type { ContentId } from '../calls/content-id.js';
import type { EndpointKey } from '../placement/told-loads.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { ToldCase } from './case-ledger.js';
import type { CrashCase, OrganisationKey } from './crash-case.js';

/** Rows are read again after this long, in milliseconds: condemned contents travel among instances, and rows only fill gaps. */
const READ_PERIOD_MS = 60_000;
/** A row that was not taken is written again after this long, in milliseconds. */
const WRITE_PERIOD_MS = 1000;
/** Rows that wait to be written; the oldest give way. */
const UNWRITTEN_MAX = 64;
/** Between the crashes of a case that was read, in milliseconds: all that counts is that they came one after the other. */
const READ_SPACING_MS = 1000;

/** What a row says of its content. */
export const CASE_STATE = { Condemned: 'condemned', Released: 'released' } as const;
export type CaseState = (typeof CASE_STATE)[keyof typeof CASE_STATE];

/** One row. */
export interface CaseRow {
  readonly content: ContentId;
  readonly organisation: OrganisationKey;
  readonly starts: readonly EndpointKey[];
  readonly state: CaseState;
  /** Who released it and why; empty where instances decided. */
  readonly who: string;
  readonly reason: string;
}

/** Where rows are kept. */
export interface CaseStore {
  /** Undefined where it cannot be read now. */
  list(): Promise<readonly CaseRow[] | undefined>;
  /** False where it did not say that it took the row. */
  set(row: CaseRow): Promise<boolean>;
  /** Takes the fleet's only lease of a content's trial; false where it is taken, or the store cannot tell. */
  takeTrialLease(content: ContentId): Promise<boolean>;
}

/** What the rows are built on. */
export interface CaseRowsOptions {
  readonly store: CaseStore;
  readonly timers: TimerService;
  /** A row was read: what it says of its content, as a peer would tell it. */
  readonly onTold: (told: ToldCase) => void;
}

/** The rows as one instance sees them. */
export interface CaseRows {
  add(subject: CrashCase, state: CaseState, who: string, reason: string): void;
  /** Whether this instance follows the source: then it reads. */
  setReading(isReading: boolean): void;
}

/**
 * What a row says as a peer would tell it. Of a condemned content only the starts are known: their crashes
 * count as one after the other, and long ago. A release is of the crashes it names, not of later ones.
 */
function buildTold({ content, organisation, starts, state }: CaseRow): ToldCase {
  const isReleased = state === CASE_STATE.Released;
  const strikes = starts.map((start, index) => {
    const crashedAgoMs = (starts.length - index) * READ_SPACING_MS;
    return { start, crashedAgoMs, sentAgoMs: crashedAgoMs + READ_SPACING_MS / 2 };
  });
  return {
    content,
    organisation,
    strikes: isReleased ? [] : strikes,
    cleared: isReleased ? starts : [],
    trial: undefined,
  };
}

/** Builds rows that were not read yet. */
export function createCaseRows({ store, timers, onTold }: CaseRowsOptions): CaseRows {
  const unwritten = new Map<ContentId, CaseRow>();
  let isReading = false;
  let readMs = -Infinity;
  let isBusy = false;

  async function readRows(): Promise<void> {
    const rows = await store.list();
    if (rows === undefined) return;
    readMs = timers.clock.monotonicMs();
    for (const row of rows) onTold(buildTold(row));
  }

  async function writeRows(): Promise<void> {
    for (const [content, row] of [...unwritten]) {
      // One after the other: the store is asked for little at a time.
      // eslint-disable-next-line no-await-in-loop
      const isTaken = await store.set(row);
      if (isTaken && unwritten.get(content) === row) unwritten.delete(content);
    }
  }

  async function advanceRows(): Promise<void> {
    if (isBusy) return;
    isBusy = true;
    try {
      if (unwritten.size > 0) await writeRows();
      const isDue = timers.clock.monotonicMs() - readMs >= READ_PERIOD_MS;
      if (isReading && isDue) await readRows();
    } finally {
      isBusy = false;
    }
  }

  timers.subscribe(WRITE_PERIOD_MS, () => {
    // The store's client reports its failures; what was not done is tried in the next period.
    advanceRows().catch(() => undefined);
  });

  return {
    add({ content, organisation, strikes }, state, who, reason) {
      unwritten.delete(content);
      unwritten.set(content, {
        content,
        organisation,
        starts: [...strikes.keys()],
        state,
        who,
        reason,
      });
      const [oldest] = unwritten.keys();
      if (unwritten.size > UNWRITTEN_MAX && oldest !== undefined) unwritten.delete(oldest);
    },
    setReading(next) {
      isReading = next;
    },
  };
}
