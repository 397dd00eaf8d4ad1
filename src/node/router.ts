/** Starts and stops a router: its core, its HTTP servers and its connections. */
import type { Socket } from 'node:net';
import { create } from '@bufbuild/protobuf';
import Emittery from 'emittery';
import { FetchKnowledgeResponseSchema } from '../gen/peer_pb.js';
import { createConfigurationStore } from '../configuration/store.js';
import { STAGE } from '../lifecycle/drain.js';
import { createOpenResponses } from '../lifecycle/open-responses.js';
import { createPeerOutbox } from '../peers/peer-outbox.js';
import { createInstanceListClient } from '../storage/instance-list-client.js';
import { createObjectClient } from '../storage/object-client.js';
import { createSignedClient } from '../storage/signed-client.js';
import { createTableClient } from '../storage/table-client.js';
import { createPortBinder, PORT_WAIT_MARGIN_MS } from '../runtime/bind-port.js';
import { createSystemClock } from '../runtime/clock.js';
import { createInvariants } from '../runtime/invariants.js';
import { createLogger } from '../runtime/logger.js';
import { createMetrics, METRIC } from '../runtime/metrics.js';
import { createTaskFailures } from '../runtime/task-failures.js';
import { createTimerService } from '../runtime/timer-service.js';
import { FAILURE, HTTP_STATUS_BY_FAILURE } from '../types/outcomes.js';
import type { RouterEvents } from '../types/router-events.js';
import type { RouterStatus } from '../types/router-status.js';
import { parseListen } from '../utils/address.js';
import { hashName } from '../utils/hash.js';
import { createRandom } from '../utils/random.js';
import { buildErrorBody } from './answer-writers.js';
import { createCallerApi } from './caller-api.js';
import { createNotRunFailure } from './check-request.js';
import { createEndpointClient } from './endpoint-client.js';
import { createRouterCore } from './router-core.js';
import type { RouterCore } from './router-core.js';
import { createOperatorApi } from './operator-api.js';
import { HEADER_BYTES_MAX, getPort, openRouterPorts } from './router-ports.js';
import { resolveRouterConfig } from './settings.js';
import type { RouterOptions } from './settings.js';
import type { AdmissionPolicy } from '../admission/policy.js';

/** Longest drain of a predecessor whose ports a start waits for. */
const PREDECESSOR_WAIT_MAX_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
/** Protects against callers that open connections and send nothing. */
const CONNECTIONS_MAX = 10_000;
const TABLE_NAME = 'hyssoptally';
const BUCKET_NAME = 'hyssoptally';

/** Options for benchmarks and tests that cannot be set from the command line. */
export interface RouterInternals {
  readonly policy?: AdmissionPolicy;
  /** Simulated one-way delay to a peer address. */
  readonly getPeerDelayMs?: (address: string) => number;
  /** Ends a start that waits for a port. */
  readonly stop?: AbortSignal;
}

export interface Router {
  readonly name: string;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly peersAddress: string;
  readonly events: Emittery<RouterEvents>;
  getStatus(): RouterStatus;
  isReady(): boolean;
  /** Leaves the fleet; resolves once running requests have ended or the drain timeout has passed. */
  drain(): Promise<void>;
  /** Stops at once and closes open connections, as a crash would. */
  stop(): Promise<void>;
}

/** Responds to input that the HTTP parser rejects, such as oversized headers. */
function handleClientError(error: Error & { code?: string }, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
  const failure = isTooLarge
    ? createNotRunFailure(
        FAILURE.HeadersTooLarge,
        `headers exceed ${HEADER_BYTES_MAX} bytes; send fewer`,
      )
    : createNotRunFailure(FAILURE.BadRequest, 'not a valid HTTP request; correct the client');
  const body = JSON.stringify(buildErrorBody(failure, 'none'));
  const status = HTTP_STATUS_BY_FAILURE[failure.type];
  socket.end(
    `HTTP/1.1 ${status} Refused\r\ncontent-type: application/json\r\nx-hyssoptally-request-id: none\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}

/** Starts a router; throws a `SettingsError` for invalid settings. */
export async function startRouter(
  options: RouterOptions,
  internals: RouterInternals = {},
): Promise<Router> {
  const config = resolveRouterConfig(options);
  const { name, dataCentre } = config;
  const clock = createSystemClock();
  const timers = createTimerService(clock, (error) => recordTaskFailure(error));
  const events = new Emittery<RouterEvents>();
  const logger = createLogger(config.logLevel, { instance: name, dataCentre });
  const metrics = createMetrics(config.statsdHost, config.statsdPort);
  const recordTaskFailure = createTaskFailures({
    getNow: clock.monotonicMs,
    onCount: () => metrics.count(METRIC.TaskFailures),
    onLog: (reason) => logger.error('a task failed; report this', { reason }),
  });
  const ports = await openRouterPorts(
    config,
    createPortBinder({
      timers,
      waitMaxMs: Math.min(config.drainTimeoutMs, PREDECESSOR_WAIT_MAX_MS) + PORT_WAIT_MARGIN_MS,
      stop: internals.stop,
      onWait: (wait) => logger.warn('a port is held; waiting for it', wait),
      onServerError: (role, error) => logger.error('a server failed', { role, error }),
    }),
    { timers, onClientError: handleClientError },
  ).catch((error: unknown) => {
    timers.stop();
    throw error;
  });
  const incarnation = clock.wallMs();
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
    onUnreachable: (address) => core.recordUnreachable(address),
    ...(internals.getPeerDelayMs === undefined ? {} : { getDelayMs: internals.getPeerDelayMs }),
  });
  const endpoints = createEndpointClient();
  let isStopped = false;

  ports.peerServer.start(config.peerSecret, {
    onMessages(from, bodies) {
      if (!isStopped) core.handleMessages(from, bodies);
    },
    onFetchConfiguration: (hashes) => core.buildConfigurationResponse(hashes),
    onQueryAttempt: (attemptId) => core.getAttemptVerdict(attemptId),
    // This router reads no source tables, so it has no rows to share with peers.
    onFetchKnowledge: () => create(FetchKnowledgeResponseSchema),
  });
  const peersAddress = `${parseListen(config.peers).host}:${getPort(ports.peerServer.server)}`;
  const core: RouterCore = createRouterCore({
    self: { name, address: peersAddress, dataCentre },
    incarnation,
    seeds: config.seeds,
    claimWritesPerSecond: config.claimWritesPerSecond,
    drainTimeoutMs: config.drainTimeoutMs,
    countOpenResponses: () => openResponses.count(),
    random,
    timers,
    invariants,
    metrics,
    logger,
    events,
    table,
    store,
    instances,
    endpoints,
    links: outbox,
    onStopAccepting: () => openResponses.closeIdle(),
    onDrained() {
      stop()
        .then(() => events.emit('drained'))
        .catch(() => undefined);
    },
    ...(internals.policy === undefined ? {} : { policy: internals.policy }),
  });

  const callersServer = ports.callers.server;
  const openResponses = createOpenResponses(callersServer, ports.callers.hasUnread);
  ports.callers.start(
    createCallerApi({
      runner: core.runner,
      authenticator: core.authenticator,
      limiter: core.limiter,
      timers,
      maxBodyBytes: config.maxBodyBytes,
      getDeclarations: () => core.getDeclarations(),
      getPeerDemand: () => core.getPeerDemand(),
    }),
  );
  callersServer.headersTimeout = HEADERS_TIMEOUT_MS;
  callersServer.requestTimeout = REQUEST_TIMEOUT_MS;
  callersServer.maxConnections = CONNECTIONS_MAX;
  ports.operators.start(
    createOperatorApi({
      secret: config.operatorSecret,
      isReady: () => core.getStage() === STAGE.Ready,
      getStatus: () => core.getStatus(),
      getMetrics: () => metrics.list(),
      onLeave: () => core.leave(),
    }),
  );
  const callersPort = getPort(callersServer);
  const operatorsPort = getPort(ports.operators.server);

  async function stop(): Promise<void> {
    if (isStopped) return;
    isStopped = true;
    timers.stop();
    outbox.close();
    await ports.close();
    await endpoints.close();
    await tableHttp.close();
    await objectHttp.close();
    metrics.close();
    logger.close();
  }

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
    getStatus: () => core.getStatus(),
    isReady: () => core.getStage() === STAGE.Ready,
    async drain() {
      const drained = events.once('drained');
      core.leave();
      await drained;
    },
    stop,
  };
}
