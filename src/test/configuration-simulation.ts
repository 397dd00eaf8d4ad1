/** Simulates, in virtual time, how versions of the configuration spread through a fleet. */
import { createFleetTime } from '../duties/fleet-time.js';
import { createKnowledgeStore } from '../gateway/knowledge-store.js';
import type { KnowledgeStore } from '../gateway/knowledge-store.js';
import { createPeerExchange } from '../gateway/peer-exchange.js';
import type { FeedReader } from '../knowledge/feed.js';
import { computeWatchPace } from '../knowledge/watch-pace.js';
import { listWatchers } from '../knowledge/watch-role.js';
import type { Contact } from '../membership/membership-messages.js';
import { createEndpointLoads } from '../placement/endpoint-loads.js';
import { createInvariants } from '../runtime/invariants.js';
import type { TimerService } from '../runtime/timer-service.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { Ok } from '../utils/result.js';
import { SIMULATED_DECODER } from './knowledge-harness.js';
import { buildContacts } from './simulated-contacts.js';
import { createSimulatedNetwork } from './simulated-network.js';
import type { SimulatedNetwork } from './simulated-network.js';
import { createSimulatedSource } from './simulated-source.js';
import type { SimulatedSource, SourceLink } from './simulated-source.js';

export interface ConfigurationSimulationOptions {
  readonly seed: number;
  readonly instances: number;
  readonly dataCentres: number;
  /** Times at which a new version is stored, relative to the end of the warm-up. */
  readonly changesMs: readonly number[];
  /** Time from the storing of a version at which every instance must have it. */
  readonly inForceMs: number;
  /** Instances that lose the source from the end of the warm-up on, and how. */
  readonly lost: {
    readonly share: number;
    readonly link: SourceLink;
    /** Whether all that watch in normal operation lose it. @default false */
    readonly areWatchers?: boolean;
  };
  /** Longest response time of a peer; most are much faster. */
  readonly peerResponseMaxMs: number;
}

/** An instance that was late with a version. */
export interface LateInstance {
  readonly instance: string;
  readonly atMs: number;
  readonly version: number;
  readonly expectedVersion: number;
  /** Age that the instance itself gives its configuration. */
  readonly ageMs: number;
  /** Whether it could reach the source. */
  readonly isLost: boolean;
}

interface ConfigurationInstance {
  readonly self: Contact;
  readonly store: KnowledgeStore;
}

const SEED_COUNT = 3;
const WARM_UP_MS = 10_000;
const FIRST_VERSION = 1;
const CHECK_PERIOD_MS = 100;
/** Time after the last change for which instances are checked. */
const CHECKED_AFTER_MS = 8000;

/** Feed of a table without rows that never changes. */
const IDLE_FEED: FeedReader = {
  list: () => new Promise<never>(() => {}),
  watch: () => new Promise<never>(() => {}),
  reset: () => undefined,
};

interface Simulation {
  readonly options: ConfigurationSimulationOptions;
  readonly time: VirtualTime;
  readonly network: SimulatedNetwork;
  readonly source: SimulatedSource;
  readonly contacts: readonly Contact[];
}

function createInstance(
  { options, network, source, contacts }: Simulation,
  self: Contact,
  timers: TimerService,
  random: Random,
): ConfigurationInstance {
  const watchPace = computeWatchPace(options.inForceMs);
  const store = createKnowledgeStore({
    timers,
    random,
    log: { write: () => undefined },
    configurationFeed: source.createReader(self.name),
    endpointFeed: IDLE_FEED,
    decoder: SIMULATED_DECODER,
    watchPace,
    onConfiguration: () => undefined,
    onEndpointStarted: () => undefined,
    onEndpointEnded: () => undefined,
    onEndpointsApplied: () => undefined,
    onSuspended: () => undefined,
  });
  const exchange = createPeerExchange({
    self,
    incarnation: 1,
    seeds: contacts.slice(0, SEED_COUNT).map(({ address }) => address),
    timers,
    random,
    invariants: createInvariants(() => undefined),
    log: { write: () => undefined },
    links: network.createLinks(self),
    datagrams: network.createDatagrams(self),
    time: createFleetTime(),
    instances: {
      list: async () => Ok(contacts.map((contact) => ({ ...contact, state: 'live' }))),
      register: async () => Ok(undefined),
    },
    loads: createEndpointLoads(),
    quarantine: { takeReports: () => [], merge: () => undefined },
    shares: { takeReports: () => [] },
    limits: { takeReports: () => [] },
    availability: { takeReports: () => [] },
    knowledge: store,
    watchPace,
    isLeaving: () => false,
  });
  network.add(self.address, exchange, (request) => store.buildResponse(request));
  return { self, store };
}

/** Returns the instances that had an older version than they must have, at each check. */
export async function runConfigurationSimulation(
  options: ConfigurationSimulationOptions,
): Promise<readonly LateInstance[]> {
  const time = createVirtualTime();
  const random = createRandom(options.seed);
  const network = createSimulatedNetwork(time, createRandom(options.seed + 1), {
    callMaxMs: options.peerResponseMaxMs,
  });
  const source = createSimulatedSource(time);
  const contacts = buildContacts(options.instances, options.dataCentres);
  const simulation: Simulation = { options, time, network, source, contacts };
  const timers: TimerService[] = [];
  source.storeVersion(FIRST_VERSION);
  const instances = contacts.map((self, index) => {
    const instanceTimers = time.createTimers(createActor(self.name), 0);
    timers.push(instanceTimers);
    const instanceRandom = createRandom(options.seed * 1000 + index);
    return createInstance(simulation, self, instanceTimers, instanceRandom);
  });
  await time.runUntil(WARM_UP_MS);

  const lost = new Set(
    contacts.filter(() => random.next() < options.lost.share).map(({ name }) => name),
  );
  if (options.lost.areWatchers === true) listWatchers(contacts).forEach((name) => lost.add(name));
  for (const name of lost) source.setLink(name, options.lost.link);
  options.changesMs.forEach((atMs, index) =>
    time.add(undefined, atMs, () => source.storeVersion(FIRST_VERSION + index + 1)),
  );
  const late: LateInstance[] = [];
  const checkInstances = (): void => {
    const atMs = time.getNow() - WARM_UP_MS;
    const expectedVersion =
      FIRST_VERSION + options.changesMs.filter((ms) => atMs - ms > options.inForceMs).length;
    for (const { self, store } of instances) {
      const version = store.getConfiguration()?.version ?? 0;
      if (version < expectedVersion) {
        const ageMs = store.computeAge();
        const isLost = lost.has(self.name);
        late.push({ instance: self.name, atMs, version, expectedVersion, ageMs, isLost });
      }
    }
  };
  const endMs = WARM_UP_MS + Math.max(...options.changesMs) + CHECKED_AFTER_MS;
  while (time.getNow() < endMs) {
    // The checks alternate with the simulation.
    // eslint-disable-next-line no-await-in-loop
    await time.runUntil(time.getNow() + CHECK_PERIOD_MS);
    checkInstances();
  }
  instances.forEach(({ store }) => store.stop());
  timers.forEach((instanceTimers) => instanceTimers.stop());
  return late;
}
