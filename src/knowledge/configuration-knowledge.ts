/**
 * The newest configuration in hand and how old the knowledge is that it is the newest, free of I/O.
 * A source says "this version was the newest at that moment"; versions never go back, and what no
 * source has confirmed for too long is no longer acted on where that would be unsafe.
 */

/** What a source says. */
export interface ConfigurationReport<T> {
  readonly version: number;
  /** Undefined where the source only confirms the version. */
  readonly configuration: T | undefined;
  /** Moment on this process's monotonic clock at which the version was surely the newest. */
  readonly knownAtMs: number;
}

/** What became of a report. */
export type ReportOutcome =
  /** The version in hand was replaced. */
  | 'applied'
  /** The version in hand was confirmed. */
  | 'confirmed'
  /** The source is behind what is in hand; nothing changed. */
  | 'stale'
  /** The source knows a version that is not in hand. */
  | 'missing';

/** Knowledge of one process. */
export interface ConfigurationKnowledge<T> {
  record(report: ConfigurationReport<T>): ReportOutcome;
  /** Forgets every confirmation: the process was suspended or its clock stepped. */
  removeConfirmations(): void;
  get(): T | undefined;
  /** 0 before the first version. */
  getVersion(): number;
  /** Milliseconds since the version in hand was surely the newest. */
  computeAge(nowMs: number): number;
}

/** Builds knowledge of nothing. */
export function createConfigurationKnowledge<T>(): ConfigurationKnowledge<T> {
  let version = 0;
  let configuration: T | undefined;
  let knownAtMs = -Infinity;

  return {
    record(report) {
      // Guards against reads that are seconds behind: applying one would bring back a removed key.
      if (report.version < version) return 'stale';
      if (report.version > version) {
        if (report.configuration === undefined) return 'missing';
        version = report.version;
        configuration = report.configuration;
        knownAtMs = report.knownAtMs;
        return 'applied';
      }
      knownAtMs = Math.max(knownAtMs, report.knownAtMs);
      return 'confirmed';
    },
    removeConfirmations() {
      knownAtMs = -Infinity;
    },
    get: () => configuration,
    getVersion: () => version,
    computeAge: (nowMs) => nowMs - knownAtMs,
  };
}
