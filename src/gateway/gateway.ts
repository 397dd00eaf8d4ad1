/**
 * Composes a router of declared routes: knowledge from feeds, the endpoint directory, the calls
 * under way and the lifecycle. It has no servers; those and the speech of a deployment's interfaces
 * come from outside.
 */
import type { RetryBounds } from '../attempts/shared-retry-budget.js';
import type { CallSink, RoutedCall } from '../calls/call-messages.js';
import { createCallRunner } from '../calls/call-runner.js';
import type {
  CallObserver,
  CallRunner,
  EndpointProtocol,
  RunningCall,
} from '../calls/call-runner.js';
import type { EndpointConnections } from '../calls/endpoint-connections.js';
import { createEndpointDirectory } from '../directory/endpoint-directory.js';
import type { DirectoryMessage } from '../directory/endpoint-directory.js';
import { createConfigurationKnowledge } from '../knowledge/configuration-knowledge.js';
import type { FeedReader, FeedRow } from '../knowledge/feed.js';
import { startFeedWatcher } from '../knowledge/feed-watcher.js';
import type { AnswerTimes } from '../knowledge/feed-watcher.js';
import { createSourceClock } from '../knowledge/source-clock.js';
import { createSuspensionDetector } from '../knowledge/suspension-detector.js';
import { createDrain, STAGE } from '../lifecycle/drain.js';
import type { DrainCommand } from '../lifecycle/drain.js';
import { createEndpointLoads } from '../placement/endpoint-loads.js';
import { createRouteTable } from '../routes/route-table.js';
import type { RouteTable } from '../routes/route-table.js';
import type { Logger } from '../runtime/logger.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import type { Result } from '../utils/result.js';
import { createNotReady, resolveCall } from './admit-call.js';
import type { CallerRequest } from './admit-call.js';

const TICK_MS = 100;
/** A call that waits for a change of the configuration returns after this long, in milliseconds, and so confirms that there is none. */
const CONFIGURATION_WAIT_MS = 1500;
/** The same for endpoints; nothing depends on how old that knowledge is, and a doubt about the source restarts it. */
const ENDPOINTS_WAIT_MS = 10_000;
/** Keys are trusted until this long, in milliseconds, before knowledge of them would be too old. */
const KEY_MARGIN_MS = 500;
/** Part of the allowed age of keys at which an instance stops being ready, so that callers come elsewhere before it must refuse them. */
const READY_AGE_SHARE = 0.6;
/** Knowledge older than this, in milliseconds, cannot say that a route or key does not exist: a confirmation is due every wait. */
const RECENT_MS = CONFIGURATION_WAIT_MS + 1000;

/** Reads rows of the source; undefined where a row says nothing the product understands. */
export interface RowDecoder {
  decodeConfiguration(row: FeedRow): TrafficConfiguration | undefined;
  decodeEndpoint(row: FeedRow): RegisteredEndpoint | undefined;
}

/** What a gateway is built on. */
export interface GatewayOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly configurationFeed: FeedReader;
  readonly endpointFeed: FeedReader;
  readonly decoder: RowDecoder;
  readonly connections: EndpointConnections;
  readonly protocol: EndpointProtocol;
  readonly observer: CallObserver;
  readonly retryBounds: RetryBounds;
  /** How old knowledge of keys may be when a call is sent, in milliseconds. */
  readonly keyAgeMaxMs: number;
  /** Longest wait for calls in flight when leaving, in milliseconds. */
  readonly drainTimeoutMs: number;
  readonly countInstances: () => number;
  readonly onConfiguration: (configuration: TrafficConfiguration) => void;
  readonly onStopAccepting: () => void;
  readonly onDrained: () => void;
}

/** A running gateway. */
export interface Gateway {
  resolve(request: CallerRequest): Result<RoutedCall, RequestFailure>;
  run(call: RoutedCall, sink: CallSink): RunningCall;
  isReady(): boolean;
  isLeaving(): boolean;
  leave(): void;
  getConfiguration(): TrafficConfiguration | undefined;
  stop(): void;
}

/** Builds a gateway; it starts following its feeds at once. */
export function createGateway(options: GatewayOptions): Gateway {
  const { timers, logger, decoder } = options;
  const knowledge = createConfigurationKnowledge<TrafficConfiguration>();
  const sourceClock = createSourceClock();
  const suspension = createSuspensionDetector(timers.clock);
  const directory = createEndpointDirectory();
  const loads = createEndpointLoads();
  const drain = createDrain(options.drainTimeoutMs);
  let table: RouteTable | undefined;
  let trustedSinceMs = -Infinity;
  let isSourceLost = false;
  const getNow = (): number => timers.clock.monotonicMs();

  /** Distrusts what is known after a suspension: how long it lasted this process cannot know. */
  function checkSuspension(): void {
    if (!suspension.checkSuspended()) return;
    trustedSinceMs = getNow();
    sourceClock.reset();
    knowledge.removeConfirmations();
    logger.warn('clocks parted; knowledge is confirmed anew', { configuration: table?.version });
    configurationWatcher.restart();
    endpointWatcher.restart();
  }

  function computeAge(): number {
    checkSuspension();
    return knowledge.computeAge(getNow());
  }

  function areKeysValid(): boolean {
    return computeAge() <= options.keyAgeMaxMs - KEY_MARGIN_MS;
  }

  function applyDirectory(message: DirectoryMessage): void {
    for (const change of directory.handle(message, getNow())) {
      if (change.change === 'removed') loads.remove(change.id);
      logger.info('endpoint changed', change);
    }
  }

  function handleSourceLost(feed: string, reason: string): void {
    if (!isSourceLost) {
      logger.warn('source lost', { feed, reason, ageMs: Math.round(computeAge()) });
      isSourceLost = true;
      applyDirectory({ kind: 'source_lost' });
      // One silent connection is reason to doubt the other.
      if (feed === 'configuration') endpointWatcher.restart();
    }
  }

  function handleSourceAnswer(feed: string): void {
    if (!isSourceLost) return;
    isSourceLost = false;
    logger.info('source back', { feed });
    applyDirectory({ kind: 'source_back' });
  }

  function applyConfiguration(configuration: TrafficConfiguration): void {
    const { version } = configuration;
    table = createRouteTable(configuration);
    logger.info('configuration applied', { version, routes: configuration.routes.length });
    drain.handle({ kind: 'configured' }, getNow());
    options.onConfiguration(configuration);
  }

  function handleConfigurationRows(rows: readonly FeedRow[], times: AnswerTimes): void {
    handleSourceAnswer('configuration');
    // An answer asked for before a suspension says nothing of the time since.
    if (times.sentMs < trustedSinceMs) return;
    const knownAtMs = sourceClock.record(times);
    const configurations = rows
      .map((row) => decoder.decodeConfiguration(row))
      .filter((configuration) => configuration !== undefined);
    for (const configuration of configurations) {
      const { version } = configuration;
      const outcome = knowledge.record({ version, configuration, knownAtMs });
      if (outcome === 'applied') applyConfiguration(configuration);
      else if (outcome === 'stale') logger.warn('older configuration ignored', { version });
    }
    if (configurations.length === 0 && knowledge.getVersion() > 0) {
      knowledge.record({ version: knowledge.getVersion(), configuration: undefined, knownAtMs });
    }
  }

  function listEndpoints(rows: readonly FeedRow[]): RegisteredEndpoint[] {
    return rows
      .map((row) => decoder.decodeEndpoint(row))
      .filter((endpoint) => endpoint !== undefined);
  }

  function handleEndpointRows(rows: readonly FeedRow[]): void {
    handleSourceAnswer('endpoints');
    for (const row of rows) {
      const endpoint = decoder.decodeEndpoint(row);
      if (endpoint !== undefined) applyDirectory({ kind: 'registered', endpoint });
      else if (row.value === undefined) applyDirectory({ kind: 'removed', id: row.key });
    }
  }

  const configurationWatcher = startFeedWatcher({
    reader: options.configurationFeed,
    timers,
    random: options.random,
    waitMs: CONFIGURATION_WAIT_MS,
    listener: {
      onListed: handleConfigurationRows,
      onChanged: handleConfigurationRows,
      onLost: (reason) => handleSourceLost('configuration', reason),
    },
  });
  const endpointWatcher = startFeedWatcher({
    reader: options.endpointFeed,
    timers,
    random: options.random,
    waitMs: ENDPOINTS_WAIT_MS,
    listener: {
      onListed(rows) {
        handleSourceAnswer('endpoints');
        applyDirectory({ kind: 'listed', endpoints: listEndpoints(rows) });
      },
      onChanged: handleEndpointRows,
      onLost: (reason) => handleSourceLost('endpoints', reason),
    },
  });

  const runner: CallRunner = createCallRunner({
    connections: options.connections,
    protocol: options.protocol,
    loads,
    retryBounds: options.retryBounds,
    timers,
    random: options.random,
    observer: options.observer,
    listOpen: (pool) => directory.listOpen(pool),
    findPool: (name) => table?.findPool(name),
    countInstances: options.countInstances,
    checkSendable(call) {
      // Checked right before each send: a call that waited may have outlived its key.
      if (!call.isKeyed || areKeysValid()) return undefined;
      return createNotReady('this instance cannot tell whether the key is still valid');
    },
  });

  function runDrainCommand(command: DrainCommand): void {
    switch (command) {
      case 'announce_leaving':
        logger.info('leaving; calls in flight go on', { inFlight: runner.count() });
        break;
      case 'stop_accepting':
        options.onStopAccepting();
        break;
      case 'announce_left':
        break;
      case 'stop':
        options.onDrained();
        break;
      default:
        assertNever(command);
    }
  }

  function runDrain(message: Parameters<typeof drain.handle>[0]): void {
    for (const command of drain.handle(message, getNow())) runDrainCommand(command);
  }

  timers.subscribe(TICK_MS, () => {
    applyDirectory({ kind: 'tick' });
    runDrain({ kind: 'tick', inFlight: runner.count() });
  });

  return {
    resolve(request) {
      const ageMs = computeAge();
      return resolveCall(request, {
        table,
        isRecent: ageMs <= RECENT_MS,
        areKeysValid: ageMs <= options.keyAgeMaxMs - KEY_MARGIN_MS,
      });
    },
    run: (call, sink) => runner.run(call, sink),
    isReady: () =>
      drain.getStage() === STAGE.Ready && computeAge() <= options.keyAgeMaxMs * READY_AGE_SHARE,
    isLeaving: () => drain.getStage() === STAGE.Leaving || drain.getStage() === STAGE.Drained,
    leave: () => runDrain({ kind: 'leave' }),
    getConfiguration: () => knowledge.get(),
    stop() {
      configurationWatcher.stop();
      endpointWatcher.stop();
    },
  };
}
