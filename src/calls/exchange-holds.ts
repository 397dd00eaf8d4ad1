/**
 * Holds of one exchange: the response of its endpoint is read only while no reason holds it. Free of
 * I/O; the way that the exchange takes sets the functions of `flow`.
 */
import type { ExchangeFlow } from './endpoint-connections.js';

/** Why this instance reads no more of a response for now. */
export const HOLD_REASON = {
  /** The caller has not yet read what it was sent. */
  CallerBehind: 'caller_behind',
  /** This instance has no memory for more. */
  NoMemory: 'no_memory',
  /** Other exchanges are read first. */
  Fairness: 'fairness',
} as const;
export type HoldReason = (typeof HOLD_REASON)[keyof typeof HOLD_REASON];

export interface ExchangeHolds {
  /** Passed to the exchange when it is opened. */
  readonly flow: ExchangeFlow;
  /** Repeating a reason changes nothing. */
  hold(reason: HoldReason): void;
  release(reason: HoldReason): void;
  isHeld(): boolean;
}

/** `onChanged` is called whenever the exchange is held or goes on. */
export function createExchangeHolds(
  onChanged: (isHeld: boolean) => void = () => undefined,
): ExchangeHolds {
  const flow: ExchangeFlow = { pause: () => undefined, resume: () => undefined };
  const reasons = new Set<HoldReason>();
  return {
    flow,
    hold(reason) {
      const wasHeld = reasons.size > 0;
      reasons.add(reason);
      if (wasHeld) return;
      flow.pause();
      onChanged(true);
    },
    release(reason) {
      if (!reasons.delete(reason) || reasons.size > 0) return;
      onChanged(false);
      flow.resume();
    },
    isHeld: () => reasons.size > 0,
  };
}
