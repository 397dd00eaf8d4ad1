/** Connects a gateway to the duties that one instance performs for the whole fleet. */
import type { RoutedCall } from '../calls/call-messages.js';
import type { EndpointDirectory } from '../directory/endpoint-directory.js';
import type { DutyCalls } from '../duties/duty-calls.js';
import type { DutyObserver } from '../duties/duty-observer.js';
import type { DutyStore } from '../duties/duty-store.js';
import { createFleetDuties } from '../duties/fleet-duties.js';
import type { FleetDuties } from '../duties/fleet-duties.js';
import type { PoolLoad } from '../duties/pool-scaler.js';
import type { RunningCount } from '../duties/pool-sizing.js';
import type { FleetTime } from '../duties/fleet-time.js';
import { createUsageMeter } from '../duties/usage-meter.js';
import type { UsageUpdate } from '../duties/usage-meter.js';
import type { FeedReader } from '../knowledge/feed.js';
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import type { TimerService } from '../runtime/timer-service.js';
import type {
  RegisteredEndpoint,
  ScalingLimits,
  TrafficConfiguration,
  TrafficPool,
} from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import type { PeerExchange } from './peer-exchange.js';

const TICK_MS = 100;

/** Duties of a deployment. */
export interface DutyOptions {
  /** Duration of the lease under which one instance holds the duties. */
  readonly leaseMs: number;
  /** Whether the fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Length of a usage window and time after its end at which its report is due; undefined if usage is not reported. */
  readonly usage: { readonly windowMs: number; readonly dueMs: number } | undefined;
  readonly isScalingEnabled: boolean;
  readonly store: DutyStore;
  readonly calls: DutyCalls;
  readonly observer: DutyObserver;
}

export interface GatewayDutiesOptions {
  readonly duties: DutyOptions;
  readonly self: string;
  readonly incarnation: number;
  readonly timers: TimerService;
  readonly random: Random;
  readonly time: FleetTime;
  readonly loads: EndpointLoads;
  readonly directory: Pick<EndpointDirectory, 'listAll'>;
  /** Whether an endpoint said that it is leaving, which the registry may not show yet. */
  readonly isLeavingEndpoint: (startId: string) => boolean;
  /** Whether an endpoint takes requests now. */
  readonly isAvailable: (endpoint: RegisteredEndpoint) => boolean;
  /** Whether an endpoint takes only a limited rate of requests. */
  readonly isLimited: (startId: string) => boolean;
  readonly peers: Pick<
    PeerExchange,
    'isDutyCandidate' | 'listDutyCandidates' | 'sendUsage' | 'countInstances'
  >;
  readonly getConfiguration: () => TrafficConfiguration | undefined;
  readonly getKnowledgeAge: () => number;
  readonly isLeaving: () => boolean;
}

export interface GatewayDuties extends FleetDuties {
  /** Records that an endpoint started a call. */
  recordStarted(call: RoutedCall, startedMs: number): void;
  handleUsage(usage: UsageUpdate): void;
}

/** Wraps a feed and records the source's clock from every answer. */
export function createTimedFeed(
  feed: FeedReader,
  time: FleetTime,
  getNow: () => number,
): FeedReader {
  function recordTime(answer: Awaited<ReturnType<FeedReader['list']>>): typeof answer {
    if (answer.kind === 'rows') time.recordSourceTime(answer.sourceNowMs, getNow());
    return answer;
  }
  return {
    list: async () => recordTime(await feed.list()),
    watch: async (revision, waitMs) => recordTime(await feed.watch(revision, waitMs)),
    reset: () => feed.reset(),
  };
}

export function createGatewayDuties(options: GatewayDutiesOptions): GatewayDuties {
  const { duties, timers, time, loads, directory, peers } = options;
  const getNow = (): number => timers.clock.monotonicMs();
  const meter = createUsageMeter({
    source: { instance: options.self, incarnation: options.incarnation },
    windowMs: duties.usage?.windowMs ?? Infinity,
    time,
    countInstances: () => peers.countInstances(),
  });

  /** Endpoints of a pool that stay. */
  function listStaying(pool: string): RegisteredEndpoint[] {
    return directory
      .listAll()
      .filter(
        (endpoint) =>
          endpoint.pool === pool &&
          !endpoint.isLeaving &&
          !options.isLeavingEndpoint(endpoint.startId),
      );
  }

  function listRunning(pool: string, scaling: ScalingLimits): RunningCount[] {
    const endpoints = directory.listAll().filter((endpoint) => endpoint.pool === pool);
    const countsByDataCentre = new Map<string, { onDemand: number; spot: number }>();
    const names = [...scaling.dataCentres, ...endpoints.map(({ dataCentre }) => dataCentre)];
    for (const name of names) countsByDataCentre.set(name, { onDemand: 0, spot: 0 });
    for (const { dataCentre, isSpot } of listStaying(pool)) {
      const counts = countsByDataCentre.get(dataCentre);
      if (counts !== undefined) counts[isSpot ? 'spot' : 'onDemand'] += 1;
    }
    return [...countsByDataCentre].map(([dataCentre, counts]) => ({ dataCentre, ...counts }));
  }

  /** Estimates the queueing time of a prompt, with the unread tokens spread evenly over the engines. */
  function computeBacklogMs(pool: string): number {
    const staying = listStaying(pool);
    const open = staying.filter(
      (endpoint) => options.isAvailable(endpoint) && !options.isLimited(endpoint.startId),
    );
    // Where none takes requests now, the prompts under way still wait at these.
    const openEndpoints = open.length > 0 ? open : staying;
    const msPerToken = loads.getPoolTiming(pool).prefillSpeed?.msPerToken ?? 0;
    const unread = openEndpoints.reduce(
      (sum, { startId }) => sum + loads.get(startId).unreadTokens,
      0,
    );
    return openEndpoints.length === 0 ? 0 : (unread * msPerToken) / openEndpoints.length;
  }

  function computeTargetMs(pool: string): number {
    const routes = options.getConfiguration()?.routes ?? [];
    const poolRoutes = routes.filter(({ pools }) =>
      pools.some((weighted) => weighted.pool === pool),
    );
    return Math.min(...poolRoutes.map(({ targetMs }) => targetMs));
  }

  function buildPoolLoad({ name, scaling }: TrafficPool): PoolLoad[] {
    if (scaling === undefined) return [];
    return [
      {
        pool: name,
        scaling,
        running: listRunning(name, scaling),
        backlogMs: computeBacklogMs(name),
        targetMs: computeTargetMs(name),
      },
    ];
  }

  const fleetDuties = createFleetDuties({
    self: options.self,
    timers,
    random: options.random,
    store: duties.store,
    calls: duties.calls,
    observer: duties.observer,
    time,
    meter,
    leaseMs: duties.leaseMs,
    isFirstStart: duties.isFirstStart,
    usage: duties.usage,
    isScalingEnabled: duties.isScalingEnabled,
    isCandidate: () => peers.isDutyCandidate(),
    isLeaving: options.isLeaving,
    listPools: () => (options.getConfiguration()?.pools ?? []).flatMap(buildPoolLoad),
    getKnowledgeAge: options.getKnowledgeAge,
  });

  let knownCandidates: ReadonlySet<string> = new Set();

  /** Makes the meter send all counts again when a new duty candidate appears. */
  function updateCandidates(): void {
    const names = peers.listDutyCandidates();
    if (names.some((name) => !knownCandidates.has(name))) meter.postAll();
    knownCandidates = new Set(names);
  }

  timers.subscribe(TICK_MS, () => {
    updateCandidates();
    const usage = meter.advance(getNow());
    if (usage === undefined) return;
    peers.sendUsage(usage);
    if (peers.isDutyCandidate()) meter.merge(usage, getNow());
  });

  return {
    ...fleetDuties,
    recordStarted({ organisation }, startedMs) {
      if (organisation !== undefined && duties.usage !== undefined) {
        meter.record(organisation, startedMs);
      }
    },
    handleUsage: (usage) => meter.merge(usage, getNow()),
  };
}
