/** What an endpoint's response says about the rejections that it bears. */

export type BrittleReading =
  | { readonly kind: 'none' }
  /** It crashes if it has to reject more requests than this in a second for want of room. */
  | { readonly kind: 'brittle'; readonly rejectionsMax: number }
  /** The response says so in a form that cannot be read. */
  | { readonly kind: 'unreadable'; readonly text: string };

export const NOT_BRITTLE: BrittleReading = { kind: 'none' };

const INTEGER_PATTERN = /^\d+$/;

/** Parses all values of the header in one response; the smallest of several counts. */
export function parseBrittle(values: readonly string[]): BrittleReading {
  if (values.length === 0) return NOT_BRITTLE;
  const texts = values.flatMap((value) => value.split(',')).map((text) => text.trim());
  const numbers = texts.filter((text) => INTEGER_PATTERN.test(text)).map(Number);
  if (numbers.length === 0) return { kind: 'unreadable', text: texts.join(', ') };
  return { kind: 'brittle', rejectionsMax: Math.min(...numbers) };
}
