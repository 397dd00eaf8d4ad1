/**
 * The engines of a simulated fleet: their speeds, the times at which they run, and when each instance
 * hears of it. An engine that returns is a new start with an empty cache at another address.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import type { EndpointConnections, ExchangeListener } from '../calls/endpoint-connections.js';
import { CONNECTION_RESULT } from '../quarantine/crash-detector.js';
import type { ConnectionResult } from '../quarantine/crash-detector.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { EngineSpeed } from './engine-speed.js';
import { buildDataCentre } from './simulated-contacts.js';
import { createSimulatedEngine } from './simulated-engine.js';
import type { SimulatedEngine } from './simulated-engine.js';
import { POOL } from './simulated-routes.js';

/** One run of an engine, relative to the start of arrivals. */
export interface EngineRun {
  /** Index of the engine. */
  readonly engine: number;
  /** @default before the first arrival */
  readonly fromMs?: number;
  /** @default after the last call */
  readonly toMs?: number;
}

export interface EngineFleetOptions {
  readonly engines: number;
  readonly slots: number;
  readonly queueMax: number;
  readonly dataCentres?: number;
  /**
   * Speeds that the engines have by turns.
   * @default all alike
   */
  readonly speeds?: readonly EngineSpeed[];
  /**
   * Runs of the engines that do not run all the time, in order.
   * @default all run all the time
   */
  readonly runs?: readonly EngineRun[];
  /**
   * Time until the last instance hears of a start or an end; the first one hears of it after half.
   * @default 0
   */
  readonly registryDelayMs?: number;
}

export interface SimulatedEngines {
  readonly connections: EndpointConnections;
  checkConnection(address: string): Promise<ConnectionResult>;
  /** Endpoints in the registry of an instance; `delayShare` is 0 for the first that hears, 1 for the last. */
  listRegistered(delayShare: number): readonly RegisteredEndpoint[];
  /** Running and queued calls at an address. */
  count(address: string): number;
  /** Whether all slots at an address are taken while another engine has one free. */
  isCrowded(address: string): boolean;
  countRejected(): number;
}

export interface SimulatedEnginesInput {
  readonly options: EngineFleetOptions;
  readonly time: VirtualTime;
  readonly arrivalsStartMs: number;
  /** Calls by ID, since a request to an engine carries only the ID. */
  readonly calls: ReadonlyMap<string, RoutedCall>;
}

interface EngineProcess {
  readonly endpoint: RegisteredEndpoint;
  readonly engine: SimulatedEngine;
  readonly fromMs: number;
  readonly toMs: number;
  /** Listeners of running responses. */
  readonly listeners: Set<ExchangeListener>;
}

/** Time until a refused or broken connection is reported. */
const CONNECTION_ERROR_MS = 1;

function buildEndpoint(
  { slots, dataCentres = 1 }: EngineFleetOptions,
  engine: number,
  start: number,
): RegisteredEndpoint {
  const id = `engine-${engine + 1}`;
  const startId = start === 0 ? id : `${id}-start-${start + 1}`;
  return {
    id,
    startId,
    pool: POOL,
    address: startId,
    dataCentre: buildDataCentre(engine, dataCentres),
    slots,
    isLeaving: false,
    isSpot: false,
    softwareVersion: 'v1',
  };
}

/** Gives each engine that changes its speed a pattern of its own. */
function resolveSpeed({ speeds = [] }: EngineFleetOptions, engine: number): EngineSpeed {
  const speed = speeds[engine % speeds.length] ?? {};
  if (speed.changes === undefined) return speed;
  return { ...speed, changes: { ...speed.changes, seed: speed.changes.seed + engine } };
}

export function createSimulatedEngines(input: SimulatedEnginesInput): SimulatedEngines {
  const { options, time, arrivalsStartMs, calls } = input;
  const { slots, queueMax, runs = [], registryDelayMs = 0 } = options;

  function createProcess(run: EngineRun, start: number): EngineProcess {
    const { engine, fromMs = -Infinity, toMs = Infinity } = run;
    return {
      endpoint: buildEndpoint(options, engine, start),
      engine: createSimulatedEngine(time, {
        slots,
        queueMax,
        speed: resolveSpeed(options, engine),
      }),
      fromMs: arrivalsStartMs + fromMs,
      toMs: arrivalsStartMs + toMs,
      listeners: new Set(),
    };
  }

  const processes = Array.from({ length: options.engines }, (_, engine) => {
    const ofEngine = runs.filter((run) => run.engine === engine);
    return (ofEngine.length === 0 ? [{ engine }] : ofEngine).map(createProcess);
  }).flat();
  const byAddress = new Map(processes.map((process) => [process.endpoint.address, process]));
  const isConstant = processes.every(
    ({ fromMs, toMs }) => fromMs === -Infinity && toMs === Infinity,
  );
  const allEndpoints = processes.map(({ endpoint }) => endpoint);

  function closeResponses({ listeners }: EngineProcess): void {
    for (const listener of listeners) {
      time.add(undefined, CONNECTION_ERROR_MS, () => listener.onError(true, 'other side closed'));
    }
    listeners.clear();
  }

  for (const process of processes) {
    if (process.toMs !== Infinity) {
      time.add(undefined, process.toMs - time.getNow(), () => closeResponses(process));
    }
  }

  function findRunning(address: string): EngineProcess | undefined {
    const process = byAddress.get(address);
    if (process === undefined) return undefined;
    const nowMs = time.getNow();
    return nowMs >= process.fromMs && nowMs < process.toMs ? process : undefined;
  }

  function open(address: string, callId: string, listener: ExchangeListener): () => void {
    const call = calls.get(callId) as RoutedCall;
    const process = findRunning(address);
    if (process === undefined) {
      time.add(undefined, CONNECTION_ERROR_MS, () => listener.onError(false, 'refused', true));
      return () => undefined;
    }
    const { engine, listeners } = process;
    if (process.toMs === Infinity) return engine.start(call, listener);
    listeners.add(listener);
    const cancel = engine.start(call, {
      ...listener,
      onHead: (status, headers) => listeners.has(listener) && listener.onHead(status, headers),
      onData: (bytes) => listeners.has(listener) && listener.onData(bytes),
      onEnd() {
        if (listeners.delete(listener)) listener.onEnd();
      },
    });
    return () => {
      listeners.delete(listener);
      cancel();
    };
  }

  return {
    connections: {
      open: (address, _connectionsMax, { target }, listener) => open(address, target, listener),
      closeIdle: () => undefined,
      countOpened: () => 0,
      close: () => Promise.resolve(),
    },
    checkConnection: (address) =>
      Promise.resolve(
        findRunning(address) === undefined ? CONNECTION_RESULT.Refused : CONNECTION_RESULT.Accepted,
      ),
    listRegistered(delayShare) {
      if (isConstant) return allEndpoints;
      const heardMs = time.getNow() - (registryDelayMs * (1 + delayShare)) / 2;
      return processes
        .filter(({ fromMs, toMs }) => heardMs >= fromMs && heardMs < toMs)
        .map(({ endpoint }) => endpoint);
    },
    count: (address) => findRunning(address)?.engine.count() ?? 0,
    isCrowded(address) {
      const hasFreeSlot = processes.some(
        (process) =>
          findRunning(process.endpoint.address) !== undefined && process.engine.count() < slots,
      );
      return hasFreeSlot && (findRunning(address)?.engine.count() ?? 0) >= slots;
    },
    countRejected: () => processes.reduce((sum, { engine }) => sum + engine.countRejected(), 0),
  };
}
