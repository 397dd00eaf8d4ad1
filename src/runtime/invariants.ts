/** Invariant checks, which are always enabled. */

export interface InvariantBreach {
  readonly name: string;
  readonly detail: string;
}

export interface Invariants {
  /** Records a breach unless `holds`; `detail` is only called for a breach. */
  check(name: string, holds: boolean, detail: () => string): void;
  count(): number;
  /** Returns the first breaches. */
  list(): readonly InvariantBreach[];
}

/** Later breaches are only counted. */
const KEPT_BREACHES = 20;

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
