export interface Clock {
  /** Never decreases; may stop while the machine is suspended. */
  monotonicMs(): number;
  /** Time since the epoch; may be stepped. */
  wallMs(): number;
}

export function createSystemClock(): Clock {
  return { monotonicMs: () => performance.now(), wallMs: () => Date.now() };
}
