/**
 * Simulated engines that crash on some requests. A crash breaks running responses, and connections to the
 * address are refused until a new process starts there.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import type { ContentId } from '../calls/content-id.js';
import type { EndpointConnections, ExchangeListener } from '../calls/endpoint-connections.js';
import { CONNECTION_RESULT } from '../quarantine/crash-detector.js';
import type { ConnectionResult } from '../quarantine/crash-detector.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { buildDataCentre } from './simulated-contacts.js';
import { POOL } from './simulated-routes.js';
import { createSimulatedEngine } from './simulated-engine.js';
import type { SimulatedEngine } from './simulated-engine.js';

/** Time from a crash to the removal from the registry. */
const DEREGISTRATION_MS = 2700;
/** Time from a crash to the start of a new process. */
const RESTART_MS = 3300;
/** Time until a refused or broken connection is reported. */
const CONNECTION_ERROR_MS = 1;

export interface CrashingEnginesOptions {
  readonly time: VirtualTime;
  readonly engines: number;
  readonly slots: number;
  readonly queueMax: number;
  readonly dataCentres: number;
  /** Requests that crash an engine at their first token. */
  readonly culprits: ReadonlySet<ContentId>;
  /** Parts of prompts that crash an engine at its first token; not as the last part. */
  readonly culpritParts: ReadonlySet<string>;
  /** Calls by ID, since a request to an engine carries only the ID. */
  readonly calls: ReadonlyMap<string, RoutedCall>;
  readonly onRegistered: (endpoint: RegisteredEndpoint) => void;
  readonly onRemoved: (endpoint: RegisteredEndpoint) => void;
}

export interface CulpritSend {
  readonly content: ContentId;
  /** The part of the prompt that crashes engines; undefined if the whole content does. */
  readonly part: string | undefined;
  readonly atMs: number;
}

export interface EngineCrash {
  readonly content: ContentId | undefined;
  readonly part: string | undefined;
  readonly atMs: number;
}

export interface CrashingEngines {
  readonly connections: EndpointConnections;
  checkConnection(address: string): Promise<ConnectionResult>;
  /** Culprits that reached an engine. */
  readonly sends: readonly CulpritSend[];
  /** Crashes, with the request that caused them; undefined for those started by `crash`. */
  readonly crashes: readonly EngineCrash[];
  /** Crashes an engine without a request as the cause. */
  crash(index: number): void;
}

interface EngineProcess {
  readonly endpoint: RegisteredEndpoint;
  readonly engine: SimulatedEngine;
  /** Listeners of running responses. */
  readonly listeners: Set<ExchangeListener>;
}

/** Creates the engines and registers their first processes. */
export function createCrashingEngines(options: CrashingEnginesOptions): CrashingEngines {
  const { time } = options;
  const processes = new Map<string, EngineProcess>();
  const sends: CulpritSend[] = [];
  const crashes: EngineCrash[] = [];
  let started = 0;

  function startEngine(index: number): void {
    started += 1;
    const id = `engine-${started}`;
    const endpoint: RegisteredEndpoint = {
      id,
      startId: id,
      pool: POOL,
      address: `address-${index}`,
      dataCentre: buildDataCentre(index, options.dataCentres),
      slots: options.slots,
      isLeaving: false,
      isSpot: false,
      softwareVersion: 'v1',
    };
    const engine = createSimulatedEngine(time, options);
    processes.set(endpoint.address, { endpoint, engine, listeners: new Set() });
    options.onRegistered(endpoint);
  }

  function findCulpritPart({ prompt }: RoutedCall): string | undefined {
    const shared = prompt?.parts.slice(0, -1) ?? [];
    return shared.find(({ id }) => options.culpritParts.has(id))?.id;
  }

  function stopEngine(index: number, content?: ContentId, part?: string): void {
    const address = `address-${index}`;
    const engineProcess = processes.get(address);
    if (engineProcess === undefined) return;
    processes.delete(address);
    crashes.push({ content, part, atMs: time.getNow() });
    for (const listener of engineProcess.listeners) {
      time.add(undefined, CONNECTION_ERROR_MS, () => listener.onError(true, 'other side closed'));
    }
    engineProcess.listeners.clear();
    time.add(undefined, DEREGISTRATION_MS, () => options.onRemoved(engineProcess.endpoint));
    time.add(undefined, RESTART_MS, () => startEngine(index));
  }

  function open(address: string, callId: string, listener: ExchangeListener): () => void {
    const call = options.calls.get(callId) as RoutedCall;
    const engineProcess = processes.get(address);
    if (engineProcess === undefined) {
      time.add(undefined, CONNECTION_ERROR_MS, () => listener.onError(false, 'refused'));
      return () => undefined;
    }
    const part = findCulpritPart(call);
    const isCulprit = part !== undefined || options.culprits.has(call.contentId);
    if (isCulprit) sends.push({ content: call.contentId, part, atMs: time.getNow() });
    engineProcess.listeners.add(listener);
    const isOpen = (): boolean => engineProcess.listeners.has(listener);
    const cancel = engineProcess.engine.start(call, {
      ...listener,
      onHead: (status, headers) => isOpen() && listener.onHead(status, headers),
      onData(bytes) {
        if (!isOpen()) return false;
        if (!isCulprit) return listener.onData(bytes);
        stopEngine(Number(address.split('-')[1]), call.contentId, part);
        return false;
      },
      onEnd() {
        if (engineProcess.listeners.delete(listener)) listener.onEnd();
      },
    });
    return () => {
      engineProcess.listeners.delete(listener);
      cancel();
    };
  }

  for (let index = 0; index < options.engines; index += 1) startEngine(index);

  return {
    connections: {
      open: (address, _connectionsMax, { target }, listener) => open(address, target, listener),
      closeIdle: () => undefined,
      countOpened: () => 0,
      close: () => Promise.resolve(),
    },
    checkConnection: (address) =>
      new Promise((resolve) => {
        time.add(undefined, CONNECTION_ERROR_MS, () =>
          resolve(processes.has(address) ? CONNECTION_RESULT.Accepted : CONNECTION_RESULT.Refused),
        );
      }),
    sends,
    crashes,
    crash: (index) => stopEngine(index),
  };
}
