/** Faults of the platform's stand-in, and its rate limits. */
import { z } from 'zod';

/** Faults of the platform; all off at the start. */
export const platformFaultsSchema = z
  .object({
    /** Every call is answered 503. */
    isDown: z.boolean(),
    /** Calls get no answer at all. */
    isSilent: z.boolean(),
    /** Added to every call, in milliseconds. */
    delayMs: z.number().min(0),
    /** This many next writes take effect, and their answers are lost. */
    lostAnswers: z.number().int().min(0),
    /** This many next writes are answered late by nothing and take effect `lateWriteMs` later. */
    lateWrites: z.number().int().min(0),
    lateWriteMs: z.number().min(0),
    /** Reads answer as of this many milliseconds ago. */
    staleMs: z.number().min(0),
    /** Writes and reads allowed a second. */
    writesPerSecond: z.number().positive(),
    readsPerSecond: z.number().positive(),
  })
  .partial()
  .strict();

export type PlatformFaults = Required<z.infer<typeof platformFaultsSchema>>;

/** Everything works, at the rates the brief gives. */
export const NO_FAULTS: PlatformFaults = {
  isDown: false,
  isSilent: false,
  delayMs: 0,
  lostAnswers: 0,
  lateWrites: 0,
  lateWriteMs: 0,
  staleMs: 0,
  writesPerSecond: 500,
  readsPerSecond: 2000,
};

/** Builds a gate that opens `getRate()` times a second, with a second's burst. */
export function createRateLimiter(getRate: () => number): () => boolean {
  let availableTokens = getRate();
  let lastRefillMs = performance.now();
  return () => {
    const nowMs = performance.now();
    availableTokens = Math.min(
      getRate(),
      availableTokens + ((nowMs - lastRefillMs) / 1000) * getRate(),
    );
    lastRefillMs = nowMs;
    if (availableTokens < 1) return false;
    availableTokens -= 1;
    return true;
  };
}
