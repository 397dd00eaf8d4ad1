/** An instance with the production call runner, placer, quarantine and peer exchange, on simulated engines and links. */
import { createCallRunner } from '../calls/call-runner.js';
import type { CallRunner } from '../calls/call-runner.js';
import type { AttemptRecord } from '../calls/call-records.js';
import type { EndpointConnections } from '../calls/endpoint-connections.js';
import type { EndpointProtocol } from '../calls/endpoint-protocol.js';
import { createFleetTime } from '../duties/fleet-time.js';
import { parseRetryAfter } from '../endpoint-availability/availability-notice.js';
import { createEndpointAvailability } from '../endpoint-availability/endpoint-availability.js';
import type { EndpointAvailability } from '../endpoint-availability/endpoint-availability.js';
import { parseRateLimit } from '../endpoint-limits/rate-limit.js';
import type { SendLimits } from '../endpoint-limits/send-limits.js';
import { createCallLimits } from '../gateway/call-limits.js';
import { createCallStreams } from '../gateway/call-streams.js';
import type { CallStreams } from '../gateway/call-streams.js';
import { createPeerExchange } from '../gateway/peer-exchange.js';
import type { PeerExchange } from '../gateway/peer-exchange.js';
import type { Contact } from '../membership/membership-messages.js';
import { createRoomyAnswerMemory } from './open-answer.js';
import { createEndpointLoads } from '../placement/endpoint-loads.js';
import { hashStartId } from '../placement/remote-loads.js';
import { createPlacer } from '../placement/placer.js';
import type { ConnectionResult } from '../quarantine/crash-detector.js';
import { createQuarantine } from '../quarantine/quarantine.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import type { TakeTrialLease } from '../quarantine/trials.js';
import type { RouteRanks } from '../routes/route-rank.js';
import { createInvariants } from '../runtime/invariants.js';
import type { TimerService } from '../runtime/timer-service.js';
import { ALL_FEATURES } from '../types/features.js';
import type { EnabledFeatures } from '../types/features.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import { Ok } from '../utils/result.js';
import { SILENT_STREAM_OBSERVER, createSimulatedStreamStore } from './simulated-stream-store.js';
import type { SimulatedNetwork } from './simulated-network.js';
import { parseBrittle } from '../slot-shares/brittle-reading.js';
import { createSlotShares } from '../slot-shares/slot-shares.js';
import type { SlotShares } from '../slot-shares/slot-shares.js';
import type { ForwardRecord } from '../forwarding/forwarder.js';
import { createCallForwarding } from '../gateway/call-forwarding.js';
import type { CallForwarding } from '../gateway/call-forwarding.js';
import { QUEUE_FULL_STATUS } from './simulated-engine.js';

export interface SimulatedInstanceOptions {
  readonly self: Contact;
  /** All instances of the fleet. */
  readonly contacts: readonly Contact[];
  readonly timers: TimerService;
  readonly random: Random;
  readonly network: SimulatedNetwork;
  /** Lists the endpoints in the registry. */
  readonly listOpen: () => readonly RegisteredEndpoint[];
  readonly ranks: RouteRanks;
  readonly connections: EndpointConnections;
  readonly takeTrialLease: TakeTrialLease;
  readonly checkConnection: (address: string) => Promise<ConnectionResult>;
  readonly onAttempt: (record: AttemptRecord) => void;
  readonly onForwarded?: (record: ForwardRecord) => void;
  /**
   * Features in use.
   * @default all
   */
  readonly features?: EnabledFeatures;
}

export interface SimulatedInstance {
  readonly runner: CallRunner;
  readonly exchange: PeerExchange;
  readonly quarantine: Quarantine;
  readonly limits: SendLimits;
  readonly availability: EndpointAvailability;
  readonly shares: SlotShares;
  readonly forwarding: CallForwarding;
  readonly streams: CallStreams;
}

/** Instances whose addresses every instance is configured with. */
const SEED_COUNT = 3;
/** The interval of the gateway. */
const QUARANTINE_TICK_MS = 100;

/** Simulated engines return the call ID, and perhaps their rate limit, in response headers. */
const PROTOCOL: EndpointProtocol = {
  encode: ({ callId }) => ({ method: 'POST', target: callId, headers: [], body: Buffer.alloc(0) }),
  updateRemaining: (request) => request,
  decode: (status, headers) => ({
    callId: headers.find(({ name }) => name === 'call')?.value,
    isNotRun: status === QUEUE_FULL_STATUS,
    isWrongEndpoint: false,
    isSigned: true,
    isEventStream: true,
    rateLimit: parseRateLimit(
      headers.filter(({ name }) => name === 'limit').map(({ value }) => value),
    ),
    notice: {
      isLeaving: headers.some(({ name }) => name === 'leaving'),
      rest: parseRetryAfter(
        headers.filter(({ name }) => name === 'rest').map(({ value }) => value),
      ),
    },
    brittle: parseBrittle(
      headers.filter(({ name }) => name === 'brittle').map(({ value }) => value),
    ),
    headers: [],
  }),
};

export function createSimulatedInstance(options: SimulatedInstanceOptions): SimulatedInstance {
  const { self, timers, random, network, listOpen, ranks } = options;
  const loads = createEndpointLoads();
  const quarantine = createQuarantine({
    checkConnection: options.checkConnection,
    findEndpoint: (id) => listOpen().find((endpoint) => endpoint.id === id),
    mayLackRoom: (endpoint) => shares.isBrittle(endpoint) && shares.hasRejected(endpoint),
    takeTrialLease: options.takeTrialLease,
    getNow: () => timers.clock.monotonicMs(),
    observer: { onCrash: () => undefined, onChanged: () => undefined, onRefused: () => undefined },
  });
  timers.subscribe(QUARANTINE_TICK_MS, () => quarantine.advance());
  const exchange = createPeerExchange({
    self,
    incarnation: 1,
    seeds: options.contacts.slice(0, SEED_COUNT).map(({ address }) => address),
    timers,
    random,
    invariants: createInvariants(() => undefined),
    log: { write: () => undefined },
    links: network.createLinks(self),
    datagrams: network.createDatagrams(self),
    instances: {
      list: async () => Ok(options.contacts.map((contact) => ({ ...contact, state: 'live' }))),
      register: async () => Ok(undefined),
    },
    loads,
    time: createFleetTime(),
    quarantine,
    limits: { takeReports: () => limits.takeReports() },
    availability: { takeReports: () => availability.takeReports() },
    shares: { takeReports: () => shares.takeReports() },
    knowledge: {
      applyResponse: () => undefined,
      applySummary: () => false,
      computeAge: () => 0,
      computeEndpointsAge: () => 0,
      getSummary: () => ({ configurationRevision: 1, endpointsRevision: 1, confirmedAtMs: 0 }),
      setRole: () => undefined,
    },
    isLeaving: () => false,
  });
  const shares = createSlotShares({
    self: self.name,
    getNow: () => timers.clock.monotonicMs(),
    listAlive: () => exchange.listAliveNames(),
    getMeanRunMs: (pool) => loads.getPoolTiming(pool).meanRunMs,
    observer: {
      onChanged: () => undefined,
      onUnreadable: () => undefined,
      onRefused: () => undefined,
    },
  });
  timers.subscribe(QUARANTINE_TICK_MS, () => shares.advance());
  const availability = createEndpointAvailability({
    listRegistered: listOpen,
    isRegistered: (start) => listOpen().some(({ startId }) => hashStartId(startId) === start),
    countInstances: () => exchange.countInstances(),
    random,
    getNow: () => timers.clock.monotonicMs(),
    observer: {
      onChanged: () => undefined,
      onUnreadable: () => undefined,
      onRefused: () => undefined,
    },
  });
  const limits = createCallLimits({
    self: self.name,
    timers,
    random,
    observer: {
      onChanged: () => undefined,
      onUnreadable: () => undefined,
      onSent: () => undefined,
      onRefused: () => undefined,
    },
    datagrams: network.createDatagrams(self),
    peers: exchange,
    listOpen: (pool) => availability.listOpen(pool),
  });
  const forwarding = createCallForwarding({
    self,
    timers,
    random,
    connections: options.connections,
    links: network.createForwardLinks(),
    protocol: PROTOCOL,
    checkConnection: options.checkConnection,
    observer: {
      onPathChanged: () => undefined,
      onForwarded: options.onForwarded ?? (() => undefined),
      onCarried: () => undefined,
    },
    listPeers: () => exchange.listPeers(),
    countInstances: () => exchange.countInstances(),
    isLeaving: () => false,
    shares,
    getTable: () => undefined,
    findStart: (start) => listOpen().find(({ startId }) => startId === start),
    isAvailable: (endpoint) => availability.isAvailable(endpoint),
    getKeyConfirmedAt: () => undefined,
    onUnreachable: (start) => loads.recordUnreachable(start),
    onPeerAnswered: (start) => loads.recordReachable(start),
    isKeyTimeValid: () => true,
  });
  const streams = createCallStreams({
    self,
    timers,
    observer: SILENT_STREAM_OBSERVER,
    datagrams: network.createDatagrams(self),
    peers: exchange,
    listRegistered: listOpen,
    hasUnreadable: () => false,
    findEndpoint: (id) => listOpen().find((endpoint) => endpoint.id === id),
    viewAgeMaxMs: 0,
    servingAgeMaxMs: 0,
    computeViewAge: () => 0,
    getRegistryRevision: () => 1,
    getChangeRevision: () => 1,
    rowKey: self.name,
    store: createSimulatedStreamStore(timers.clock.monotonicMs),
    getSourceNow: () => undefined,
  });
  network.addStreams(self.address, streams);
  const runner = createCallRunner({
    features: options.features ?? ALL_FEATURES,
    exchanges: forwarding.exchanges,
    protocol: PROTOCOL,
    answers: createRoomyAnswerMemory(),
    loads,
    placer: createPlacer({
      loads,
      random,
      features: options.features ?? ALL_FEATURES,
      listOpen: (pool) => limits.listPreferred(pool),
      getRouteRank: (route, pool) => ranks.get(route, pool),
      isDataCentreUnreachable: (dataCentre) => exchange.isDataCentreUnreachable(dataCentre),
      isAvoided: (endpoint) =>
        quarantine.isInTrial(endpoint) || availability.isRestingElsewhere(endpoint),
    }),
    retryBounds: { windowMs: 10_000, ratio: 0.2, slack: 50 },
    timers,
    observer: {
      onAttempt: options.onAttempt,
      onAttemptEnded: () => undefined,
      onEnded: () => undefined,
    },
    listOpen: (pool) => availability.listOpen(pool),
    findPool: () => undefined,
    countInstances: () => exchange.countInstances(),
    quarantine,
    limits,
    shares,
    availability,
    streams,
    listRegistered: listOpen,
    onStarted: () => undefined,
    onError(error) {
      throw error;
    },
    checkSendable: () => undefined,
  });
  return { runner, exchange, quarantine, limits, availability, shares, forwarding, streams };
}
