/** The time of an engine's steps: its own speed, changes of it, and slowing down when nearly full. */

/** Share of the slots above which an engine is nearly full. */
const NEARLY_FULL_SHARE = 0.75;

export interface StepTimeOptions {
  /** Duration of a step at normal speed, in milliseconds. */
  readonly stepMs: number;
  readonly slots: number;
  /** Factor on the time of steps while nearly full. */
  readonly nearlyFullFactor: number;
  /** Factor on the time of steps in slow intervals. */
  readonly slowFactor: number;
  /** Length of an interval, in milliseconds. */
  readonly slowIntervalMs: number;
  /** One interval in this many is slow; 0: none. */
  readonly slowEvery: number;
}

/** Duration of a step at `elapsedMs` since the start with `running` requests, in milliseconds. */
export function computeStepMs(
  options: StepTimeOptions,
  running: number,
  elapsedMs: number,
): number {
  const { stepMs, slots, nearlyFullFactor, slowFactor, slowIntervalMs, slowEvery } = options;
  const isNearlyFull = running > slots * NEARLY_FULL_SHARE;
  const interval = Math.floor(elapsedMs / slowIntervalMs);
  const isSlow = slowEvery > 0 && interval % slowEvery === slowEvery - 1;
  return stepMs * (isNearlyFull ? nearlyFullFactor : 1) * (isSlow ? slowFactor : 1);
}
