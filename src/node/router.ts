/** Composes one router out of its slices, and starts and stops it. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import Emittery from 'emittery';
import { createConfigurationStore } from '../configuration/store.js';
import { AttemptVerdict as WireVerdict } from '../gen/peer_pb.js';
import type { Fact, PeerMessage } from '../gen/peer_pb.js';
import { createDrain, STAGE } from '../lifecycle/drain.js';
import type { DrainCommand } from '../lifecycle/drain.js';
import { createOrganisationLimiter } from '../limits/organisation-limits.js';
import { FactKind, FactState, isPresent, isServing } from '../membership/facts.js';
import { createMembership } from '../membership/membership.js';
import type { Contact, MembershipCommand, MembershipMessage } from '../membership/membership.js';
import { createPeerOutbox } from '../peers/peer-outbox.js';
import { startPeerServer } from '../peers/peer-server.js';
import { createInstanceListClient, LISTED_STATE } from '../platform/instance-list-client.js';
import { createObjectClient } from '../platform/object-client.js';
import { createSignedClient } from '../platform/signed-client.js';
import { createTableClient } from '../platform/table-client.js';
import { createSystemClock } from '../runtime/clock.js';
import { createInvariants } from '../runtime/invariants.js';
import { createLogger } from '../runtime/logger.js';
import { createMetrics, METRIC } from '../runtime/metrics.js';
import { createTimerService } from '../runtime/timer-service.js';
import type { Declarations } from '../types/declarations.js';
import { FAILURE, STATUS_OF_FAILURE } from '../types/outcomes.js';
import type { AddressedMessage, PeerBody } from '../types/peer-messages.js';
import type { RouterEvents } from '../types/router-events.js';
import type { RouterStatus } from '../types/router-status.js';
import type { AttemptVerdict } from '../claims/claim.js';
import { assertNever } from '../utils/assert-never.js';
import { chooseRendezvous, hashName } from '../utils/hash.js';
import { createRandom } from '../utils/random.js';
import { buildErrorBody } from './answer-writers.js';
import { createAuthenticator } from './authenticator.js';
import { createCallerApi } from './caller-api.js';
import { createNotRun } from './check-request.js';
import { createClaimDesk } from './claim-desk.js';
import { createConfigurationRunner } from './configuration-runner.js';
import { createControlRunner } from './control-runner.js';
import { createEndpointClient } from './endpoint-client.js';
import { createOperatorApi } from './operator-api.js';
import { createRequestRunner } from './request-runner.js';
import { parseListen, resolveRouterConfig } from './settings.js';
import type { RouterOptions } from './settings.js';
import { createSlotBroker } from './slot-broker.js';
import { createIndependentBroker } from './independent-broker.js';
import { DEFAULT_POLICY } from '../admission/policy.js';
import type { AdmissionPolicy } from '../admission/policy.js';

const MEMBERSHIP_TICK_MS = 50;
const LIST_PERIOD_MS = 2000;
const DRAIN_TICK_MS = 100;
const DEMAND_PERIOD_MS = 1000;
/** Instances that read the platform's head in each data centre. */
const POLLERS_PER_DATA_CENTRE = 2;
/** A request's headers may take this many bytes; more is answered 431. */
const HEADER_BYTES_MAX = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
/** Guards against callers that open connections and send nothing. */
const CONNECTIONS_MAX = 10_000;
const TABLE_NAME = 'hyssoptally';
const BUCKET_NAME = 'hyssoptally';

/** Settings that only code can give, for benches and tests. */
export interface RouterInternals {
  readonly policy?: AdmissionPolicy;
  /** One-way delay to a peer's address, in milliseconds. */
  readonly getPeerDelayMs?: (address: string) => number;
}

/** A running router. */
export interface Router {
  readonly name: string;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly peersAddress: string;
  readonly events: Emittery<RouterEvents>;
  getStatus(): RouterStatus;
  isReady(): boolean;
  /** Leaves without cutting off anything; resolves once all is done. */
  drain(): Promise<void>;
  /** Stops at once, as a crash would. */
  stop(): Promise<void>;
}

async function startServer(server: Server, listen: string): Promise<number> {
  const { host, port } = parseListen(listen);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Answers what never became a request: header bombs and garbage. */
function handleClientError(error: Error & { code?: string }, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
  const failure = isTooLarge
    ? createNotRun(FAILURE.HeadersTooLarge, `headers exceed ${HEADER_BYTES_MAX} bytes; send fewer`)
    : createNotRun(FAILURE.BadRequest, 'not a valid HTTP request; correct the client');
  const body = JSON.stringify(buildErrorBody(failure, 'none'));
  const status = STATUS_OF_FAILURE[failure.type];
  socket.end(
    `HTTP/1.1 ${status} Refused\r\ncontent-type: application/json\r\nx-hyssoptally-request-id: none\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}

/** Starts a router; throws a `SettingsError` for wrong settings. */
export async function startRouter(
  options: RouterOptions,
  internals: RouterInternals = {},
): Promise<Router> {
  const config = resolveRouterConfig(options);
  const { name, dataCentre } = config;
  const clock = createSystemClock();
  const incarnation = clock.wallMs();
  const timers = createTimerService(clock);
  const events = new Emittery<RouterEvents>();
  const logger = createLogger(config.logLevel, { instance: name, dataCentre });
  const metrics = createMetrics(config.statsdHost, config.statsdPort);
  const random = createRandom(hashName(`${name}|${incarnation}`));
  const invariants = createInvariants((breach) => {
    metrics.count(METRIC.InvariantBreaches, 1, { name: breach.name });
    logger.error('invariant broken; report this with the lines before it', breach);
  });

  const credentials = {
    accessKeyId: config.platformAccessKeyId,
    secretAccessKey: config.platformSecretAccessKey,
  };
  const tableHttp = createSignedClient({
    url: config.platformTable,
    service: 'dynamodb',
    ...credentials,
  });
  const objectHttp = createSignedClient({
    url: config.platformObjects,
    service: 's3',
    ...credentials,
  });
  const table = createTableClient(tableHttp, TABLE_NAME);
  const store = createConfigurationStore(table, createObjectClient(objectHttp, BUCKET_NAME));
  const instances = createInstanceListClient(config.platformInstances, config.platformToken);
  const outbox = createPeerOutbox({
    self: name,
    incarnation,
    secret: config.peerSecret,
    metrics,
    onUnreachable: (address) => runMembership({ kind: 'unreachable', address }),
    ...(internals.getPeerDelayMs === undefined ? {} : { getDelayMs: internals.getPeerDelayMs }),
  });
  const endpoints = createEndpointClient();
  const authenticator = createAuthenticator();
  const limiter = createOrganisationLimiter();
  const drain = createDrain(config.drainTimeoutMs);
  let declarations: Declarations | undefined;
  let isStopped = false;

  const peersHost = parseListen(config.peers).host;
  const peerServer = await startPeerServer(
    peersHost,
    parseListen(config.peers).port,
    config.peerSecret,
    {
      onMessages: (from, bodies) => handleBodies(from, bodies),
      onFetchConfiguration: (hashes) => configuration.buildResponse(hashes),
      onQueryAttempt: (attemptId) => encodeVerdict(claims.getVerdict(attemptId)),
    },
  );
  const peersAddress = `${peersHost}:${peerServer.port}`;
  const self: Contact = { name, address: peersAddress, dataCentre };
  const membership = createMembership({ self, incarnation, random, invariants });

  const policy = internals.policy ?? DEFAULT_POLICY;
  const broker =
    policy.kind === 'independent'
      ? createIndependentBroker(policy.choice)
      : createSlotBroker({
          self: { name, dataCentre },
          timers,
          random,
          invariants,
          metrics,
          policy,
          send: (message) => sendMessage(message),
        });
  const claims = createClaimDesk({
    self: name,
    table,
    clock,
    metrics,
    writesPerSecond: config.claimWritesPerSecond,
    queryAttempt,
  });
  const runner = createRequestRunner({
    broker,
    endpoints,
    claims,
    timers,
    invariants,
    metrics,
    events,
    hasStallChecks: policy.kind !== 'independent',
    hasPriority: policy.kind !== 'independent' || policy.hasPriority,
    onLeaving: (endpoint) => recordEndpoint(endpoint, true),
  });
  const configuration = createConfigurationRunner({
    store,
    timers,
    invariants,
    metrics,
    logger,
    isPoller,
    findPeer: (peer) => {
      const address = membership.findMember(peer)?.address;
      return address === undefined ? undefined : outbox.getClient(address);
    },
    onApply: applyDeclarations,
  });
  const control = createControlRunner({
    self: name,
    table,
    endpoints,
    timers,
    metrics,
    logger,
    listOwned: () => broker.listOwned(),
    getDeclarations: () => declarations,
    onEndpointState: recordEndpoint,
    onSeen: (endpoint, isReachable) => broker.recordSeen(endpoint, isReachable),
  });

  function encodeVerdict(verdict: AttemptVerdict): WireVerdict {
    switch (verdict) {
      case 'abandoned':
        return WireVerdict.ABANDONED;
      case 'sent':
        return WireVerdict.SENT;
      case 'unknown':
        return WireVerdict.UNKNOWN;
      default:
        return assertNever(verdict);
    }
  }

  async function queryAttempt(entry: string, attemptId: string): Promise<AttemptVerdict> {
    const member = membership.findMember(entry);
    if (member === undefined || !isPresent(member)) return 'unknown';
    try {
      const { verdict } = await outbox.getClient(member.address).queryAttempt({ attemptId });
      if (verdict === WireVerdict.ABANDONED) return 'abandoned';
      return verdict === WireVerdict.SENT ? 'sent' : 'unknown';
    } catch {
      return 'unknown';
    }
  }

  function sendMessage(message: AddressedMessage): void {
    const member = membership.findMember(message.to);
    if (member !== undefined && !isStopped) outbox.send(member.address, message.body);
  }

  function isPoller(): boolean {
    const local = membership
      .listMembers()
      .filter((fact) => fact.dataCentre === dataCentre && isServing(fact))
      .map((fact) => fact.subject);
    return chooseRendezvous('configuration', local, POLLERS_PER_DATA_CENTRE).includes(name);
  }

  function recordEndpoint(endpoint: string, isLeaving: boolean): void {
    runMembership({ kind: 'endpoint', endpoint, isLeaving, wallMs: clock.wallMs() });
  }

  function applyDeclarations(next: Declarations): void {
    declarations = next;
    authenticator.set(next);
    broker.setDeclarations(next);
    runMembership({ kind: 'configuration', version: next.version });
    drain.handle({ kind: 'configured' }, clock.monotonicMs());
    events.emit('configuration', { version: next.version });
  }

  function updateLive(): void {
    // A suspect owns nothing: a wrong suspicion costs a moment's double grants, a right one is time
    // won for every request that waits on a dead owner.
    const live = membership.listMembers().filter((fact) => fact.state === FactState.ALIVE);
    broker.setLive(live.map((fact) => ({ name: fact.subject, dataCentre: fact.dataCentre })));
    metrics.set(METRIC.MembersAlive, live.length);
  }

  function handleChanged(fact: Fact, before: Fact | undefined): void {
    if (fact.kind === FactKind.ENDPOINT) {
      broker.setLeaving(fact.subject, fact.state === FactState.LEAVING);
    } else if (before?.state !== fact.state) {
      updateLive();
    }
    if (fact.kind === FactKind.MEMBER && !isPresent(fact)) broker.removeMember(fact.subject);
    if (fact.kind === FactKind.MEMBER && fact.subject !== name) {
      const isNews = fact.configurationVersion > configuration.getVersion();
      if (isNews && isPresent(fact)) configuration.handle(fact.subject, fact.configurationVersion);
    }
    if (before?.state === fact.state) return;
    const state = FactState[fact.state];
    logger.info('member changed', { subject: fact.subject, state });
    events.emit('member', { subject: fact.subject, state });
  }

  function runMembershipCommand(command: MembershipCommand): void {
    switch (command.kind) {
      case 'send':
        if (!isStopped) outbox.send(command.address, command.body);
        break;
      case 'changed':
        handleChanged(command.fact, command.before);
        break;
      default:
        assertNever(command);
    }
  }

  function runMembership(message: MembershipMessage): void {
    for (const command of membership.handle(message, clock.monotonicMs())) {
      runMembershipCommand(command);
    }
  }

  function handleBody(from: string, body: PeerBody): void {
    switch (body.case) {
      case 'ping':
      case 'pingRequest':
      case 'ack':
      case 'syncFacts':
        runMembership({ kind: 'received', from, body });
        break;
      default:
        broker.handle(from, body);
    }
  }

  function handleBodies(from: string, bodies: readonly PeerMessage['body'][]): void {
    if (isStopped) return;
    for (const body of bodies) if (body.case !== undefined) handleBody(from, body);
  }

  async function updateContacts(): Promise<void> {
    const state = drain.getStage() === STAGE.Leaving ? LISTED_STATE.Leaving : LISTED_STATE.Live;
    await instances.set({ ...self, state });
    const listed = await instances.list();
    const seeds = config.seeds.map((address) => ({ name: address, address, dataCentre: '' }));
    const known = new Set(membership.listMembers().map((fact) => fact.address));
    const contacts: Contact[] = listed
      .unwrapOr([])
      .filter((instance) => instance.state === LISTED_STATE.Live)
      .map((instance) => ({
        name: instance.name,
        address: instance.address,
        dataCentre: instance.dataCentre,
      }));
    // A seed has no name until it answers; once its address is a member's it is no news.
    const unknownSeeds = seeds.filter((seed) => !known.has(seed.address));
    runMembership({ kind: 'contacts', contacts: [...contacts, ...unknownSeeds] });
  }

  const callersServer = createServer(
    { maxHeaderSize: HEADER_BYTES_MAX },
    createCallerApi({
      runner,
      authenticator,
      limiter,
      timers,
      maxBodyBytes: config.maxBodyBytes,
      getDeclarations: () => declarations,
      getPeerDemand: () => {
        const others = membership
          .listMembers()
          .filter((fact) => fact.subject !== name && isServing(fact));
        return {
          entries: others.length + 1,
          getDemand: (organisation) =>
            others.reduce((sum, fact) => {
              const share = fact.demand.find((entry) => entry.organisation === organisation);
              return sum + (share?.rate ?? 0);
            }, 0),
        };
      },
    }),
  );
  callersServer.headersTimeout = HEADERS_TIMEOUT_MS;
  callersServer.requestTimeout = REQUEST_TIMEOUT_MS;
  callersServer.maxConnections = CONNECTIONS_MAX;
  callersServer.on('clientError', handleClientError);
  const operatorsServer = createServer(
    createOperatorApi({
      secret: config.operatorSecret,
      isReady: () => drain.getStage() === STAGE.Ready,
      getStatus,
      getMetrics: () => metrics.list(),
      onLeave: () => runDrain('leave'),
    }),
  );
  const callersPort = await startServer(callersServer, config.callers);
  const operatorsPort = await startServer(operatorsServer, config.operators);

  function getStatus(): RouterStatus {
    return {
      name,
      dataCentre,
      stage: drain.getStage(),
      configurationVersion: configuration.getVersion(),
      requestsInFlight: runner.count(),
      ticketsWaiting: broker.countPending(),
      slotsHeld: broker.countHeld(),
      members: membership.listMembers().map((fact) => ({
        name: fact.subject,
        dataCentre: fact.dataCentre,
        address: fact.address,
        state: FactState[fact.state].toLowerCase(),
        configurationVersion: fact.configurationVersion,
      })),
      leavingEndpoints: membership
        .listEndpoints()
        .filter((fact) => fact.state === FactState.LEAVING)
        .map((fact) => fact.subject),
      shards: broker.list(),
      leases: control.listLeased(),
      invariantBreaches: invariants.count(),
      breaches: invariants.list(),
    };
  }

  async function stop(): Promise<void> {
    if (isStopped) return;
    isStopped = true;
    timers.stop();
    outbox.close();
    callersServer.close();
    operatorsServer.close();
    callersServer.closeAllConnections();
    operatorsServer.closeAllConnections();
    await peerServer.close();
    await endpoints.close();
    await tableHttp.close();
    await objectHttp.close();
    metrics.close();
    logger.close();
  }

  function runDrainCommand(command: DrainCommand): void {
    switch (command) {
      case 'announce_leaving':
        logger.info('leaving; requests in flight go on', { inFlight: runner.count() });
        runMembership({ kind: 'leave' });
        updateContacts().catch(() => undefined);
        break;
      case 'stop_accepting':
        callersServer.close();
        callersServer.closeIdleConnections();
        break;
      case 'announce_left':
        runMembership({ kind: 'left' });
        break;
      case 'stop':
        // A moment for the last message to peers, then everything closes.
        setTimeout(() => {
          stop()
            .then(() => events.emit('drained'))
            .catch(() => undefined);
        }, DRAIN_TICK_MS);
        break;
      default:
        assertNever(command);
    }
  }

  function runDrain(kind: 'leave' | 'tick'): void {
    const message =
      kind === 'leave'
        ? ({ kind: 'leave' } as const)
        : ({ kind: 'tick', inFlight: runner.count() } as const);
    for (const command of drain.handle(message, clock.monotonicMs())) runDrainCommand(command);
  }

  timers.subscribe(MEMBERSHIP_TICK_MS, () => runMembership({ kind: 'tick' }));
  timers.subscribe(LIST_PERIOD_MS, () => {
    updateContacts().catch(() => undefined);
  });
  timers.subscribe(DRAIN_TICK_MS, () => runDrain('tick'));
  timers.subscribe(DEMAND_PERIOD_MS, () => {
    const shares = limiter.takeReport(clock.monotonicMs());
    if (shares !== undefined) runMembership({ kind: 'demand', shares });
  });
  updateContacts().catch(() => undefined);
  events.on('decision', (decision) => {
    logger.debug('decision', decision);
  });
  logger.info('started', { callersPort, operatorsPort, peersAddress });

  const callersHost = parseListen(config.callers).host;
  const operatorsHost = parseListen(config.operators).host;
  return {
    name,
    callersUrl: `http://${callersHost}:${callersPort}`,
    operatorsUrl: `http://${operatorsHost}:${operatorsPort}`,
    peersAddress,
    events,
    getStatus,
    isReady: () => drain.getStage() === STAGE.Ready,
    async drain() {
      const drained = events.once('drained');
      runDrain('leave');
      await drained;
    },
    stop,
  };
}
