/**
 * Composes a router from the source's tables, the running calls, the exchange with other instances and
 * the lifecycle. The servers and the protocols of a deployment are supplied by the caller.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import { createCallRunner } from '../calls/call-runner.js';
import type { CallRunner } from '../calls/call-runner.js';
import { createFleetTime } from '../duties/fleet-time.js';
import { createEndpointAvailability } from '../endpoint-availability/endpoint-availability.js';
import { createEndpointPace } from '../endpoint-pace/endpoint-pace.js';
import { createDrain, STAGE } from '../lifecycle/drain.js';
import type { DrainCommand } from '../lifecycle/drain.js';
import { DEFAULT_WATCH_PACE, computeWatchPace } from '../knowledge/watch-pace.js';
import { createEndpointLoads } from '../placement/endpoint-loads.js';
import { hashStartId } from '../placement/remote-loads.js';
import { createPlacer } from '../placement/placer.js';
import type { KnownTiming } from '../placement/timings-api.js';
import { TOP_RANK } from '../routes/route-rank.js';
import { createRouteTable } from '../routes/route-table.js';
import type { RouteTable } from '../routes/route-table.js';
import { createSlotShares } from '../slot-shares/slot-shares.js';
import { FEATURE } from '../types/features.js';
import type { RequestFailure } from '../types/outcomes.js';
import { CALL_KIND } from '../types/traffic.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import { Err } from '../utils/result.js';
import { createLeavingFailure, createNotReadyFailure, resolveCall } from './resolve-call.js';
import { createCallForwarding } from './call-forwarding.js';
import { createCallLimits } from './call-limits.js';
import { createCallQuarantine } from './call-quarantine.js';
import { createCallStreams } from './call-streams.js';
import { createGatewayDuties, createTimedFeed } from './gateway-duties.js';
import type { GatewayDuties } from './gateway-duties.js';
import { createKnowledgeStore } from './knowledge-store.js';
import { createPeerExchange } from './peer-exchange.js';
import type { Gateway, GatewayOptions } from './gateway-api.js';

const TICK_MS = 100;
/** Failure rate from which a brittle endpoint may have crashed because it had no room. */
const ROOM_FAILURE_RATE_MIN = 0.1;
/** Safety margin subtracted from the maximum age of keys. */
const KEY_AGE_MARGIN_MS = 500;
/** Fraction of the maximum age of keys at which readiness is withdrawn, before calls have to be refused. */
const READY_KEY_AGE_FRACTION = 0.6;
/**
 * By how much the registry may be older than keys may be when a stream begins: its confirmations come at
 * other times than those of the keys, so in an outage of both the age of the keys decides. The same for all
 * instances of a fleet, whatever their release and bounds.
 */
const REGISTRY_AGE_EXTRA_MS = DEFAULT_WATCH_PACE.recentMaxMs;

/** Creates a gateway, which immediately starts to contact other instances and the source. */
export function createGateway(options: GatewayOptions): Gateway {
  const { timers, log, random } = options;
  const loads = createEndpointLoads();
  const drain = createDrain(options.drainTimes);
  const time = createFleetTime();
  const watchPace = computeWatchPace(options.inForceMs);
  let table: RouteTable | undefined;
  const getNow = (): number => timers.clock.monotonicMs();

  const knowledge = createKnowledgeStore({
    timers,
    random,
    log,
    configurationFeed: createTimedFeed(options.configurationFeed, time, getNow),
    endpointFeed: createTimedFeed(options.endpointFeed, time, getNow),
    decoder: options.decoder,
    watchPace,
    onConfiguration(configuration) {
      table = createRouteTable(configuration);
      drain.handle({ kind: 'configured' }, getNow());
      streams.setConfiguration(configuration);
      options.onConfiguration(configuration);
    },
    onEndpointStarted: (endpoint, isFirstList) => pace.add(endpoint, isFirstList),
    onEndpointEnded(endpoint, isRestarted) {
      pace.remove(endpoint.startId);
      loads.remove(endpoint.startId);
      limits.remove(endpoint.startId);
      availability.remove(endpoint.startId);
      forwarding.remove(endpoint.startId, isRestarted);
      shares.remove(endpoint.startId);
      quarantine.recordEnded(endpoint);
      if (isRestarted) closeIdleConnectionsTo(endpoint);
    },
    onEndpointsApplied: (isGap) => streams.recordRegistry(isGap),
    onSuspended: () => peers.startKnowledgeFetches(),
  });

  const { quarantine, ...quarantineControl } = createCallQuarantine({
    timers,
    log,
    observer: {
      ...options.quarantineObserver,
      onCrash(crash) {
        streams.recordEnded(hashStartId(crash.endpoint.startId));
        options.quarantineObserver.onCrash(crash);
      },
    },
    caseStore: options.caseStore,
    checkConnection: options.checkConnection,
    findEndpoint: (id) => knowledge.directory.find(id),
    mayLackRoom: (endpoint) =>
      shares.isBrittle(endpoint) &&
      (shares.hasRejected(endpoint) ||
        loads.getFailureRate(endpoint.startId, getNow()) >= ROOM_FAILURE_RATE_MIN),
  });

  /**
   * Closes idle connections to the previous start, unless another endpoint now has its address. Those in use
   * may be to the new start, whose entry comes later than its first request.
   */
  function closeIdleConnectionsTo({ id, address }: RegisteredEndpoint): void {
    const isAddressReused = knowledge.directory
      .listAll()
      .some((other) => other.id !== id && other.address === address);
    if (!isAddressReused) options.connections.closeIdle(address);
  }

  const isLeaving = (): boolean =>
    drain.getStage() === STAGE.Leaving || drain.getStage() === STAGE.Drained;

  const peers = createPeerExchange({
    self: options.self,
    incarnation: options.incarnation,
    seeds: options.seeds,
    timers,
    random,
    invariants: options.invariants,
    log,
    links: options.links,
    datagrams: options.datagrams,
    time,
    instances: options.instances,
    loads,
    quarantine,
    limits: { takeReports: () => limits.takeReports() },
    availability: { takeReports: () => availability.takeReports() },
    shares: { takeReports: () => shares.takeReports() },
    knowledge: {
      ...knowledge,
      setRole(role) {
        knowledge.setRole(role);
        quarantineControl.setReading(role.kind === 'watch');
        streams.setLeading(role.kind === 'watch' && role.isLeading);
      },
    },
    watchPace,
    isLeaving,
  });

  const availability = createEndpointAvailability({
    listRegistered: (pool) => knowledge.directory.listOpen(pool),
    isRegistered: (start) => knowledge.directory.hasStart(start),
    countInstances: () => peers.countInstances(),
    random,
    getNow,
    observer: options.availabilityObserver,
  });

  const limits = createCallLimits({
    self: options.self.name,
    timers,
    random,
    observer: options.limitObserver,
    datagrams: options.datagrams,
    peers,
    listOpen: (pool) => availability.listOpen(pool),
  });

  const duties: GatewayDuties | undefined =
    options.duties === undefined
      ? undefined
      : createGatewayDuties({
          duties: options.duties,
          self: options.self.name,
          incarnation: options.incarnation,
          timers,
          random,
          time,
          loads,
          directory: knowledge.directory,
          isAvailable: (endpoint) => availability.isAvailable(endpoint),
          isLeavingEndpoint: (startId) => availability.isLeaving(startId),
          isLimited: (startId) => limits.isLimited(startId),
          peers,
          getConfiguration: () => knowledge.getConfiguration(),
          getKnowledgeAge: () => knowledge.computeAge(),
          isLeaving,
        });

  const shares = createSlotShares({
    self: options.self.name,
    getNow,
    listAlive: () => peers.listAliveNames(),
    getMeanRunMs: (pool) => loads.getPoolTiming(pool).meanRunMs,
    observer: options.shareObserver,
  });

  const pace = createEndpointPace({
    self: options.self.name,
    getNow,
    listAlive: () => peers.listAliveNames(),
    loads,
    observer: options.paceObserver,
    isEnabled: options.features.has(FEATURE.Pace),
  });

  const streams = createCallStreams({
    self: options.self,
    timers,
    observer: options.streamObserver,
    datagrams: options.datagrams,
    peers,
    listRegistered: () => knowledge.directory.listAll(),
    hasUnreadable: () => knowledge.directory.hasUnreadable(),
    findEndpoint: (id) => knowledge.directory.find(id),
    viewAgeMaxMs: REGISTRY_AGE_EXTRA_MS,
    servingAgeMaxMs: options.keyAgeMaxMs + REGISTRY_AGE_EXTRA_MS,
    computeViewAge: () => knowledge.computeEndpointsAge(),
    getRegistryRevision: () => knowledge.getEndpointsRevision(),
    getChangeRevision: () => knowledge.getSummary().endpointsRevision,
    rowKey: `${options.self.name}/${options.incarnation}`,
    store: options.streamStore,
    getSourceNow: () => knowledge.computeSourceNow(),
  });

  const forwarding = createCallForwarding({
    self: options.self,
    timers,
    random,
    connections: options.connections,
    links: options.forwardLinks,
    protocol: options.protocol,
    checkConnection: options.checkConnection,
    observer: options.forwardingObserver,
    listPeers: () => peers.listPeers(),
    countInstances: () => peers.countInstances(),
    isLeaving,
    shares,
    getTable: () => table,
    findStart: (start) => knowledge.directory.listAll().find(({ startId }) => startId === start),
    isAvailable: (endpoint) => availability.isAvailable(endpoint),
    getKeyConfirmedAt: () => knowledge.getSummary().confirmedAtMs,
    onUnreachable: (start) => loads.recordUnreachable(start),
    onPeerAnswered: (start) => loads.recordReachable(start),
    isKeyTimeValid: (confirmedAtMs) => isKeyAgeValid(knowledge.computeAgeOf(confirmedAtMs)),
  });

  const placer = createPlacer({
    loads,
    random,
    features: options.features,
    listOpen: (pool) => limits.listPreferred(pool),
    listServing: (pool) => knowledge.directory.listServing(pool),
    knowsFleetLoad: () => peers.knowsFleetLoad(),
    getRouteRank: (route, pool) => table?.getRouteRank(route, pool) ?? TOP_RANK,
    isDataCentreUnreachable: (dataCentre) => peers.isDataCentreUnreachable(dataCentre),
    isAvoided: (endpoint) =>
      quarantine.isInTrial(endpoint) ||
      availability.isRestingElsewhere(endpoint) ||
      !pace.hasRoom(endpoint),
    takeColdPrefix: (endpoint, prefix) => pace.takeColdPrefix(endpoint, prefix),
  });
  const runner: CallRunner = createCallRunner({
    features: options.features,
    exchanges: forwarding.exchanges,
    protocol: options.protocol,
    answers: options.answers,
    loads,
    placer,
    retryBounds: options.retryBounds,
    timers,
    observer: options.observer,
    listOpen: (pool) => availability.listOpen(pool),
    findPool: (name) => table?.findPool(name),
    countInstances: () => peers.countInstances(),
    quarantine,
    limits,
    shares,
    availability,
    streams,
    listRegistered: (pool) => knowledge.directory.listOpen(pool),
    onStarted: (call, startedMs) => duties?.recordStarted(call, startedMs),
    checkSendable,
    onError: options.onCallError,
  });

  function isKeyAgeValid(ageMs: number): boolean {
    return ageMs <= options.keyAgeMaxMs - KEY_AGE_MARGIN_MS;
  }

  function areKeysValid(): boolean {
    return isKeyAgeValid(knowledge.computeAge());
  }

  /** Whether other instances still expect streams at the endpoints that this instance knows of. */
  function isRegistryValid(): boolean {
    return isKeyAgeValid(knowledge.computeEndpointsAge() - REGISTRY_AGE_EXTRA_MS);
  }

  /** Guards against starting an answer that the end of this process would cut off. */
  function hasTimeFor(call: RoutedCall): boolean {
    const leftMs = drain.computeLeftMs(getNow());
    return leftMs === Infinity || leftMs >= placer.predictRunMs(call);
  }

  /** Checked right before each send, since keys and the stage may change while a call waits. */
  function checkSendable(call: RoutedCall, isBegun: boolean): RequestFailure | undefined {
    if (!hasTimeFor(call)) return createLeavingFailure();
    if (!call.isAuthenticated) return undefined;
    if (!areKeysValid())
      return createNotReadyFailure('this instance cannot tell whether the key is still valid');
    if (isBegun || call.route.kind !== CALL_KIND.ResumableStream || isRegistryValid())
      return undefined;
    return createNotReadyFailure(
      'this instance cannot tell which endpoints may begin a stream; try another',
    );
  }

  /** Guards against calls that the end of this process would leave without an answer. */
  function closeWork(): void {
    const failure = createLeavingFailure();
    const { waiting, sent } = runner.closeAll(failure);
    log.write({ event: 'drain_cut', waiting, sent, unread: options.refuseUnread(failure) });
  }

  function listTimings(): KnownTiming[] {
    if (!options.features.has(FEATURE.Timing)) return [];
    const nowMs = getNow();
    return knowledge.directory
      .listAll()
      .filter(({ pool }) => table?.findPool(pool)?.engine !== undefined)
      .map((endpoint) => {
        const { running } = loads.get(endpoint.startId);
        return {
          endpoint: endpoint.id,
          pool: endpoint.pool,
          running,
          pauseMs: placer.predictPauseMs(endpoint, nowMs) ?? null,
          slowdown: loads.getSlowdown(endpoint, nowMs),
        };
      });
  }

  function runDrainCommand(command: DrainCommand): void {
    switch (command) {
      case 'announce_leaving':
        log.write({ event: 'leaving', inFlight: runner.count() });
        peers.leave();
        break;
      case 'stop_accepting':
        options.onStopAccepting();
        break;
      case 'end_work':
        closeWork();
        break;
      case 'announce_left':
        peers.announceLeft();
        break;
      case 'stop':
        // Leaves time for the last message to peers.
        timers.subscribeOnce(TICK_MS, options.onDrained);
        break;
      default:
        assertNever(command);
    }
  }

  function runDrain(message: Parameters<typeof drain.handle>[0]): void {
    for (const command of drain.handle(message, getNow())) runDrainCommand(command);
  }

  timers.subscribe(TICK_MS, () => {
    quarantine.advance();
    availability.advance();
    shares.advance();
    pace.advance();
    runDrain({
      kind: 'tick',
      inFlight: runner.count() + forwarding.countCarried() + options.countOpenResponses(),
    });
  });

  return {
    resolve(request) {
      // Guards against accepting calls that would be cut off at the end of the process, since callers
      // reuse open connections until then.
      if (!drain.isAccepting()) return Err(createLeavingFailure());
      const ageMs = knowledge.computeAge();
      return resolveCall(request, {
        table,
        isRecent: ageMs <= watchPace.recentMaxMs,
        areKeysValid: isKeyAgeValid(ageMs),
      });
    },
    run: (call, sink) => runner.run(call, sink),
    findOrganisation: (key) => (key === undefined ? undefined : table?.findOrganisation(key)?.name),
    isReady: () =>
      drain.getStage() === STAGE.Ready &&
      knowledge.computeAge() <= options.keyAgeMaxMs * READY_KEY_AGE_FRACTION,
    isLeaving,
    leave: () => runDrain({ kind: 'leave' }),
    getConfiguration: () => knowledge.getConfiguration(),
    getKnowledgeState: () => ({
      configurationVersion: table?.version ?? 0,
      ageMs: knowledge.computeAge(),
    }),
    handlePeerStatus: (status) => peers.handlePeerStatus(status),
    handleCases(from, cases) {
      streams.recordCrashes(cases);
      peers.handleCases(from, cases);
    },
    findEndpointName: (start) =>
      knowledge.directory.listAll().find(({ startId }) => hashStartId(startId) === start)?.id,
    listCases: quarantineControl.listCases,
    releaseCase: quarantineControl.releaseCase,
    handleMessages: (from, bodies) => peers.handleMessages(from, bodies),
    recordUnreachable: (address) => peers.recordUnreachable(address),
    handleUsage: (usage) => duties?.handleUsage(usage),
    getDutyStatus: () => duties?.getStatus(),
    releaseDuties: () => duties?.release() ?? false,
    buildKnowledge: (request) => knowledge.buildResponse(request),
    countInstances: () => peers.countInstances(),
    countCalls: () => runner.count(),
    handleLimits: (from, reports) => limits.mergeReports(reports, from),
    handleNotices: (from, reports) => availability.merge(reports, from),
    handleBrittle: (from, reports) => shares.merge(reports, from),
    handlePermitRequests: (from, requests) => limits.handleRequests(requests, from),
    handlePermitReplies: (replies) => limits.handleReplies(replies),
    handleStreams: (from, groups) => streams.handleTold(groups, from),
    handleStreamQuery: (from, query) => streams.handleQuery(query, from),
    handleStreamReply: (from, reply) => streams.handleReply(reply, from),
    listEndpoints: () => knowledge.directory.listAll(),
    countStreamBindings: () => streams.count(),
    listLimits: () => limits.list(),
    listNotices: () => availability.list(),
    listBrittle: () => shares.list(),
    listPaces: () => pace.list(),
    listTimings,
    runCarried: (requests, signal) => forwarding.runCarried(requests, signal),
    countCarried: () => forwarding.countCarried(),
    listPaths: () => forwarding.listPaths(),
    stop: () => knowledge.stop(),
  };
}
