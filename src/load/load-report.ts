/** Measures of a load by class, from the callers' records. */
import { build } from 'hdr-histogram-js';
import type { CompletionResult } from './completion-client.js';

/** Targets that attainment is judged by, in milliseconds. */
export interface LoadTargets {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

/** Measures of one class. */
export interface ClassReport {
  readonly className: string;
  readonly requests: number;
  readonly whole: number;
  /** Share of requests that were complete and met both targets. */
  readonly attainment: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
  /** Tokens of whole answers a second. */
  readonly goodTokensPerSecond: number;
  /** Tokens delivered in answers that were never whole, as a share of all delivered. */
  readonly brokenTokensShare: number;
  readonly notRun: number;
  readonly mayHaveRun: number;
  readonly incomplete: number;
}

/** One answered call. */
export interface LoadObservation {
  readonly className: string;
  readonly result: CompletionResult;
}

const GAP_QUANTILE = 95;
const HIGHEST_MS = 600_000;

function createHistogram() {
  return build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 3 });
}

function countTokens(result: CompletionResult): number {
  return result.firstTokenMs === undefined ? 0 : result.gapsMs.length + 1;
}

function isAttained(result: CompletionResult, targets: LoadTargets): boolean {
  if (!result.isWhole || result.firstTokenMs === undefined) return false;
  const gaps = createHistogram();
  for (const gapMs of result.gapsMs) gaps.recordValue(Math.round(gapMs));
  const gapMs = result.gapsMs.length === 0 ? 0 : gaps.getValueAtPercentile(GAP_QUANTILE);
  return result.firstTokenMs <= targets.firstTokenMs && gapMs <= targets.betweenTokensMs;
}

function buildClassReport(
  className: string,
  results: readonly CompletionResult[],
  targets: LoadTargets,
  seconds: number,
): ClassReport {
  const firstTokens = createHistogram();
  const gaps = createHistogram();
  for (const { firstTokenMs, gapsMs } of results) {
    if (firstTokenMs !== undefined) firstTokens.recordValue(Math.round(firstTokenMs));
    for (const gapMs of gapsMs) gaps.recordValue(Math.round(gapMs));
  }
  const whole = results.filter((result) => result.isWhole);
  const good = whole.reduce((sum, result) => sum + countTokens(result), 0);
  const all = results.reduce((sum, result) => sum + countTokens(result), 0);
  const countOutcome = (outcome: string): number =>
    results.filter((result) => result.outcome === outcome).length;
  return {
    className,
    requests: results.length,
    whole: whole.length,
    attainment: results.filter((result) => isAttained(result, targets)).length / results.length,
    firstTokenP50Ms: firstTokens.getValueAtPercentile(50),
    firstTokenP95Ms: firstTokens.getValueAtPercentile(95),
    betweenTokensP95Ms: gaps.getValueAtPercentile(95),
    goodTokensPerSecond: good / seconds,
    brokenTokensShare: all === 0 ? 0 : 1 - good / all,
    notRun: countOutcome('not_run'),
    mayHaveRun: countOutcome('may_have_run'),
    incomplete: countOutcome('incomplete'),
  };
}

/** Builds the report of a load. */
export function buildLoadReport(
  observations: readonly LoadObservation[],
  targets: LoadTargets,
  seconds: number,
): ClassReport[] {
  const names = [...new Set(observations.map((observation) => observation.className))].sort();
  return names.map((name) => {
    const own = observations.filter((observation) => observation.className === name);
    return buildClassReport(
      name,
      own.map((observation) => observation.result),
      targets,
      seconds,
    );
  });
}
