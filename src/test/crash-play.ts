/** Plays requests that end every engine which runs them, beside ordinary calls, through the instances of a fleet. */
import type { CallSink, RoutedCall } from '../calls/call-messages.js';
import type { ContentId } from '../calls/content-id.js';
import { createRouteRanks } from '../routes/route-rank.js';
import type { TimerService } from '../runtime/timer-service.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { createCrashingEngines } from './crashing-engines.js';
import type { CrashingEngines, CulpritSend } from './crashing-engines.js';
import { buildContacts } from './played-contacts.js';
import { createPlayedInstance } from './played-instance.js';
import type { PlayedInstance } from './played-instance.js';
import { createPlayedLeases } from './played-leases.js';
import { createPlayedNetwork } from './played-network.js';
import { buildCall } from './played-routes.js';
import type { PlayedRoute } from './played-routes.js';

/** A request that comes again and again, each time under a new id. */
export interface PlayedRepeat {
  readonly content: ContentId;
  readonly played: PlayedRoute;
  /** Whether engines end under it. */
  readonly isCulprit: boolean;
  /** When it comes, in milliseconds from the first arrival; several at one moment come to several instances. */
  readonly atMs: readonly number[];
}

/** What is played. */
export interface CrashPlayOptions {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  readonly dataCentres: number;
  readonly repeats: readonly PlayedRepeat[];
  /** Ordinary calls. */
  readonly routes: readonly PlayedRoute[];
  /** Engines that end for reasons of their own: when, and which. */
  readonly crashes?: readonly { readonly atMs: number; readonly engine: number }[];
  readonly lengthMs: number;
}

/** What the caller of one call saw. */
export interface SeenCall {
  readonly content: ContentId;
  readonly receivedMs: number;
  end: 'whole' | 'refused' | 'failed' | 'none';
  /** When the caller was told to come back, in milliseconds. */
  retryAfterMs: number | undefined;
}

/** What a play showed. */
export interface CrashPlayRecord {
  readonly calls: readonly SeenCall[];
  readonly sends: readonly CulpritSend[];
  readonly ends: CrashingEngines['ends'];
}

const SLOTS = 64;
const QUEUE_MAX = 64;
/** Time for the fleet to find itself before calls arrive, in milliseconds. */
const SETTLING_MS = 4000;
/** Time after the last arrival in which everything ends, in milliseconds. */
const REST_MS = 10_000;

interface Play {
  readonly options: CrashPlayOptions;
  readonly time: VirtualTime;
  readonly random: Random;
  readonly calls: Map<string, RoutedCall>;
  readonly instances: readonly PlayedInstance[];
  readonly timers: readonly TimerService[];
  readonly pool: CrashingEngines;
  readonly seen: SeenCall[];
}

function createPlay(options: CrashPlayOptions): Play {
  const time = createVirtualTime();
  const random = createRandom(options.seed);
  const calls = new Map<string, RoutedCall>();
  const instances: PlayedInstance[] = [];
  const timers: TimerService[] = [];
  let registered: readonly RegisteredEndpoint[] = [];
  const pool = createCrashingEngines({
    time,
    engines: options.engines,
    slots: SLOTS,
    queueMax: QUEUE_MAX,
    dataCentres: options.dataCentres,
    culprits: new Set(
      options.repeats.filter(({ isCulprit }) => isCulprit).map(({ content }) => content),
    ),
    calls,
    onRegistered(endpoint) {
      registered = [...registered, endpoint];
    },
    onRemoved(endpoint) {
      registered = registered.filter((other) => other !== endpoint);
      for (const { quarantine } of instances) quarantine.recordEnded(endpoint);
    },
  });
  const leases = createPlayedLeases(time);
  const network = createPlayedNetwork(time, createRandom(options.seed + 1));
  const contacts = buildContacts(options.instances, options.dataCentres);
  const standings = createRouteRanks(
    [...options.routes, ...options.repeats.map(({ played }) => played)].map(({ route }) => route),
  );
  contacts.forEach((self, index) => {
    const own = time.createTimers(createActor(self.name), 0);
    timers.push(own);
    const instance = createPlayedInstance({
      self,
      contacts,
      timers: own,
      random: createRandom(options.seed * 1000 + index),
      network,
      listOpen: () => registered,
      standings,
      connections: pool.connections,
      takeTrialLease: leases.take,
      checkConnection: (address) => pool.checkConnection(address),
      onAttempt: () => undefined,
    });
    network.add(self.address, instance.exchange);
    instances.push(instance);
  });
  return { options, time, random, calls, instances, timers, pool, seen: [] };
}

function createSink(result: SeenCall): CallSink {
  const setEnd = (end: SeenCall['end']): void => {
    result.end = end;
  };
  return {
    onHead: () => undefined,
    onEvent: () => undefined,
    onEnd: () => setEnd('whole'),
    onResponse: () => setEnd('failed'),
    onBroken: () => setEnd('failed'),
    onFailure(failure) {
      setEnd(failure.outcome === 'not_run' ? 'refused' : 'failed');
      result.retryAfterMs = failure.retryAfterMs;
    },
  };
}

/** Starts one call at an instance. */
function startCall(
  play: Play,
  instance: number,
  played: PlayedRoute,
  content: ContentId | undefined,
): void {
  const { time, random, calls, instances, seen } = play;
  const callId = `call-${calls.size}`;
  const built = buildCall(played, callId, time.getNow(), random);
  const call: RoutedCall = { ...built, contentId: content ?? callId };
  calls.set(callId, call);
  const result: SeenCall = {
    content: call.contentId,
    receivedMs: time.getNow() - SETTLING_MS,
    end: 'none',
    retryAfterMs: undefined,
  };
  seen.push(result);
  (instances[instance % instances.length] as PlayedInstance).runner.run(call, createSink(result));
}

/** Lets the calls of a route arrive at random. */
function addArrivals(play: Play, played: PlayedRoute): void {
  const { options, time, random, instances } = play;
  const addNext = (): void => {
    if (time.getNow() - SETTLING_MS >= options.lengthMs) return;
    time.add(undefined, (-Math.log(1 - random.next()) * 1000) / played.callsPerSecond, () => {
      startCall(play, random.nextIndex(instances.length), played, undefined);
      addNext();
    });
  };
  addNext();
}

/** Copies of one moment come to instances beside each other. */
function addRepeats(play: Play, { atMs, played, content }: PlayedRepeat): void {
  const { time, random, instances } = play;
  let instance = 0;
  atMs.forEach((ms, index) => {
    if (ms !== atMs[index - 1]) instance = random.nextIndex(instances.length);
    else instance += 1;
    const chosen = instance;
    time.add(undefined, ms, () => startCall(play, chosen, played, content));
  });
}

/** Plays it and returns what callers and engines saw. */
export async function runCrashPlay(options: CrashPlayOptions): Promise<CrashPlayRecord> {
  const play = createPlay(options);
  const { time, pool, timers, seen } = play;
  await time.runUntil(SETTLING_MS);
  for (const played of options.routes) addArrivals(play, played);
  for (const repeat of options.repeats) addRepeats(play, repeat);
  for (const { atMs, engine } of options.crashes ?? []) {
    time.add(undefined, atMs, () => pool.crash(engine));
  }
  await time.runUntil(SETTLING_MS + options.lengthMs + REST_MS);
  timers.forEach((own) => own.stop());
  const { sends, ends } = pool;
  return { calls: seen, sends, ends };
}
