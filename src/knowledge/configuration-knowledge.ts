/**
 * The newest known configuration, its row, and when the source last confirmed it as the newest. The
 * version never decreases. Performs no I/O.
 */
import type { MirroredRow } from './table-mirror.js';

export interface ConfigurationContent<T> {
  readonly configuration: T;
  /** The row that holds it, as passed on to peers. */
  readonly row: MirroredRow;
}

/** A statement about the newest version, from the source or a peer. */
export interface ConfigurationReport<T> {
  readonly version: number;
  /** Undefined if the report only confirms the version. */
  readonly content: ConfigurationContent<T> | undefined;
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
  /** Row of the known version; undefined before the first. */
  getRow(): MirroredRow | undefined;
  /** 0 before the first version. */
  getVersion(): number;
  /**
   * A time on the source's clock at which nothing newer than the known version existed; minus
   * infinity before the first confirmation.
   */
  getKnownAt(): number;
}

export function createConfigurationKnowledge<T>(): ConfigurationKnowledge<T> {
  let version = 0;
  let content: ConfigurationContent<T> | undefined;
  let knownAtMs = -Infinity;

  return {
    record(report) {
      // Guards against stale reads, which would bring back a removed key.
      if (report.version < version) return 'stale';
      if (report.version > version) {
        if (report.content === undefined) return 'missing';
        version = report.version;
        content = report.content;
        // The newer version came after the time at which the version before was the newest.
        knownAtMs = Math.max(knownAtMs, report.knownAtMs);
        return 'applied';
      }
      knownAtMs = Math.max(knownAtMs, report.knownAtMs);
      return 'confirmed';
    },
    get: () => content?.configuration,
    getRow: () => content?.row,
    getVersion: () => version,
    getKnownAt: () => knownAtMs,
  };
}
