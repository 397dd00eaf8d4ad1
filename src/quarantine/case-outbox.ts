/**
 * Chooses which cases are reported to peers and when; does no I/O. Changed cases are repeated,
 * since datagrams are lost; all others are sent in rotation, for instances that have just started.
 */
import type { ContentId } from '../calls/content-id.js';
import type { ToldCase } from './case-ledger.js';
import { STANDING, computeStanding } from './crash-case.js';
import type { CrashCase } from './crash-case.js';

/** Interval between repeats of a changed case. */
const NEWS_PERIOD_MS = 200;
/** Number of times a changed case is sent. */
const NEWS_TELLINGS = 4;
/** Interval between batches of unchanged cases. */
const REST_PERIOD_MS = 1000;
/** Cases per datagram, so that it fits an Ethernet frame. */
const CASES_MAX = 14;
const REST_MAX = 6;

export interface CaseOutbox {
  /** Schedules a content's case for sending, after it changed. */
  recordNews(content: ContentId): void;
  /** Returns the cases that are due to be sent now. */
  take(cases: readonly CrashCase[], nowMs: number): ToldCase[];
}

export function buildToldCase(subject: CrashCase, nowMs: number): ToldCase {
  const { content, organisation, strikes, cleared, trial } = subject;
  return {
    content,
    organisation,
    strikes: [...strikes.values()].map(({ start, sentMs, crashedMs }) => ({
      start,
      sentAgoMs: nowMs - sentMs,
      crashedAgoMs: nowMs - crashedMs,
    })),
    cleared: [...cleared],
    trial:
      trial === undefined || trial.untilMs <= nowMs
        ? undefined
        : { start: trial.start, leftMs: trial.untilMs - nowMs },
  };
}

function compareWorst(a: CrashCase, b: CrashCase): number {
  return b.strikes.size - a.strikes.size || b.changedMs - a.changedMs;
}

export function createCaseOutbox(): CaseOutbox {
  const tellingsLeft = new Map<ContentId, number>();
  let newsMs = -Infinity;
  let restMs = -Infinity;
  let restIndex = 0;

  function takeNews(cases: readonly CrashCase[], nowMs: number): CrashCase[] {
    if (tellingsLeft.size === 0 || nowMs - newsMs < NEWS_PERIOD_MS) return [];
    newsMs = nowMs;
    const news = cases
      .filter(({ content }) => tellingsLeft.has(content))
      .sort(compareWorst)
      .slice(0, CASES_MAX);
    for (const { content } of news) {
      const left = (tellingsLeft.get(content) ?? 0) - 1;
      if (left > 0) tellingsLeft.set(content, left);
      else tellingsLeft.delete(content);
    }
    return news;
  }

  /** Condemned cases fill at most half of a batch; the rest rotates through all cases. */
  function takeRest(cases: readonly CrashCase[], nowMs: number): CrashCase[] {
    if (cases.length === 0 || nowMs - restMs < REST_PERIOD_MS) return [];
    restMs = nowMs;
    const condemned = cases
      .filter((subject) => computeStanding(subject) === STANDING.Condemned)
      .sort(compareWorst)
      .slice(0, REST_MAX / 2);
    restIndex = restIndex >= cases.length ? 0 : restIndex;
    const inTurn = cases.slice(restIndex, restIndex + REST_MAX - condemned.length);
    restIndex += inTurn.length;
    return [...condemned, ...inTurn];
  }

  return {
    recordNews(content) {
      tellingsLeft.set(content, NEWS_TELLINGS);
    },
    take(cases, nowMs) {
      const news = takeNews(cases, nowMs);
      const rest = takeRest(cases, nowMs);
      return [...new Set([...news, ...rest])]
        .slice(0, CASES_MAX)
        .map((subject) => buildToldCase(subject, nowMs));
    },
  };
}
