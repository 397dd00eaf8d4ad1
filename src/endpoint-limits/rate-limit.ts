/** Rate limits that endpoints name in their responses, for all instances together. */

/** What one response says about the endpoint's rate limit. */
export type RateLimitReading =
  /** The endpoint has no limit. */
  | { readonly kind: 'none' }
  | { readonly kind: 'limited'; readonly perSecond: number }
  /** The response names a limit that cannot be read, which says neither that there is one nor that there is none. */
  | { readonly kind: 'unreadable'; readonly text: string };

/**
 * Lowest rate that is used, in requests a second. An endpoint that gets no requests cannot lift its
 * limit, so even one that takes none gets a request now and then.
 */
export const RATE_MIN_PER_SECOND = 0.05;

const DECIMAL_PATTERN = /^\d+(\.\d+)?$/;

function parseRate(text: string): number | undefined {
  if (!DECIMAL_PATTERN.test(text)) return undefined;
  const perSecond = Number(text);
  return Number.isFinite(perSecond) ? Math.max(RATE_MIN_PER_SECOND, perSecond) : undefined;
}

/** Parses all values of the header in one response. The lowest of several limits counts. */
export function parseRateLimit(values: readonly string[]): RateLimitReading {
  if (values.length === 0) return { kind: 'none' };
  const texts = values.flatMap((value) => value.split(',')).map((text) => text.trim());
  const rates = texts.map(parseRate).filter((rate) => rate !== undefined);
  if (rates.length === 0) return { kind: 'unreadable', text: texts.join(', ') };
  return { kind: 'limited', perSecond: Math.min(...rates) };
}
