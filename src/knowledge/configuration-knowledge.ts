/**
 * The newest configuration in hand and since when it is known to be the newest, free of I/O.
 * A source says "this version was the newest at that moment"; versions never go back, and what no
 * source has confirmed for too long is no longer acted on where that would be unsafe.
 */

/** What a source says. */
export interface ConfigurationReport<T> {
  readonly version: number;
  /** Undefined where the source only confirms the version. */
  readonly configuration: T | undefined;
  /** Moment on the source's clock at which the version was surely the newest; minus infinity where that is unknown. */
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
  get(): T | undefined;
  /** 0 before the first version. */
  getVersion(): number;
  /** The last moment on the source's clock at which the version in hand was surely the newest; minus infinity before the first confirmation. */
  getKnownAt(): number;
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
    get: () => configuration,
    getVersion: () => version,
    getKnownAt: () => knownAtMs,
  };
}
