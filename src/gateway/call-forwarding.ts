/** Composes the calls that go through peers, and those that this instance carries for them. */
import type { EndpointConnections } from '../calls/endpoint-connections.js';
import { computeConnectionsMax } from '../calls/connection-limit.js';
import type { EndpointExchanges } from '../calls/endpoint-exchanges.js';
import type { EndpointProtocol } from '../calls/endpoint-protocol.js';
import { createCarrier } from '../forwarding/carrier.js';
import type { CarriedRecord, Carrier } from '../forwarding/carrier.js';
import { createPeerChooser } from '../forwarding/choose-peer.js';
import type { ForwardLinks, ForwardOffer } from '../forwarding/forward-messages.js';
import { createForwardedExchanges } from '../forwarding/forwarded-exchanges.js';
import type { ForwardedExchanges } from '../forwarding/forwarded-exchanges.js';
import { createForwarder } from '../forwarding/forwarder.js';
import type { ForwardRecord } from '../forwarding/forwarder.js';
import { findRefusal } from '../forwarding/offer-decision.js';
import { PATH_EVIDENCE, PATH_STATE, createPathLedger } from '../forwarding/path-ledger.js';
import type { KnownPath, PathChange } from '../forwarding/path-ledger.js';
import type { Contact } from '../membership/membership-messages.js';
import type { ConnectionResult } from '../quarantine/crash-detector.js';
import type { RouteTable } from '../routes/route-table.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { SlotShares } from '../slot-shares/slot-shares.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { Random } from '../utils/random.js';

/** Logs calls through peers and records their metrics. */
export interface ForwardingObserver {
  onPathChanged(change: PathChange): void;
  /** An own call was offered or handed over to a peer. */
  onForwarded(record: ForwardRecord): void;
  /** A call of a peer was taken, refused or ended. */
  onCarried(record: CarriedRecord): void;
}

export interface CallForwardingOptions {
  readonly self: Contact;
  readonly timers: TimerService;
  readonly random: Random;
  readonly connections: EndpointConnections;
  readonly links: ForwardLinks;
  readonly protocol: EndpointProtocol;
  readonly checkConnection: (address: string) => Promise<ConnectionResult>;
  readonly observer: ForwardingObserver;
  /** Live instances other than this one. */
  readonly listPeers: () => readonly Contact[];
  readonly countInstances: () => number;
  readonly isLeaving: () => boolean;
  readonly shares: Pick<SlotShares, 'listOwners' | 'takeForPeer'>;
  readonly getTable: () => RouteTable | undefined;
  /** The registered start of an endpoint. */
  readonly findStart: (start: string) => RegisteredEndpoint | undefined;
  /** Whether the endpoint neither leaves nor rests. */
  readonly isAvailable: (endpoint: RegisteredEndpoint) => boolean;
  /** Time of the source's clock at which the keys were surely valid; undefined if unknown. */
  readonly getKeyConfirmedAt: () => number | undefined;
  /** No connection to the endpoint could be made. */
  readonly onUnreachable: (start: string) => void;
  /** A peer got an answer of the endpoint. */
  readonly onPeerAnswered: (start: string) => void;
  /** Whether keys that were valid at that time of the source's clock may still be used. */
  readonly isKeyTimeValid: (confirmedAtMs: number) => boolean;
}

export interface CallForwarding {
  readonly exchanges: EndpointExchanges;
  runCarried: Carrier['run'];
  /** Exchanges that are carried for peers now. */
  countCarried(): number;
  /** Forgets a start of an endpoint that has ended. `isRestarted`: another start has taken its place. */
  remove(start: string, isRestarted: boolean): void;
  /** Paths to endpoints that are not open. */
  listPaths(): readonly KnownPath[];
}

export function createCallForwarding(options: CallForwardingOptions): CallForwarding {
  const { self, timers, random, observer } = options;
  const getNow = (): number => timers.clock.monotonicMs();
  const ledger = createPathLedger({
    getNow,
    onChanged(change) {
      observer.onPathChanged(change);
      if (change.state === PATH_STATE.Lost && change.evidence === PATH_EVIDENCE.NotConnected)
        options.onUnreachable(change.start);
      exchanges.handlePathChange(change);
    },
  });
  const forwarder = createForwarder({
    self: self.name,
    links: options.links,
    peers: createPeerChooser({
      dataCentre: self.dataCentre,
      listPeers: options.listPeers,
      random,
      getNow,
    }),
    timers,
    getConfigurationVersion: () => options.getTable()?.version ?? 0,
    getKeyConfirmedAt: options.getKeyConfirmedAt,
    onRecord: (record) => observer.onForwarded(record),
  });
  const exchanges: ForwardedExchanges = createForwardedExchanges({
    connections: options.connections,
    ledger,
    forwarder,
    checkConnection: options.checkConnection,
    timers,
    listOwners: (endpoint) => options.shares.listOwners(endpoint),
    onPeerAnswered: options.onPeerAnswered,
  });

  function isAvailable(endpoint: RegisteredEndpoint): boolean {
    return !endpoint.isLeaving && options.isAvailable(endpoint);
  }

  function isKeyValid({ keyConfirmedAtMs }: ForwardOffer): boolean {
    return keyConfirmedAtMs === undefined || options.isKeyTimeValid(keyConfirmedAtMs);
  }

  const carrier = createCarrier({
    getNow,
    findRefusal(offer, carried) {
      const endpoint = options.findStart(offer.endpointStart);
      return findRefusal(offer, {
        isLeaving: options.isLeaving(),
        carried,
        endpoint,
        isPathOpen: ledger.isOpen(offer.endpointStart),
        isAvailable: endpoint !== undefined && isAvailable(endpoint),
        table: options.getTable(),
      });
    },
    findEndpoint: options.findStart,
    takeSlot: (endpoint) => options.shares.takeForPeer(endpoint),
    isSendAllowed: (offer, endpoint) => isAvailable(endpoint) && isKeyValid(offer),
    updateRemaining: (request, remainingMs) =>
      options.protocol.updateRemaining(request, remainingMs),
    open: ({ endpoint, buildRequest, deadlineMs }, listener, flow) =>
      exchanges.openCarried(
        {
          endpoint,
          connectionsMax: computeConnectionsMax(
            options.getTable()?.findPool(endpoint.pool),
            options.countInstances(),
          ),
          request: buildRequest(deadlineMs - getNow()),
        },
        listener,
        flow,
      ),
    onRecord: (record) => observer.onCarried(record),
  });

  return {
    exchanges,
    runCarried: carrier.run,
    countCarried: carrier.count,
    remove(start, isRestarted) {
      ledger.remove(start);
      if (isRestarted) exchanges.recordEnded(start);
    },
    listPaths: () => ledger.list(),
  };
}
