/** What instances tell each other of the load at endpoints. */
import type { EndpointShareOfLoad } from '../placement/told-loads.js';

/** Whose load a telling speaks of. */
export const LOAD_SCOPE = {
  /** What the sender itself has under way. */
  Own: 'own',
  /** What the sender and all that report to it have. */
  Group: 'group',
  /** What everybody but the receiver has. */
  Others: 'others',
} as const;
export type LoadScope = (typeof LOAD_SCOPE)[keyof typeof LOAD_SCOPE];

/** A telling on its way to some instances. */
export interface LoadTelling {
  readonly scope: LoadScope;
  readonly shares: readonly EndpointShareOfLoad[];
  /** Data centres that the sender has heard from lately. */
  readonly heardDataCentres: readonly string[];
}

/** A telling with those it goes to. */
export interface AddressedTelling extends LoadTelling {
  readonly addresses: readonly string[];
}

/** A telling as it came, one datagram of it. */
export interface ReceivedTelling extends LoadTelling {
  readonly instance: string;
  readonly dataCentre: string;
  /** This part of what outgrew a datagram. */
  readonly part: number;
}
