/** Load updates that instances send each other. */
import type { EndpointLoadShare } from '../placement/remote-loads.js';

/** Whose load an update holds. */
export const LOAD_SCOPE = {
  /** The load of the sender. */
  Own: 'own',
  /** The load of the sender and of all instances that report to it. */
  Group: 'group',
  /** The load of all instances but the receiver. */
  Others: 'others',
} as const;
export type LoadScope = (typeof LOAD_SCOPE)[keyof typeof LOAD_SCOPE];

export interface LoadUpdate {
  readonly scope: LoadScope;
  readonly shares: readonly EndpointLoadShare[];
  /** Data centres that the sender has heard from recently. */
  readonly heardDataCentres: readonly string[];
}

/** An update and the addresses it is sent to. */
export interface AddressedLoadUpdate extends LoadUpdate {
  readonly addresses: readonly string[];
}

/** One datagram of an update, as received. */
export interface ReceivedLoadUpdate extends LoadUpdate {
  readonly instance: string;
  readonly dataCentre: string;
  /** Index of the datagram among those of its update. */
  readonly part: number;
}
