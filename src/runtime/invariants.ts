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
const RECORDED_BREACHES_MAX = 20;

export function createInvariants(onBreach: (breach: InvariantBreach) => void): Invariants {
  const recorded: InvariantBreach[] = [];
  let breaches = 0;
  return {
    check(name, holds, detail) {
      if (holds) return;
      breaches += 1;
      const breach = { name, detail: detail() };
      if (recorded.length < RECORDED_BREACHES_MAX) recorded.push(breach);
      onBreach(breach);
    },
    count: () => breaches,
    list: () => recorded,
  };
}
