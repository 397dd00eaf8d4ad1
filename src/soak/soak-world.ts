/** A randomised run of a few routers on fakes, with seeded faults, that checks their guarantees. */
import { stringify } from 'yaml';
import type { EndpointDeclaration } from '../types/declarations.js';
import { hashText } from '../utils/hash.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { createFakeEndpoints } from './fake-endpoints.js';
import type { FakeEndpoints } from './fake-endpoints.js';
import { createFakeNetwork } from './fake-network.js';
import type { FakeNetwork } from './fake-network.js';
import { createFakePlatform } from './fake-platform.js';
import type { FakePlatform } from './fake-platform.js';
import { startFault } from './faults.js';
import type { Fault } from './faults.js';
import { FLOODING_TEAM, countFloodCalls, hasHardLoad, setSpeeds } from './hard-load.js';
import { createSoakCallers } from './soak-callers.js';
import { createSoakEntry } from './soak-entry.js';
import type { SoakEntry } from './soak-entry.js';
import { createSoakOperators } from './soak-operators.js';
import { createVirtualTime } from './virtual-time.js';
import type { VirtualTime } from './virtual-time.js';

/** Parts of the run that faults act on. */
export interface SoakWorld {
  readonly time: VirtualTime;
  readonly platform: FakePlatform;
  readonly network: FakeNetwork;
  readonly endpoints: FakeEndpoints;
  readonly dataCentres: readonly string[];
  /** Multiplies the arrival rate. */
  setLoad(factor: number): void;
  /** Kills an entry and returns its name. */
  crashEntry(): string;
  /** Drains an entry and returns its name. */
  drainEntry(): string;
  /** Restarts an entry unless one of that name is running. */
  startEntry(name: string): void;
  pauseEntry(): () => void;
  /** Cuts an entry from all endpoints, until the returned function is called. */
  cutEntryFromEndpoints(): () => void;
  /** Makes operators publish concurrently until the returned function is called. */
  startRace(): () => void;
}

export interface SoakRequest {
  readonly seed: number;
  readonly faults: readonly Fault[];
  /** Virtual time of traffic and faults. */
  readonly durationMs: number;
}

export interface SoakResult {
  readonly steps: number;
  readonly sent: number;
  readonly answered: number;
  /** Requests that were sent once more after a refusal. */
  readonly returned: number;
  readonly breaches: readonly string[];
  /** Faults and their ends, in order. */
  readonly story: readonly string[];
}

const DATA_CENTRES = ['one', 'two', 'three'] as const;
const ENTRIES = 4;
const START_MS = 3000;
/** Time after the last fault in which all deadlines, leases and versions settle. */
const SETTLE_MS = 25_000;
const ARRIVAL_MS = 25;
const RACE_PERIOD_MS = 700;
/** Falls of brittle endpoints that are allowed, and those for each endpoint beyond them. */
const FALLS_MAX = 2;
const FALLS_SHARE_MAX = 0.1;
/** Time after the last fault within which a version must be in force everywhere. */
const IN_FORCE_MS = 6000;

const ENGINES: readonly EndpointDeclaration[] = Array.from({ length: 4 }, (_, index) => ({
  name: `engine-${index + 1}`,
  pool: 'language-model',
  url: `http://engine-${index + 1}`,
  dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] as string,
  slots: 3,
}));
const SERVICES: readonly EndpointDeclaration[] = Array.from({ length: 2 }, (_, index) => ({
  name: `service-${index + 1}`,
  pool: 'stores',
  url: `http://service-${index + 1}`,
  dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] as string,
  slots: 4,
}));

function buildPool(kind: string, models: readonly string[], list: readonly EndpointDeclaration[]) {
  const endpoints = Object.fromEntries(
    list.map(({ name, url, dataCentre, slots }) => [name, { url, dataCentre, slots }]),
  );
  return { kind, models, endpoints };
}

function buildBaseFiles(): Map<string, string> {
  const classes = {
    counter: { tier: 0, firstTokenMs: 400, betweenTokensMs: 60, deadlineMs: 3000, floor: 0.1 },
    reorder: { tier: 1, firstTokenMs: 2000, betweenTokensMs: 100, deadlineMs: 8000, floor: 0.1 },
    history: { tier: 2, firstTokenMs: 5000, betweenTokensMs: 200, deadlineMs: 15_000, floor: 0.1 },
  };
  const pools = {
    'language-model': buildPool('engine', ['assistant'], ENGINES),
    stores: buildPool('service', [], SERVICES),
  };
  return new Map([['00-base.yaml', stringify({ classes, pools })]]);
}

function buildOrganisationName(team: string): string {
  return `${team}-organisation`;
}

function buildTeamFile(team: string, revision: number): string {
  const organisation = {
    keys: [`sha256:${hashText(team)}`],
    classes: ['counter', 'reorder', 'history'],
    defaultClass: 'counter',
    pools: ['language-model', 'stores'],
    weight: 1 + (revision % 5),
  };
  return stringify({ organisations: { [buildOrganisationName(team)]: organisation } });
}

/** Runs one seed. */
export async function runSoak(request: SoakRequest): Promise<SoakResult> {
  const random: Random = createRandom(request.seed);
  const time = createVirtualTime();
  const platform = createFakePlatform(time, random);
  const network = createFakeNetwork(time, random);
  const endpoints = createFakeEndpoints(time, random, network, [...ENGINES, ...SERVICES]);
  const story: string[] = [];
  const breaches: string[] = [];
  const onBreach = (text: string): void => {
    breaches.push(`${time.getNow().toFixed(0)} ms: ${text}`);
  };
  const recordStory = (text: string): void => {
    story.push(`${time.getNow().toFixed(0)} ms: ${text}`);
  };
  const operators = createSoakOperators(platform, onBreach);
  const isHard = hasHardLoad(request.seed);
  if (isHard) setSpeeds(endpoints.list);
  const callers = createSoakCallers(
    time,
    random,
    endpoints.log,
    onBreach,
    isHard ? findOpenEntry : undefined,
  );
  const entries = new Map<string, SoakEntry>();
  const names = Array.from({ length: ENTRIES }, (_, index) => `entry-${index + 1}`);
  let load = 1;
  let isSending = true;
  let revision = 0;

  function startEntry(name: string): void {
    const running = entries.get(name);
    if (running !== undefined && !running.actor.isDead) return;
    recordStory(`${name} starts`);
    const entry = createSoakEntry({
      name,
      dataCentre: DATA_CENTRES[names.indexOf(name) % DATA_CENTRES.length] as string,
      seed: request.seed,
      time,
      platform,
      network,
      endpoints,
      seeds: names.map((other) => `${other}:1`),
      onBreach,
    });
    entries.set(name, entry);
  }

  function listRunning(): SoakEntry[] {
    return [...entries.values()].filter((entry) => !entry.actor.isDead);
  }

  function chooseEntry(): SoakEntry {
    const running = listRunning();
    return running[random.nextIndex(running.length)] as SoakEntry;
  }

  function publish(team: string): void {
    revision += 1;
    const files = new Map([...buildBaseFiles(), [`${team}.yaml`, buildTeamFile(team, revision)]]);
    operators.publish(team, revision, files).catch((error: unknown) => onBreach(String(error)));
  }

  const world: SoakWorld = {
    time,
    platform,
    network,
    endpoints,
    dataCentres: DATA_CENTRES,
    setLoad(factor) {
      load = factor;
    },
    crashEntry() {
      const entry = chooseEntry();
      entry.actor.isDead = true;
      recordStory(`${entry.name} crashes`);
      return entry.name;
    },
    drainEntry() {
      const entry = chooseEntry();
      entry.core.leave();
      recordStory(`${entry.name} is told to leave`);
      return entry.name;
    },
    startEntry,
    pauseEntry() {
      const entry = chooseEntry();
      entry.actor.isPaused = true;
      recordStory(`${entry.name} is paused`);
      return () => {
        recordStory(`${entry.name} wakes`);
        time.resume(entry.actor);
      };
    },
    cutEntryFromEndpoints() {
      const { name } = chooseEntry();
      network.troubles.withoutEndpoints.add(name);
      recordStory(`${name} is cut from all endpoints`);
      return () => network.troubles.withoutEndpoints.delete(name);
    },
    startRace() {
      let isRacing = true;
      function runRace(): void {
        if (!isRacing) return;
        publish('team-a');
        publish('team-b');
        time.add(undefined, RACE_PERIOD_MS, runRace);
      }
      runRace();
      return () => {
        isRacing = false;
      };
    },
  };

  function addFault(fault: Fault): void {
    const startsMs = START_MS + random.next() * request.durationMs * 0.4;
    const lastsMs = request.durationMs * (0.1 + random.next() * 0.4);
    time.add(undefined, startsMs, () => {
      recordStory(`${fault} begins`);
      const stop = startFault(fault, world, random);
      time.add(undefined, lastsMs, () => {
        recordStory(`${fault} ends`);
        stop();
      });
    });
  }

  function findOpenEntry(): SoakEntry | undefined {
    const open = listRunning().filter(
      (entry) => entry.core.getStage() === 'ready' && !entry.actor.isPaused,
    );
    return open[random.nextIndex(open.length)];
  }

  function sendFlood(): void {
    const count = countFloodCalls(time.getNow() - START_MS, request.durationMs);
    for (let index = 0; index < count; index += 1) {
      const entry = findOpenEntry();
      if (entry !== undefined) callers.send(entry, buildOrganisationName(FLOODING_TEAM));
    }
  }

  function sendNext(): void {
    if (!isSending) return;
    const entry = findOpenEntry();
    if (entry !== undefined) callers.send(entry);
    if (isHard) sendFlood();
    time.add(undefined, (random.next() * 2 * ARRIVAL_MS) / load, sendNext);
  }

  function checkSettled(): void {
    const highest = operators.getHighest();
    for (const entry of listRunning()) {
      const status = entry.core.getStatus();
      if (status.configurationVersion < highest) {
        onBreach(`${entry.name} has version ${status.configurationVersion}, not ${highest}`);
      }
      if (status.requestsInFlight > 0) {
        onBreach(`${entry.name} still has ${status.requestsInFlight} requests`);
      }
    }
  }

  const teams = ['team-a', ...(isHard ? [FLOODING_TEAM] : [])];
  const first = new Map([
    ...buildBaseFiles(),
    ...teams.map((team) => [`${team}.yaml`, buildTeamFile(team, 0)] as const),
  ]);
  operators.publish('team-a', 0, first).catch((error: unknown) => onBreach(String(error)));
  for (const name of names) startEntry(name);
  for (const fault of request.faults) addFault(fault);
  time.add(undefined, START_MS, sendNext);
  const faultsEndMs = START_MS + request.durationMs;
  let steps = await time.runUntil(faultsEndMs);
  isSending = false;
  steps += await time.runUntil(faultsEndMs + IN_FORCE_MS);
  const versions = listRunning().map((entry) => entry.core.getStatus().configurationVersion);
  if (versions.some((version) => version < operators.getHighest())) {
    onBreach(`versions ${versions.join(', ')} six seconds after the last fault`);
  }
  steps += await time.runUntil(faultsEndMs + SETTLE_MS);
  checkSettled();
  const falls = endpoints.list.reduce((sum, endpoint) => sum + endpoint.falls, 0);
  const fallsMax = FALLS_MAX + endpoints.list.length * FALLS_SHARE_MAX;
  if (falls > fallsMax) onBreach(`brittle endpoints fell ${falls} times`);
  breaches.push(...callers.listBreaches(), ...endpoints.log.breaches);
  return {
    steps,
    sent: callers.countSent(),
    answered: callers.countAnswered(),
    returned: callers.countReturned(),
    breaches,
    story,
  };
}
