/** The two clocks of a machine. */
export interface Clock {
  /** Milliseconds that never go back; may stand still while the machine is suspended. */
  monotonicMs(): number;
  /** Milliseconds since the epoch; may be stepped. */
  wallMs(): number;
}

/** The machine's own clocks. */
export function createSystemClock(): Clock {
  return { monotonicMs: () => performance.now(), wallMs: () => Date.now() };
}
