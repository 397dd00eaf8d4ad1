/** Computes the users' measures from the callers' records and the engines' counters. */
import type { CompletionResult } from '../load/completion-client.js';
import type { Arrival } from './arrivals.js';
import type { Deployment } from './deployments.js';

/** One request as its caller saw it. */
export interface Observation {
  readonly arrival: Arrival;
  readonly result: CompletionResult;
  /** When each token came, from the start of the run, in milliseconds. */
  readonly tokenTimesMs: readonly number[];
}

/** Measures of one class. */
export interface ClassMeasures {
  readonly className: string;
  readonly requests: number;
  /** Share of all requests whose answer was whole, in time, and kept both latency targets. */
  readonly attainment: number;
  /** Share of all requests whose answer was whole and before its deadline. */
  readonly completion: number;
  readonly completed: number;
  readonly refused: number;
  readonly refusedAfterMs: number;
  readonly firstTokenP95Ms: number;
  readonly goodTokensPerSecond: number;
}

/** Measures of one run. */
export interface RunMeasures {
  readonly classes: readonly ClassMeasures[];
  /** Tokens of whole and timely answers in the window, as a share of the engines' limit. */
  readonly goodputShare: number;
  readonly goodTokensPerSecond: number;
  /** Engine tokens that are in no whole and timely answer, as a share of all they produced. */
  readonly wastedShare: number;
  /** Attainment of the organisations that do not flood, all classes. */
  readonly victimAttainment: number;
  readonly invariantBreaches: number;
  readonly preempted: number;
  readonly resumed: number;
}

/** Results of a run. */
export interface RunRecord {
  readonly deployment: Deployment;
  readonly observations: readonly Observation[];
  readonly engineTokens: number;
  readonly capacity: number;
  /** The measured window, from the start of the run, in milliseconds. */
  readonly window: { readonly fromMs: number; readonly toMs: number };
  /** The part of the window in which goodput is measured: the burst, where there is one. */
  readonly busy: { readonly fromMs: number; readonly toMs: number };
  readonly invariantBreaches: number;
  readonly preempted: number;
  readonly resumed: number;
}

const GAP_QUANTILE = 0.95;

/** A quantile of unsorted numbers; 0 of none. */
export function computeQuantile(numbers: readonly number[], quantile: number): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

/** The median of unsorted numbers. */
export function computeMedian(numbers: readonly number[]): number {
  return computeQuantile(numbers, 0.5);
}

function computeShare(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}

function isTimely(observation: Observation, deadlineMs: number): boolean {
  return observation.result.isWhole && observation.result.totalMs <= deadlineMs;
}

function findClass(deployment: Deployment, className: string) {
  const found = deployment.classes.find((entry) => entry.declaration.name === className);
  if (found === undefined) throw new Error(`no class ${className} in ${deployment.name}`);
  return found.declaration;
}

function isAttained(deployment: Deployment, observation: Observation): boolean {
  const target = findClass(deployment, observation.arrival.className);
  const { firstTokenMs, gapsMs } = observation.result;
  const isFirstInTime = firstTokenMs !== undefined && firstTokenMs <= target.firstTokenMs;
  const isPaced = computeQuantile(gapsMs, GAP_QUANTILE) <= target.betweenTokensMs;
  return isFirstInTime && isPaced && isTimely(observation, target.deadlineMs);
}

/** Whether a request counts; one whose caller gave up is no miss. */
function isJudged(observation: Observation): boolean {
  return !observation.arrival.isWarmUp && !observation.result.hasGivenUp;
}

function countGoodTokens(
  record: RunRecord,
  observations: readonly Observation[],
  span: { readonly fromMs: number; readonly toMs: number },
): number {
  let tokens = 0;
  for (const observation of observations) {
    const { deadlineMs } = findClass(record.deployment, observation.arrival.className);
    if (isTimely(observation, deadlineMs)) {
      for (const timeMs of observation.tokenTimesMs) {
        if (timeMs >= span.fromMs && timeMs < span.toMs) tokens += 1;
      }
    }
  }
  return tokens;
}

function computeClass(record: RunRecord, className: string): ClassMeasures {
  const { deadlineMs } = findClass(record.deployment, className);
  const judged = record.observations.filter(
    (observation) => observation.arrival.className === className && isJudged(observation),
  );
  const completed = judged.filter((observation) => isTimely(observation, deadlineMs));
  const refused = judged.filter((observation) => observation.result.outcome === 'not_run');
  const firstTokens = judged.flatMap((observation) => observation.result.firstTokenMs ?? []);
  const seconds = (record.busy.toMs - record.busy.fromMs) / 1000;
  return {
    className,
    requests: judged.length,
    attainment: computeShare(
      judged.filter((observation) => isAttained(record.deployment, observation)).length,
      judged.length,
    ),
    completion: computeShare(completed.length, judged.length),
    completed: completed.length,
    refused: judged.length === 0 ? 0 : refused.length / judged.length,
    refusedAfterMs: computeMedian(refused.map((observation) => observation.result.totalMs)),
    firstTokenP95Ms: computeQuantile(firstTokens, 0.95),
    goodTokensPerSecond: countGoodTokens(record, judged, record.busy) / seconds,
  };
}

/** Computes the measures of a run. */
export function computeMeasures(record: RunRecord): RunMeasures {
  const { deployment, observations, busy } = record;
  const everything = { fromMs: -Infinity, toMs: Infinity };
  const goodInBusy = countGoodTokens(record, observations, busy);
  const goodEver = countGoodTokens(record, observations, everything);
  const seconds = (busy.toMs - busy.fromMs) / 1000;
  const floodedBy = observations.find((entry) => entry.arrival.isFlood)?.arrival.organisation;
  const victims = observations.filter(
    (entry) => isJudged(entry) && entry.arrival.organisation !== floodedBy,
  );
  return {
    classes: deployment.classes.map(({ declaration }) => computeClass(record, declaration.name)),
    goodputShare: goodInBusy / (record.capacity * seconds),
    goodTokensPerSecond: goodInBusy / seconds,
    wastedShare: record.engineTokens === 0 ? 0 : Math.max(0, 1 - goodEver / record.engineTokens),
    victimAttainment: computeShare(
      victims.filter((entry) => isAttained(deployment, entry)).length,
      victims.length,
    ),
    invariantBreaches: record.invariantBreaches,
    preempted: record.preempted,
    resumed: record.resumed,
  };
}
