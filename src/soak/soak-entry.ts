/** One router of a randomised run: the real composition of slices on fakes. */
import Emittery from 'emittery';
import { createConfigurationStore } from '../configuration/store.js';
import { createRouterCore } from '../node/router-core.js';
import type { RouterCore } from '../node/router-core.js';
import { createInvariants } from '../runtime/invariants.js';
import { createLogger } from '../runtime/logger.js';
import { createMetrics } from '../runtime/metrics.js';
import type { RouterEvents } from '../types/router-events.js';
import { hashName } from '../utils/hash.js';
import { createRandom } from '../utils/random.js';
import type { FakeEndpoints } from './fake-endpoints.js';
import type { FakeNetwork } from './fake-network.js';
import type { FakePlatform } from './fake-platform.js';
import { createActor } from './virtual-time.js';
import type { Actor, VirtualTime } from './virtual-time.js';

/** What an entry is built on. */
export interface SoakEntryOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly seed: number;
  readonly time: VirtualTime;
  readonly platform: FakePlatform;
  readonly network: FakeNetwork;
  readonly endpoints: FakeEndpoints;
  /** Addresses of all entries, so that a start without the platform finds somebody. */
  readonly seeds: readonly string[];
  readonly onBreach: (text: string) => void;
}

/** A running entry. */
export interface SoakEntry {
  readonly name: string;
  readonly dataCentre: string;
  readonly actor: Actor;
  readonly core: RouterCore;
  isDrained(): boolean;
}

const SKEW_MS = 400;
const CLAIM_WRITES = 100;
/** Long enough for any request, and too short for those that wait. */
const DRAIN_TIMEOUTS_MS = [60_000, 1500];
const logger = createLogger('silent', {});

function chooseDrainTimeout(name: string): number {
  return DRAIN_TIMEOUTS_MS[hashName(name) % DRAIN_TIMEOUTS_MS.length] ?? Infinity;
}

/** Starts an entry at the present moment. */
export function createSoakEntry(options: SoakEntryOptions): SoakEntry {
  const { name, dataCentre, time, network } = options;
  const actor = createActor(name);
  const random = createRandom(hashName(`${options.seed}|${name}|${time.getNow()}`));
  const timers = time.createTimers(actor, (random.next() - 0.5) * SKEW_MS);
  const access = options.platform.createAccess(actor);
  const address = `${name}:1`;
  let isDrained = false;
  const invariants = createInvariants((breach) =>
    options.onBreach(`${name}: ${breach.name}: ${breach.detail}`),
  );
  const core: RouterCore = createRouterCore({
    self: { name, address, dataCentre },
    incarnation: timers.clock.wallMs(),
    seeds: options.seeds.filter((seed) => seed !== address),
    claimWritesPerSecond: CLAIM_WRITES,
    drainTimeoutMs: chooseDrainTimeout(`${options.seed}|${name}`),
    countOpenResponses: () => 0,
    random,
    timers,
    invariants,
    metrics: createMetrics(undefined, 0),
    logger,
    events: new Emittery<RouterEvents>(),
    table: access.table,
    store: createConfigurationStore(access.table, access.objects),
    instances: access.instances,
    endpoints: options.endpoints.createClient(actor, dataCentre),
    links: network.createLinks({ actor, name, dataCentre }, (unreachable) =>
      core.recordUnreachable(unreachable),
    ),
    onStopAccepting: () => undefined,
    onDrained() {
      const left = core.runner.count();
      if (left > 0) options.onBreach(`${name}: left with ${left} requests in flight`);
      isDrained = true;
      actor.isDead = true;
    },
  });
  network.add({
    actor,
    name,
    address,
    dataCentre,
    handleBodies: (from, bodies) => core.handleMessages(from, bodies),
    buildConfigurationResponse: (hashes) => core.buildConfigurationResponse(hashes),
    getAttemptVerdict: (attemptId) => core.getAttemptVerdict(attemptId),
  });
  return { name, dataCentre, actor, core, isDrained: () => isDrained };
}
