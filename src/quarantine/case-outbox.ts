/**
 * Chooses which cases are reported to peers and when; does no I/O. Changed cases are repeated,
 * since datagrams are lost; all others are sent in rotation, for instances that have just started.
 */
import type { ContentId } from '../calls/content-id.js';
import type { CaseReport } from './case-ledger.js';
import { STANDING, computeStanding } from './crash-case.js';
import type { CrashCase } from './crash-case.js';

/** Interval between repeats of a changed case. */
const UPDATE_PERIOD_MS = 200;
/** Number of times a changed case is sent: at a loss of 1%, one in 10^8 misses all copies. */
const UPDATE_COPIES = 4;
/** Interval between batches of unchanged cases, from which a starting instance learns them. */
const ROTATION_PERIOD_MS = 1000;
/** Cases per datagram, so that it fits an Ethernet frame. */
const DATAGRAM_CASES_MAX = 14;
const ROTATION_CASES_MAX = 6;

export interface CaseOutbox {
  /** Schedules a content's case for sending, after it changed. */
  recordUpdate(content: ContentId): void;
  /** Returns the cases that are due to be sent now. */
  take(cases: readonly CrashCase[], nowMs: number): CaseReport[];
}

export function buildCaseReport(subject: CrashCase, nowMs: number): CaseReport {
  const { content, organisation, crashes, cleared, trial } = subject;
  return {
    content,
    organisation,
    crashes: [...crashes.values()].map(({ start, sentMs, crashedMs }) => ({
      start,
      sentAgoMs: nowMs - sentMs,
      crashedAgoMs: nowMs - crashedMs,
    })),
    cleared: [...cleared],
    trial:
      trial === undefined || trial.expiresMs <= nowMs
        ? undefined
        : { start: trial.start, remainingMs: trial.expiresMs - nowMs },
  };
}

function compareSeverity(a: CrashCase, b: CrashCase): number {
  return b.crashes.size - a.crashes.size || b.changedMs - a.changedMs;
}

export function createCaseOutbox(): CaseOutbox {
  const copiesLeft = new Map<ContentId, number>();
  let updatesSentMs = -Infinity;
  let rotationSentMs = -Infinity;
  let rotationIndex = 0;

  function takeUpdates(cases: readonly CrashCase[], nowMs: number): CrashCase[] {
    if (copiesLeft.size === 0 || nowMs - updatesSentMs < UPDATE_PERIOD_MS) return [];
    updatesSentMs = nowMs;
    const updates = cases
      .filter(({ content }) => copiesLeft.has(content))
      .sort(compareSeverity)
      .slice(0, DATAGRAM_CASES_MAX);
    for (const { content } of updates) {
      const left = (copiesLeft.get(content) ?? 0) - 1;
      if (left > 0) copiesLeft.set(content, left);
      else copiesLeft.delete(content);
    }
    return updates;
  }

  /** Condemned cases fill at most half of a batch; the rest rotates through all cases. */
  function takeRotation(cases: readonly CrashCase[], nowMs: number): CrashCase[] {
    if (cases.length === 0 || nowMs - rotationSentMs < ROTATION_PERIOD_MS) return [];
    rotationSentMs = nowMs;
    const condemned = cases
      .filter((subject) => computeStanding(subject) === STANDING.Condemned)
      .sort(compareSeverity)
      .slice(0, ROTATION_CASES_MAX / 2);
    rotationIndex = rotationIndex >= cases.length ? 0 : rotationIndex;
    const next = cases.slice(rotationIndex, rotationIndex + ROTATION_CASES_MAX - condemned.length);
    rotationIndex += next.length;
    return [...condemned, ...next];
  }

  return {
    recordUpdate(content) {
      copiesLeft.set(content, UPDATE_COPIES);
    },
    take(cases, nowMs) {
      const updates = takeUpdates(cases, nowMs);
      const rotated = takeRotation(cases, nowMs);
      return [...new Set([...updates, ...rotated])]
        .slice(0, DATAGRAM_CASES_MAX)
        .map((subject) => buildCaseReport(subject, nowMs));
    },
  };
}
