/**
 * Crash cases known to one instance, merged from its own findings and its peers' reports. Does no
 * I/O; bounded in size.
 */
import type { ContentId } from '../calls/content-id.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import { STANDING, computeStanding } from './crash-case.js';
import type { CrashCase, OrganisationKey, Standing, CrashRecord } from './crash-case.js';

/** Long enough for an operator to see a case. */
const RETENTION_MS = 24 * 60 * 60 * 1000;
/** Long enough for late reports of cleared crashes from instances that were partitioned. */
const CLEARED_RETENTION_MS = 10 * 60 * 1000;
/** About 4 MB of memory. */
const CASES_MAX = 4096;
/**
 * Guards against one organisation evicting the others' cases by sending many different crashing
 * contents.
 */
const ORGANISATION_CASES_MAX = 512;
/** Per content. */
const CRASHES_MAX = 12;
/** Per content; the oldest are dropped first. */
const CLEARED_MAX = 16;

/**
 * Minimum for accepting a reported case when full, so that instances do not keep evicting each
 * other's cases.
 */
const REPORTED_CRASHES_MIN = 2;

/** A crash found by this instance, with a content that was running on the endpoint. */
export interface ContentCrash extends CrashRecord {
  readonly content: ContentId;
  readonly organisation: OrganisationKey;
}

/** A case as instances report it to each other, with times relative to the report. */
export interface CaseReport {
  readonly content: ContentId;
  readonly organisation: OrganisationKey;
  readonly crashes: readonly {
    readonly start: EndpointKey;
    readonly sentAgoMs: number;
    readonly crashedAgoMs: number;
  }[];
  readonly cleared: readonly EndpointKey[];
  readonly trial: { readonly start: EndpointKey; readonly remainingMs: number } | undefined;
}

/** A case whose evidence changed, with its standing before and after. */
export interface CaseChange {
  readonly subject: CrashCase;
  readonly before: Standing;
  readonly standing: Standing;
}

/** Crash cases by content. Methods that learn something new return what changed. */
export interface CaseLedger {
  isEmpty(): boolean;
  find(content: ContentId): CrashCase | undefined;
  list(): readonly CrashCase[];
  recordCrash(crash: ContentCrash, nowMs: number): CaseChange | undefined;
  /** Clears all crashes of a content, because it ran to completion or an operator released it. */
  release(content: ContentId, nowMs: number): CaseChange | undefined;
  /**
   * Clears crashes of a start that has answered a request sent at `sentMs`, after the recorded
   * crash.
   */
  releaseStart(start: EndpointKey, sentMs: number, nowMs: number): CaseChange[];
  merge(report: CaseReport, nowMs: number): CaseChange | undefined;
  /** Drops expired cases. */
  advance(nowMs: number): void;
}

export function createCaseLedger(): CaseLedger {
  const cases = new Map<ContentId, CrashCase>();
  /**
   * Contents by the start whose crash counts against them; looked up for every answer while there
   * are cases.
   */
  const contentsOfStart = new Map<EndpointKey, Set<ContentId>>();

  function countCases(organisation: OrganisationKey): number {
    return [...cases.values()].filter((other) => other.organisation === organisation).length;
  }

  function removeStart(start: EndpointKey, content: ContentId): void {
    const contents = contentsOfStart.get(start);
    contents?.delete(content);
    if (contents?.size === 0) contentsOfStart.delete(start);
  }

  function removeCase({ content, crashes }: CrashCase): void {
    cases.delete(content);
    for (const start of crashes.keys()) removeStart(start, content);
  }

  /** Evicts the case with the fewest crashes; among equals, the least recently used. */
  function removeWeakest(organisation: OrganisationKey | undefined): void {
    const [weakest] = [...cases.values()]
      .filter((other) => organisation === undefined || other.organisation === organisation)
      .sort((a, b) => a.crashes.size - b.crashes.size || a.lastActiveMs - b.lastActiveMs);
    if (weakest !== undefined) removeCase(weakest);
  }

  function findLargestOrganisation(): OrganisationKey | undefined {
    const counts = new Map<OrganisationKey, number>();
    for (const { organisation } of cases.values()) {
      counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
    }
    return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
  }

  function getCase(content: ContentId, organisation: OrganisationKey, nowMs: number): CrashCase {
    const existing = cases.get(content);
    if (existing !== undefined) return existing;
    if (countCases(organisation) >= ORGANISATION_CASES_MAX) removeWeakest(organisation);
    if (cases.size >= CASES_MAX) removeWeakest(findLargestOrganisation());
    const subject: CrashCase = {
      content,
      organisation,
      crashes: new Map(),
      cleared: new Set(),
      trial: undefined,
      changedMs: nowMs,
      lastActiveMs: nowMs,
    };
    cases.set(content, subject);
    return subject;
  }

  function addCrash({ content, crashes, cleared }: CrashCase, crash: CrashRecord): boolean {
    const { start } = crash;
    if (crashes.has(start) || cleared.has(start) || crashes.size >= CRASHES_MAX) return false;
    crashes.set(start, crash);
    const contents = contentsOfStart.get(start) ?? new Set();
    contentsOfStart.set(start, contents.add(content));
    return true;
  }

  function releaseCrash({ content, crashes, cleared }: CrashCase, start: EndpointKey): boolean {
    if (crashes.delete(start)) removeStart(start, content);
    if (cleared.has(start)) return false;
    cleared.add(start);
    const [oldest] = cleared;
    if (cleared.size > CLEARED_MAX && oldest !== undefined) cleared.delete(oldest);
    return true;
  }

  /** Applies a change; returns undefined if it brought nothing new. */
  function update(subject: CrashCase, nowMs: number, apply: () => boolean): CaseChange | undefined {
    const before = computeStanding(subject);
    if (!apply()) return undefined;
    subject.changedMs = nowMs;
    subject.lastActiveMs = nowMs;
    return { subject, before, standing: computeStanding(subject) };
  }

  function mergeTrial(subject: CrashCase, { trial }: CaseReport, nowMs: number): void {
    if (trial === undefined) return;
    const expiresMs = nowMs + trial.remainingMs;
    if (expiresMs > (subject.trial?.expiresMs ?? 0))
      subject.trial = { start: trial.start, expiresMs };
  }

  return {
    isEmpty: () => cases.size === 0,
    find: (content) => cases.get(content),
    list: () => [...cases.values()],
    recordCrash(crash, nowMs) {
      const { content, organisation, start, sentMs, crashedMs } = crash;
      const subject = getCase(content, organisation, nowMs);
      return update(subject, nowMs, () => addCrash(subject, { start, sentMs, crashedMs }));
    },
    release(content, nowMs) {
      const subject = cases.get(content);
      if (subject === undefined || subject.crashes.size === 0) return undefined;
      const starts = [...subject.crashes.keys()];
      return update(subject, nowMs, () =>
        starts.map((start) => releaseCrash(subject, start)).some(Boolean),
      );
    },
    releaseStart(start, sentMs, nowMs) {
      return [...(contentsOfStart.get(start) ?? [])].flatMap((content) => {
        const subject = cases.get(content);
        const crash = subject?.crashes.get(start);
        if (subject === undefined || crash === undefined || sentMs <= crash.crashedMs) return [];
        return update(subject, nowMs, () => releaseCrash(subject, start)) ?? [];
      });
    },
    merge(report, nowMs) {
      const isFull = cases.size >= CASES_MAX && !cases.has(report.content);
      if (isFull && report.crashes.length < REPORTED_CRASHES_MIN) return undefined;
      const subject = getCase(report.content, report.organisation, nowMs);
      mergeTrial(subject, report, nowMs);
      return update(subject, nowMs, () => {
        const cleared = report.cleared.map((start) => releaseCrash(subject, start));
        const added = report.crashes.map(({ start, sentAgoMs, crashedAgoMs }) =>
          addCrash(subject, {
            start,
            sentMs: nowMs - sentAgoMs,
            crashedMs: nowMs - crashedAgoMs,
          }),
        );
        return [...cleared, ...added].some(Boolean);
      });
    },
    advance(nowMs) {
      for (const subject of cases.values()) {
        const isClear = computeStanding(subject) === STANDING.Clear;
        const retentionMs = isClear ? CLEARED_RETENTION_MS : RETENTION_MS;
        if (nowMs - subject.lastActiveMs > retentionMs) removeCase(subject);
      }
    },
  };
}
