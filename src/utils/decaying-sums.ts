/** Sums with exponential decay. */
export interface DecayingSums<K extends string> {
  add(samples: Readonly<Record<K, number>>, nowMs: number): void;
  read(nowMs: number): Readonly<Record<K, number>>;
}

export function createDecayingSums<K extends string>(
  names: readonly K[],
  halfLifeMs: number,
): DecayingSums<K> {
  const sums = Object.fromEntries(names.map((name) => [name, 0])) as Record<K, number>;
  let asOfMs = -Infinity;

  function advance(nowMs: number): void {
    const weight = 0.5 ** ((nowMs - asOfMs) / halfLifeMs);
    for (const name of names) sums[name] *= weight;
    asOfMs = nowMs;
  }

  return {
    add(samples, nowMs) {
      advance(nowMs);
      for (const name of names) sums[name] += samples[name];
    },
    read(nowMs) {
      advance(nowMs);
      return sums;
    },
  };
}
