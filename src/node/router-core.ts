/**
 * Assembles a router from its components. Servers and connections are passed in, so that soak tests
 * can run the same code over a simulated network.
 */
import type Emittery from 'emittery';
import { DEFAULT_POLICY } from '../admission/policy.js';
import type { AdmissionPolicy } from '../admission/policy.js';
import type { AttemptVerdict } from '../claims/claim.js';
import type { ConfigurationStore } from '../configuration/store.js';
import type { Fact, FetchConfigurationResponse, PeerMessage } from '../gen/peer_pb.js';
import { computeDrainTimes, createDrain, STAGE } from '../lifecycle/drain.js';
import type { DrainCommand, Stage } from '../lifecycle/drain.js';
import { createOrganisationLimiter } from '../limits/organisation-limits.js';
import type { OrganisationLimiter, PeerDemand } from '../limits/organisation-limits.js';
import { FactKind, FactState, isPresent } from '../membership/facts.js';
import type { Contact } from '../membership/membership-messages.js';
import type { PeerLinks } from '../peers/peer-links.js';
import type { InstanceListClient } from '../storage/instance-list-client.js';
import type { TableClient } from '../storage/table-client.js';
import type { Invariants } from '../runtime/invariants.js';
import type { Logger } from '../runtime/logger.js';
import { METRIC } from '../runtime/metrics.js';
import type { Metrics } from '../runtime/metrics.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { Declarations } from '../types/declarations.js';
import type { PeerMessageBody } from '../types/peer-messages.js';
import type { RouterEvents } from '../types/router-events.js';
import type { RouterStatus } from '../types/router-status.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import { createAuthenticator } from './authenticator.js';
import type { Authenticator } from './authenticator.js';
import { createClaimRunner } from './claim-runner.js';
import { createConfigurationRunner } from './configuration-runner.js';
import { createControlRunner } from './control-runner.js';
import { createEndpointNotices } from './endpoint-notices.js';
import type { EndpointClient } from './endpoint-client.js';
import { createFleetView } from './fleet-view.js';
import { createIndependentBroker } from './independent-broker.js';
import { createRequestRunner } from './request-runner.js';
import type { RequestRunner } from './request-runner.js';
import { createSlotBroker } from './slot-broker.js';
import type { SlotBroker } from './slot-broker-types.js';

const DRAIN_TICK_MS = 100;
const DEMAND_PERIOD_MS = 1000;

export interface RouterCoreOptions {
  readonly self: Contact;
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly claimWritesPerSecond: number;
  /** Time from the order to leave to the end of the instance. */
  readonly drainTimeoutMs: number;
  /** Responses to callers that are not written out. */
  readonly countOpenResponses: () => number;
  readonly policy?: AdmissionPolicy;
  readonly random: Random;
  readonly timers: TimerService;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly events: Emittery<RouterEvents>;
  readonly table: TableClient;
  readonly store: ConfigurationStore;
  readonly instances: InstanceListClient;
  readonly endpoints: EndpointClient;
  readonly links: PeerLinks;
  /** Called when new requests must no longer be accepted; running requests continue. */
  readonly onStopAccepting: () => void;
  /** Called when all running requests have ended or the drain timeout has passed. */
  readonly onDrained: () => void;
}

/** A router without its HTTP servers and connections. */
export interface RouterCore {
  readonly runner: RequestRunner;
  readonly authenticator: Authenticator;
  readonly limiter: OrganisationLimiter;
  getDeclarations(): Declarations | undefined;
  getPeerDemand(): PeerDemand;
  getStage(): Stage;
  getStatus(): RouterStatus;
  leave(): void;
  recordUnreachable(address: string): void;
  handleMessages(from: string, bodies: readonly PeerMessage['body'][]): void;
  buildConfigurationResponse(hashes: readonly string[]): FetchConfigurationResponse;
  getAttemptVerdict(attemptId: string): AttemptVerdict;
}

/** Creates a router core and starts its timers. */
export function createRouterCore(options: RouterCoreOptions): RouterCore {
  const { self, random, timers, invariants, metrics, logger, events } = options;
  const { table, endpoints, links } = options;
  const policy = options.policy ?? DEFAULT_POLICY;
  const authenticator = createAuthenticator();
  const limiter = createOrganisationLimiter();
  const drain = createDrain(computeDrainTimes(options.drainTimeoutMs));
  let declarations: Declarations | undefined;

  const fleet = createFleetView({
    self,
    incarnation: options.incarnation,
    random,
    invariants,
    timers,
    instances: options.instances,
    seeds: options.seeds,
    isLeaving: () => drain.getStage() === STAGE.Leaving || drain.getStage() === STAGE.Drained,
    send: (address, body) => links.send(address, body),
    onFactChanged: handleFactChanged,
  });

  function createBroker(): SlotBroker {
    if (policy.kind === 'independent') return createIndependentBroker(policy.choice);
    return createSlotBroker({
      self: { name: self.name, dataCentre: self.dataCentre },
      timers,
      random,
      invariants,
      metrics,
      policy,
      send(message) {
        const address = fleet.findAddress(message.to);
        if (address !== undefined) links.send(address, message.body);
      },
    });
  }

  const broker = createBroker();
  const claims = createClaimRunner({
    self: self.name,
    table,
    timers,
    metrics,
    writesPerSecond: options.claimWritesPerSecond,
    queryAttempt,
  });
  const notices = createEndpointNotices({
    getNow: timers.clock.monotonicMs,
    onLeaving: (endpoint) => fleet.recordEndpointState(endpoint, true),
    onResting(endpoint, restMs) {
      metrics.count(METRIC.RestsAsked, 1, { endpoint });
      logger.info('an endpoint asked for rest', { endpoint, restMs });
    },
  });
  const runner = createRequestRunner({
    broker,
    endpoints,
    claims,
    timers,
    invariants,
    metrics,
    events,
    hasStallDetection: policy.kind !== 'independent',
    hasPriority: policy.kind !== 'independent' || policy.hasPriority,
    notices,
  });
  const configuration = createConfigurationRunner({
    store: options.store,
    timers,
    invariants,
    metrics,
    logger,
    isPoller: () => fleet.isPoller(),
    fetchFromPeer: async (peer, hashes) => {
      const address = fleet.findAddress(peer);
      return address === undefined ? undefined : links.fetchConfiguration(address, hashes);
    },
    onApply: applyDeclarations,
  });
  const control = createControlRunner({
    self: self.name,
    table,
    endpoints,
    timers,
    metrics,
    logger,
    listOwnedShards: () => broker.listOwnedShards(),
    getDeclarations: () => declarations,
    onEndpointState(endpoint, isLeaving, sentMs) {
      if (isLeaving || notices.isDenialCurrent(endpoint, sentMs))
        fleet.recordEndpointState(endpoint, isLeaving);
    },
    onReachability: (endpoint, isReachable) => broker.recordReachability(endpoint, isReachable),
  });

  async function queryAttempt(instance: string, attemptId: string): Promise<AttemptVerdict> {
    const address = fleet.findAddress(instance);
    if (address === undefined) return 'unknown';
    try {
      return await links.queryAttempt(address, attemptId);
    } catch {
      return 'unknown';
    }
  }

  function applyDeclarations(next: Declarations): void {
    declarations = next;
    authenticator.set(next);
    broker.setDeclarations(next);
    fleet.setConfigurationVersion(next.version);
    drain.handle({ kind: 'configured' }, timers.clock.monotonicMs());
    events.emit('configuration', { version: next.version });
  }

  function updateLiveInstances(): void {
    const live = fleet.listAlive();
    broker.setLiveInstances(
      live.map((fact) => ({ name: fact.subject, dataCentre: fact.dataCentre })),
    );
    metrics.set(METRIC.MembersAlive, live.length);
  }

  function handleMemberChanged(fact: Fact, before: Fact | undefined): void {
    if (before?.state !== fact.state) updateLiveInstances();
    if (!isPresent(fact)) {
      broker.removeMember(fact.subject);
    } else if (fact.subject !== self.name) {
      const isNewer = fact.configurationVersion > configuration.getVersion();
      if (isNewer) configuration.handle(fact.subject, fact.configurationVersion);
    }
  }

  function applyEndpointState(endpoint: string, isLeaving: boolean): void {
    notices.setLeaving(endpoint, isLeaving);
    broker.setEndpointLeaving(endpoint, isLeaving);
  }

  function handleFactChanged(fact: Fact, before: Fact | undefined): void {
    if (fact.kind === FactKind.MEMBER) handleMemberChanged(fact, before);
    else applyEndpointState(fact.subject, fact.state === FactState.LEAVING);
    if (before?.state === fact.state) return;
    const state = FactState[fact.state];
    logger.info('member changed', { subject: fact.subject, state });
    events.emit('member', { subject: fact.subject, state });
  }

  function handleMessage(from: string, body: PeerMessageBody): void {
    switch (body.case) {
      case 'ping':
      case 'pingRequest':
      case 'ack':
      case 'syncFacts':
        fleet.handle(from, body);
        break;
      default:
        broker.handle(from, body);
    }
  }

  function runDrainCommand(command: DrainCommand): void {
    switch (command) {
      case 'announce_leaving':
        logger.info('leaving; requests in flight go on', { inFlight: runner.count() });
        fleet.leave();
        break;
      case 'stop_accepting':
        options.onStopAccepting();
        break;
      case 'end_work':
        logger.warn('the drain timeout ends requests in flight', { inFlight: runner.count() });
        runner.closeAll();
        break;
      case 'announce_left':
        fleet.announceLeft();
        break;
      case 'stop':
        // Lets the last message reach the peers before the connections close.
        timers.subscribeOnce(DRAIN_TICK_MS, options.onDrained);
        break;
      default:
        assertNever(command);
    }
  }

  function runDrain(message: Parameters<typeof drain.handle>[0]): void {
    for (const command of drain.handle(message, timers.clock.monotonicMs())) {
      runDrainCommand(command);
    }
  }

  timers.subscribe(DRAIN_TICK_MS, () =>
    runDrain({ kind: 'tick', inFlight: runner.count() + options.countOpenResponses() }),
  );
  timers.subscribe(DEMAND_PERIOD_MS, () => {
    const shares = limiter.takeReport(timers.clock.monotonicMs());
    if (shares !== undefined) fleet.setDemand(shares);
  });

  return {
    runner,
    authenticator,
    limiter,
    getDeclarations: () => declarations,
    getPeerDemand: () => fleet.getPeerDemand(),
    getStage: () => drain.getStage(),
    getStatus: () => ({
      name: self.name,
      dataCentre: self.dataCentre,
      stage: drain.getStage(),
      configurationVersion: configuration.getVersion(),
      requestsInFlight: runner.count(),
      ticketsWaiting: broker.countPendingTickets(),
      slotsHeld: broker.countHeldSlots(),
      members: fleet.listStatus(),
      leavingEndpoints: fleet.listLeavingEndpoints(),
      shards: broker.listShardViews(),
      leases: control.listLeasedShards(),
      invariantBreaches: invariants.count(),
      breaches: invariants.list(),
    }),
    leave: () => runDrain({ kind: 'leave' }),
    recordUnreachable: (address) => fleet.recordUnreachable(address),
    handleMessages(from, bodies) {
      for (const body of bodies) if (body.case !== undefined) handleMessage(from, body);
    },
    buildConfigurationResponse: (hashes) => configuration.buildResponse(hashes),
    getAttemptVerdict: (attemptId) => claims.getVerdict(attemptId),
  };
}
