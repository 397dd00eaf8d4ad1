/**
 * Which part of its calls each endpoint fails, by own calls and by what instances nearby tell of
 * theirs, free of I/O.
 *
 * Guards against an endpoint that fails part of its calls quickly while it seems sound: it shows as
 * failures of calls that no other endpoint would have failed, and as a load that always looks light,
 * so that it gets ever more calls. Only instances of the own data centre are believed, because an
 * endpoint may fail the calls of one data centre alone.
 */

/** Counts of one endpoint; fractions, since older calls count less. */
export interface FailureCounts {
  readonly answers: number;
  readonly failures: number;
}

/** Time after which a call counts half, in milliseconds: an endpoint that recovered is trusted again within a few of these, and a pool of six at 15 calls a second shows five to ten calls of each in one. */
const HALF_LIFE_MS = 3000;
/** Failures that any endpoint is allowed, and answers that stand in for those not seen yet: one failure alone may be the call's own. */
const FAILURES_FORGIVEN = 1;
const ANSWERS_ASSUMED = 2;

/** Failure shares of all endpoints. */
export interface FailureShares {
  record(id: string, isFailure: boolean, nowMs: number): void;
  /** Own counts, for instances nearby; undefined where nothing failed lately. */
  findOwn(id: string, nowMs: number): FailureCounts | undefined;
  /** Everything an instance nearby counted; replaces what it told before. */
  setTold(instance: string, counts: ReadonlyMap<string, FailureCounts>): void;
  removeTold(instance: string): void;
  /** 0 to 1. */
  compute(id: string, nowMs: number): number;
  remove(id: string): void;
}

interface OwnCounts {
  answers: number;
  failures: number;
  asOfMs: number;
}

/** Own counts below this many failures are not told: they no longer change a choice. */
const TOLD_FAILURES_MIN = 0.1;

/** Builds shares of which nothing is known. */
export function createFailureShares(): FailureShares {
  const own = new Map<string, OwnCounts>();
  const told = new Map<string, ReadonlyMap<string, FailureCounts>>();

  function advanceOwn(id: string, nowMs: number): OwnCounts | undefined {
    const counts = own.get(id);
    if (counts === undefined) return undefined;
    const weight = 0.5 ** ((nowMs - counts.asOfMs) / HALF_LIFE_MS);
    counts.answers *= weight;
    counts.failures *= weight;
    counts.asOfMs = nowMs;
    return counts;
  }

  return {
    record(id, isFailure, nowMs) {
      const counts = advanceOwn(id, nowMs) ?? { answers: 0, failures: 0, asOfMs: nowMs };
      counts.answers += 1;
      if (isFailure) counts.failures += 1;
      own.set(id, counts);
    },
    findOwn(id, nowMs) {
      const counts = advanceOwn(id, nowMs);
      if (counts === undefined || counts.failures < TOLD_FAILURES_MIN) return undefined;
      return { answers: counts.answers, failures: counts.failures };
    },
    setTold(instance, counts) {
      if (counts.size === 0) told.delete(instance);
      else told.set(instance, counts);
    },
    removeTold(instance) {
      told.delete(instance);
    },
    compute(id, nowMs) {
      let { answers, failures } = advanceOwn(id, nowMs) ?? { answers: 0, failures: 0 };
      for (const counts of told.values()) {
        const count = counts.get(id);
        answers += count?.answers ?? 0;
        failures += count?.failures ?? 0;
      }
      return Math.max(0, failures - FAILURES_FORGIVEN) / (answers + ANSWERS_ASSUMED);
    },
    remove(id) {
      own.delete(id);
    },
  };
}
