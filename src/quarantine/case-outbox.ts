/**
 * Which cases an instance tells others, and when, free of I/O. What is new is told several times in short
 * order, since datagrams are lost; the rest in turn, the worst first, for instances that have just started.
 */
import type { ContentId } from '../calls/content-id.js';
import type { ToldCase } from './case-ledger.js';
import { STANDING, computeStanding } from './crash-case.js';
import type { CrashCase } from './crash-case.js';

/** News is told again after this long, in milliseconds. */
const NEWS_PERIOD_MS = 200;
/** Times that news is told: of one datagram in a hundred lost, one in 10^8 is not heard. */
const NEWS_TELLINGS = 4;
/** What is no news is told this often, in milliseconds: an instance that has just started knows the worst within a moment. */
const REST_PERIOD_MS = 1000;
/** Cases told at once: they fit an Ethernet frame. */
const CASES_MAX = 14;
const REST_MAX = 6;

/** Chooses what is told. */
export interface CaseOutbox {
  /** Something new was learned of a content. */
  recordNews(content: ContentId): void;
  /** It is time to tell; what of, if anything. */
  take(cases: readonly CrashCase[], nowMs: number): ToldCase[];
}

/** A case as it is told now. */
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

/** Builds an outbox without news. */
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

  /** Half of what is told in turn is the worst there is, the other half goes round. */
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
