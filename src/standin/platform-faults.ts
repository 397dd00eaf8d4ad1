/** Injected faults and rate limits of the platform stand-in. */
import { z } from 'zod';

/** Body of `POST /faults`; fields that are left out keep their value. */
export const platformFaultsSchema = z
  .object({
    /** Answers every request with status 503. */
    isDown: z.boolean(),
    /** Leaves every request without a response. */
    isSilent: z.boolean(),
    /** Delay added to every request. */
    delayMs: z.number().min(0),
    /** Number of upcoming writes to apply while dropping the response. */
    lostAnswers: z.number().int().min(0),
    /** Number of upcoming writes to leave without a response and apply after `lateWriteMs`. */
    lateWrites: z.number().int().min(0),
    lateWriteMs: z.number().min(0),
    /** Age of the data that reads return. */
    staleMs: z.number().min(0),
    writesPerSecond: z.number().positive(),
    readsPerSecond: z.number().positive(),
  })
  .partial()
  .strict();

export type PlatformFaults = Required<z.infer<typeof platformFaultsSchema>>;

export const DEFAULT_FAULTS: PlatformFaults = {
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

/** Creates a token bucket that refills at `getRate()` per second and holds one second's worth. */
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
