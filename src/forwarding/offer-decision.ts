/** Decides whether this instance carries an exchange for a peer. Performs no I/O. */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { choosePool } from '../routes/route-table.js';
import type { RouteTable } from '../routes/route-table.js';
import { FORWARD_REFUSAL } from './forward-messages.js';
import type { ForwardOffer, ForwardRefusal } from './forward-messages.js';

/** Exchanges carried at once, so that those of peers leave room for the own ones. */
const CARRIED_MAX = 512;

export interface OfferContext {
  readonly isLeaving: boolean;
  /** Exchanges that are carried now. */
  readonly carried: number;
  /** The endpoint's start as this instance knows it, if it does. */
  readonly endpoint: RegisteredEndpoint | undefined;
  readonly isPathOpen: boolean;
  /** Whether the endpoint neither leaves nor rests. */
  readonly isAvailable: boolean;
  readonly table: RouteTable | undefined;
}

/** Whether a newer configuration than the sender's still sends the call to that pool. */
function isCurrent(offer: ForwardOffer, table: RouteTable): boolean {
  const route = table.findRoute(offer.host, offer.path);
  if (route === undefined || choosePool(route, offer.callId) !== offer.pool) return false;
  if (offer.organisation === undefined) return !table.requiresKey(route);
  return table.hasOrganisation(offer.organisation);
}

/** Returns why the offer is refused, or undefined if it is accepted. */
export function findRefusal(
  offer: ForwardOffer,
  context: OfferContext,
): ForwardRefusal | undefined {
  const { endpoint, table } = context;
  if (context.isLeaving) return FORWARD_REFUSAL.Leaving;
  if (context.carried >= CARRIED_MAX) return FORWARD_REFUSAL.Busy;
  if (endpoint === undefined || endpoint.pool !== offer.pool)
    return FORWARD_REFUSAL.EndpointUnknown;
  if (!context.isPathOpen) return FORWARD_REFUSAL.PathLost;
  if (!context.isAvailable) return FORWARD_REFUSAL.EndpointUnavailable;
  const isNewer = table !== undefined && table.version > offer.configurationVersion;
  return isNewer && !isCurrent(offer, table) ? FORWARD_REFUSAL.Outdated : undefined;
}
