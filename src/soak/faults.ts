/** Faults of randomised runs; each starts at a random time and ends again. */
import type { Random } from '../utils/random.js';
import type { FakeEndpoint } from './fake-endpoint.js';
import type { SoakWorld } from './soak-world.js';

export const FAULT = {
  Burst: 'burst',
  PlatformDown: 'platform_down',
  PlatformSlow: 'platform_slow',
  LostAnswers: 'lost_answers',
  LateWrites: 'late_writes',
  EngineCrash: 'engine_crash',
  EngineSilent: 'engine_silent',
  Straggler: 'straggler',
  EndpointLeaving: 'endpoint_leaving',
  EndpointSaysLeaving: 'endpoint_says_leaving',
  EndpointRests: 'endpoint_rests',
  PoolRests: 'pool_rests',
  EndpointLimited: 'endpoint_limited',
  CrashingRequests: 'crashing_requests',
  BadFrames: 'bad_frames',
  ServiceLosesAnswers: 'service_loses_answers',
  EntryCrash: 'entry_crash',
  EntryPaused: 'entry_paused',
  EntryDrains: 'entry_drains',
  Cut: 'cut',
  CutOneWay: 'cut_one_way',
  MessageLoss: 'message_loss',
  OperatorsRace: 'operators_race',
  EntryWithoutEndpoints: 'entry_without_endpoints',
  BrittleEndpoints: 'brittle_endpoints',
} as const;
export type Fault = (typeof FAULT)[keyof typeof FAULT];

export const FAULTS: readonly Fault[] = Object.values(FAULT);

/** Ends a fault. */
type StopFault = () => void;

const LOST_SHARE = 0.4;
const LATE_SHARE = 0.3;
const SLOW_MS = 2500;
const STRAGGLER_SLOWDOWN = 10;
const BAD_FRAMES_SHARE = 0.1;
const LOSS_SHARE = 0.2;
const BURST_FACTOR = 6;
const REST_MS = 4000;
/** Requests a second; the rest between two is long enough to be checked. */
const RATE_LIMIT = 0.8;
const CRASH_SHARE = 0.02;

function chooseEndpoint(world: SoakWorld, random: Random): FakeEndpoint {
  const { list } = world.endpoints;
  return list[random.nextIndex(list.length)] as FakeEndpoint;
}

function startPlatformFault(
  world: SoakWorld,
  troubles: Partial<SoakWorld['platform']['troubles']>,
): StopFault {
  const before = { ...world.platform.troubles };
  Object.assign(world.platform.troubles, troubles);
  return () => {
    for (const key of Object.keys(troubles)) {
      Object.assign(world.platform.troubles, { [key]: before[key as keyof typeof before] });
    }
  };
}

function startEndpointFault(
  world: SoakWorld,
  random: Random,
  troubles: Partial<FakeEndpoint>,
): StopFault {
  const endpoint = chooseEndpoint(world, random);
  const before = { ...endpoint };
  Object.assign(endpoint, troubles);
  return () => {
    for (const key of Object.keys(troubles)) {
      Object.assign(endpoint, { [key]: before[key as keyof FakeEndpoint] });
    }
  };
}

/** Starts a fault of all endpoints. */
function startFleetFault({ endpoints }: SoakWorld, troubles: Partial<FakeEndpoint>): StopFault {
  const before = endpoints.list.map((endpoint) => ({ ...endpoint }));
  for (const endpoint of endpoints.list) Object.assign(endpoint, troubles);
  return () => {
    endpoints.list.forEach((endpoint, index) => {
      for (const key of Object.keys(troubles))
        Object.assign(endpoint, { [key]: before[index]?.[key as keyof FakeEndpoint] });
    });
  };
}

function startCut(world: SoakWorld, random: Random, isOneWay: boolean): StopFault {
  const { dataCentres } = world;
  const from = dataCentres[random.nextIndex(dataCentres.length)] ?? '';
  const cuts: string[] = [];
  for (const to of dataCentres) {
    if (to !== from) cuts.push(`${from}>${to}`, ...(isOneWay ? [] : [`${to}>${from}`]));
  }
  for (const cut of cuts) world.network.troubles.cuts.add(cut);
  return () => {
    for (const cut of cuts) world.network.troubles.cuts.delete(cut);
  };
}

/** Begins a fault; the returned function ends it. */
export function startFault(fault: Fault, world: SoakWorld, random: Random): StopFault {
  switch (fault) {
    case FAULT.Burst:
      world.setLoad(BURST_FACTOR);
      return () => world.setLoad(1);
    case FAULT.PlatformDown:
      return startPlatformFault(world, { isDown: true });
    case FAULT.PlatformSlow:
      return startPlatformFault(world, { slowMs: SLOW_MS });
    case FAULT.LostAnswers:
      return startPlatformFault(world, { lostAnswers: LOST_SHARE });
    case FAULT.LateWrites:
      return startPlatformFault(world, { lateWrites: LATE_SHARE });
    case FAULT.EngineCrash:
      return startEndpointFault(world, random, { isCrashed: true });
    case FAULT.EngineSilent:
      return startEndpointFault(world, random, { isFrozen: true });
    case FAULT.Straggler:
      return startEndpointFault(world, random, { slowdown: STRAGGLER_SLOWDOWN });
    case FAULT.EndpointLeaving:
      return startEndpointFault(world, random, {
        isLeaving: true,
        leavingSinceMs: world.time.getNow(),
      });
    case FAULT.EndpointSaysLeaving:
      return startEndpointFault(world, random, {
        saysLeaving: true,
        saysLeavingSinceMs: world.time.getNow(),
      });
    case FAULT.EndpointRests:
      return startEndpointFault(world, random, { restMs: REST_MS });
    case FAULT.PoolRests:
      return startFleetFault(world, { restMs: REST_MS });
    case FAULT.EndpointLimited:
      return startEndpointFault(world, random, { rateLimit: RATE_LIMIT });
    case FAULT.CrashingRequests:
      return startFleetFault(world, { crashShare: CRASH_SHARE });
    case FAULT.EntryWithoutEndpoints:
      return world.cutEntryFromEndpoints();
    case FAULT.BrittleEndpoints:
      return startFleetFault(world, { isBrittle: true });
    case FAULT.BadFrames:
      return startEndpointFault(world, random, { badFrames: BAD_FRAMES_SHARE });
    case FAULT.ServiceLosesAnswers:
      return startEndpointFault(world, random, { lostAnswers: LOST_SHARE });
    case FAULT.EntryCrash: {
      const name = world.crashEntry();
      return () => world.startEntry(name);
    }
    case FAULT.EntryPaused:
      return world.pauseEntry();
    case FAULT.EntryDrains: {
      const name = world.drainEntry();
      return () => world.startEntry(name);
    }
    case FAULT.Cut:
      return startCut(world, random, false);
    case FAULT.CutOneWay:
      return startCut(world, random, true);
    case FAULT.MessageLoss:
      world.network.troubles.loss = LOSS_SHARE;
      return () => {
        world.network.troubles.loss = 0;
      };
    case FAULT.OperatorsRace:
      return world.startRace();
    default:
      throw new Error(`no such fault ${String(fault)}; see FAULTS`);
  }
}
