/** Arrivals of simulated calls. */
import type { VirtualTime } from '../soak/virtual-time.js';
import type { Random } from '../utils/random.js';

export interface ArrivalsOptions {
  readonly time: VirtualTime;
  readonly random: Random;
  /** Virtual time after which no call arrives. */
  readonly endMs: number;
  /** Current arrival rate, in calls a second. */
  readonly getRate: () => number;
  readonly start: () => void;
}

/** Schedules calls as a Poisson process. */
export function addArrivals(options: ArrivalsOptions): void {
  const { time, random, endMs, getRate, start } = options;
  if (time.getNow() >= endMs) return;
  const delayMs = (-Math.log(1 - random.next()) * 1000) / getRate();
  time.add(undefined, delayMs, () => {
    start();
    addArrivals(options);
  });
}
