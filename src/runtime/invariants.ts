/** Invariants asserted inside the program: always on, counted, and loud. */

/** One breach, as reported. */
export interface InvariantBreach {
  readonly name: string;
  readonly detail: string;
}

/** Checks and counts. */
export interface Invariants {
  /** Records a breach of `name` unless `holds`; `detail` is only built for a breach. */
  check(name: string, holds: boolean, detail: () => string): void;
  /** Breaches so far. */
  count(): number;
  list(): readonly InvariantBreach[];
}

/** Breaches kept word for word; later ones are only counted. */
const KEPT_BREACHES = 20;

/** Builds a checker that calls `onBreach` at each breach. */
export function createInvariants(onBreach: (breach: InvariantBreach) => void): Invariants {
  const kept: InvariantBreach[] = [];
  let breaches = 0;
  return {
    check(name, holds, detail) {
      if (holds) return;
      breaches += 1;
      const breach = { name, detail: detail() };
      if (kept.length < KEPT_BREACHES) kept.push(breach);
      onBreach(breach);
    },
    count: () => breaches,
    list: () => kept,
  };
}
