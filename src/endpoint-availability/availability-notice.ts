/** What an endpoint's response says about the requests that the endpoint still takes. */

/** Largest rest that is kept; an endpoint that still wants rest after it asks again. */
export const REST_MAX_MS = 600_000;

export type RestReading =
  | { readonly kind: 'none' }
  /** The endpoint wants no requests from this instance for this time. */
  | { readonly kind: 'rest'; readonly restMs: number }
  /** The response asks for rest in a form that cannot be read. */
  | { readonly kind: 'unreadable'; readonly text: string };

export interface AvailabilityNotice {
  /** The endpoint is leaving and takes no new requests. */
  readonly isLeaving: boolean;
  readonly rest: RestReading;
}

export const NO_NOTICE: AvailabilityNotice = { isLeaving: false, rest: { kind: 'none' } };

const DECIMAL_PATTERN = /^\d+(\.\d+)?$/;

/**
 * Parses all values of `Retry-After` in one response, in seconds, which may include fractions. The
 * longest of several counts. Dates are not read: the wall clocks of endpoints and instances differ
 * by seconds and step.
 */
export function parseRetryAfter(values: readonly string[]): RestReading {
  if (values.length === 0) return { kind: 'none' };
  const texts = values.map((value) => value.trim());
  const seconds = texts
    .flatMap((text) => text.split(','))
    .map((text) => text.trim())
    .filter((text) => DECIMAL_PATTERN.test(text))
    .map(Number);
  if (seconds.length === 0) return { kind: 'unreadable', text: texts.join(', ') };
  const restMs = Math.min(REST_MAX_MS, Math.max(...seconds) * 1000);
  return restMs === 0 ? { kind: 'none' } : { kind: 'rest', restMs };
}
