/**
 * The newest known configuration and when the source last confirmed it as the newest. The version
 * never decreases. Performs no I/O.
 */

/** A statement about the newest version, from the source or a peer. */
export interface ConfigurationReport<T> {
  readonly version: number;
  /** Undefined if the report only confirms the version. */
  readonly configuration: T | undefined;
  /** Time on the source's clock at which the version was the newest; minus infinity if unknown. */
  readonly knownAtMs: number;
}

export type ReportOutcome =
  /** The known version was replaced. */
  | 'applied'
  /** The known version was confirmed. */
  | 'confirmed'
  /** The report is older than the known version and was ignored. */
  | 'stale'
  /** The report names a newer version but does not contain it. */
  | 'missing';

export interface ConfigurationKnowledge<T> {
  record(report: ConfigurationReport<T>): ReportOutcome;
  get(): T | undefined;
  /** 0 before the first version. */
  getVersion(): number;
  /**
   * Last time on the source's clock at which the known version was the newest; minus infinity
   * before the first confirmation.
   */
  getKnownAt(): number;
}

export function createConfigurationKnowledge<T>(): ConfigurationKnowledge<T> {
  let version = 0;
  let configuration: T | undefined;
  let knownAtMs = -Infinity;

  return {
    record(report) {
      // Guards against stale reads, which would bring back a removed key.
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
