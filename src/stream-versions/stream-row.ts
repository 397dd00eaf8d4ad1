/** The rows that keep streams and versions over an end of all instances, and the store that has them. */
import type { EndpointKey } from '../placement/remote-loads.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { BindingGroup, StreamBinding } from './stream-binding.js';

/** Pools that can only have had one version for some time before a revision of the registry. */
export interface VersionClaim {
  /** All changes of the registry up to this revision are included. */
  readonly revision: number;
  readonly pools: readonly StreamBinding[];
  /** Hashes of the ids of all endpoints that were registered then. */
  readonly endpoints: readonly EndpointKey[];
  /** Time before the row was written for which the claim holds. @default the life of the row */
  readonly coveredMs?: number | undefined;
}

/** What one start of an instance stores. */
export interface StreamRow {
  /** Names the instance and its start. */
  readonly key: string;
  /** When it was written, on the store's clock. */
  readonly writtenAtMs: number;
  /** Life of streams that the instance counts with. */
  readonly lifeMs: number;
  /** Streams whose version nobody could conclude. */
  readonly streams: readonly BindingGroup[];
  readonly claim: VersionClaim | undefined;
}

/** All rows, with the time at which they were read. */
export interface StoredRows {
  readonly rows: readonly StreamRow[];
  /** The store's clock when it answered. */
  readonly sourceNowMs: number;
  /** When the call was sent, on this process's clock. */
  readonly sentMs: number;
}

/** Changes of the registry after a revision. */
export interface EndpointChanges {
  /** All changes up to this revision are included. */
  readonly revision: number;
  /** Endpoints that were added or changed, as they are now. */
  readonly present: readonly RegisteredEndpoint[];
  /** Ids of endpoints that were removed. */
  readonly removed: readonly string[];
  /** When the call was sent, on this process's clock. */
  readonly sentMs: number;
  /**
   * Revision of the last of the changes.
   * @default `revision`
   */
  readonly changeRevision?: number;
}

export interface StreamStore {
  /** Undefined if the store cannot be read. */
  list(): Promise<StoredRows | undefined>;
  /** False if the store did not confirm the write. */
  set(row: StreamRow): Promise<boolean>;
  remove(keys: readonly string[]): Promise<void>;
  /** Undefined if the changes are no longer kept, or one of them cannot be read. */
  listEndpointChanges(revision: number): Promise<EndpointChanges | undefined>;
}
