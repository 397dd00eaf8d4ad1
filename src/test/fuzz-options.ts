/** How long a fuzzer runs: short and seeded by default, longer by its environment variables. */
const RUNS_VARIABLE = 'HYSSOPTALLY_FUZZ_RUNS';
const SEED_VARIABLE = 'HYSSOPTALLY_FUZZ_SEED';
const DEFAULT_SEED = 1;

export interface FuzzOptions {
  readonly numRuns: number;
  readonly seed: number;
  readonly includeErrorInReport: boolean;
}

export function resolveFuzzOptions(defaultRuns: number): FuzzOptions {
  return {
    numRuns: Number(process.env[RUNS_VARIABLE] ?? defaultRuns),
    seed: Number(process.env[SEED_VARIABLE] ?? DEFAULT_SEED),
    includeErrorInReport: true,
  };
}
