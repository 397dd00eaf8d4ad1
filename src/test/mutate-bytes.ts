/** Changes to bytes as a fuzzer makes them. */
import fc from 'fast-check';

export type Mutation =
  | { readonly kind: 'replace'; readonly at: number; readonly byte: number }
  | { readonly kind: 'insert'; readonly at: number; readonly bytes: string }
  | { readonly kind: 'remove'; readonly at: number; readonly count: number }
  | { readonly kind: 'repeat'; readonly at: number; readonly count: number };

const POSITION_MAX = 2000;
const REMOVED_MAX = 20;
const INSERTS = [
  '\r',
  '\n',
  '\r\n',
  '\r\n\r\n',
  '\0',
  ':',
  ' ',
  '0',
  'ffffffff',
  '-1',
  'é',
] as const;

export const MUTATIONS = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant('replace' as const),
      at: fc.nat(POSITION_MAX),
      byte: fc.nat(255),
    }),
    fc.record({
      kind: fc.constant('insert' as const),
      at: fc.nat(POSITION_MAX),
      bytes: fc.constantFrom(...INSERTS),
    }),
    fc.record({
      kind: fc.constant('remove' as const),
      at: fc.nat(POSITION_MAX),
      count: fc.integer({ min: 1, max: REMOVED_MAX }),
    }),
    fc.record({
      kind: fc.constant('repeat' as const),
      at: fc.nat(POSITION_MAX),
      count: fc.integer({ min: 1, max: REMOVED_MAX }),
    }),
  ),
  { minLength: 1, maxLength: 4 },
);

function applyMutation(text: string, mutation: Mutation): string {
  const at = mutation.at % (text.length + 1);
  const before = text.slice(0, at);
  switch (mutation.kind) {
    case 'replace':
      return before + String.fromCharCode(mutation.byte) + text.slice(at + 1);
    case 'insert':
      return before + mutation.bytes + text.slice(at);
    case 'remove':
      return before + text.slice(at + mutation.count);
    default:
      return before + text.slice(at, at + mutation.count) + text.slice(at);
  }
}

/** `text` is latin1. */
export function applyMutations(text: string, mutations: readonly Mutation[]): string {
  return mutations.reduce(applyMutation, text);
}
