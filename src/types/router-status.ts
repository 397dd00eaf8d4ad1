/** Status of a router for its operators. */
import type { ShardView } from '../admission/owner-messages.js';
import type { Stage } from '../lifecycle/drain.js';
import type { InvariantBreach } from '../runtime/invariants.js';

/** An instance from the point of view of this router. */
export interface MemberStatus {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly state: string;
  readonly configurationVersion: number;
}

/** The state of a router and its view of the other instances. */
export interface RouterStatus {
  readonly name: string;
  readonly dataCentre: string;
  readonly stage: Stage;
  readonly configurationVersion: number;
  readonly requestsInFlight: number;
  readonly ticketsWaiting: number;
  readonly slotsHeld: number;
  readonly members: readonly MemberStatus[];
  readonly leavingEndpoints: readonly string[];
  /** Shards this router owns. */
  readonly shards: readonly ShardView[];
  /** Shards for which this router holds the order lease. */
  readonly leases: readonly string[];
  readonly invariantBreaches: number;
  readonly breaches: readonly InvariantBreach[];
}
