/**
 * Chooses the endpoint for a call. Performs no I/O.
 *
 * Calls without a prompt go to the endpoint with the lowest slot utilization. Calls with a prompt
 * go to the engine with the lowest estimated cost, made up of unread prompt tokens, running calls,
 * the wait for a slot, recent failures and, except at the home of its shared prefix, reading that
 * prefix again. Homes are assigned by rendezvous hashing, so that all instances agree on them
 * without coordination.
 */
import type { PromptShape } from '../calls/call-messages.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import { computePromptCost, findPrefixHomes } from './prompt-cost.js';
import type { PrefixHomes, PromptCost } from './prompt-cost.js';
import { computePauseCostMs } from './engine-timing.js';
import type { EndpointLoads, PoolTiming } from './endpoint-loads.js';

/**
 * Cost of reading a shared-prefix token again, relative to a token waiting to be read: it also
 * evicts other cached prefixes.
 */
const PREFIX_MISS_WEIGHT = 20;
/**
 * The same in timed pools, for all but the most urgent calls. The cost of pauses would otherwise move calls
 * away from a busy home that is still in time, and each move reads a prefix again.
 */
const TIMED_PREFIX_MISS_WEIGHT = 40;
/**
 * Share of the target assumed for reading the whole prompt while the prefill speed is unknown:
 * targets are declared for engines that can meet them.
 */
export const ASSUMED_READ_SHARE = 0.2;
/**
 * Cost of an engine with all slots taken, as a share of the call's target: running calls slow down
 * every stream.
 */
const FULL_ENGINE_COST_SHARE = 0.4;
/**
 * Weight of a millisecond by which running calls delay the rest of an answer, relative to one
 * before its start. Guards against urgent calls piling up on the engine with the fewest unread
 * tokens, where their streams would be slow. The whole delay would drive calls from their homes.
 */
const STREAM_DELAY_WEIGHT = 0.25;
/**
 * Extra weight of the wait for a slot as a call approaches its target, so that it leaves a full
 * home in time. The wait counts for at most the target; otherwise calls would leave their homes
 * even when no engine has a free slot.
 */
const QUEUE_URGENCY_FACTOR = 3;
/**
 * Cost of sending an urgent call to an engine that also reads long prompts, which can stall its
 * stream, as a share of its target.
 */
const INTERFERENCE_COST_SHARE = 0.5;
/**
 * Cost for an urgent call of an engine without a free slot, in multiples of its target: more than that of leaving the
 * reserved engines, less than that of an engine that fails every fourth call.
 */
const NO_SLOT_COST_TARGETS = 2;
/** The same of an engine that takes a slot from a less urgent call, which then has to be read again. */
const PREEMPTION_COST_TARGETS = 1;
/**
 * Cost of a certain failure for a call with a prompt, in multiples of its target: a call that may be
 * sent only once is lost with it.
 */
const FAILURE_COST_TARGETS = 8;
/**
 * Cost of a certain failure for a call without a prompt, in units of slot utilization: the next
 * attempt takes another place in a queue and a retry from the budget.
 */
const FAILURE_COST_UTILIZATION = 2;

/** Share of calls at the second home of a prefix that are expected to read it again. */
const SECOND_HOME_MISS_SHARE = 0.25;

export interface ChoiceInput {
  readonly endpoints: readonly RegisteredEndpoint[];
  readonly prompt: PromptShape | undefined;
  /** Ids of endpoints already tried for this call. */
  readonly excluded: readonly string[];
  /** Whether a data centre is currently unreachable. */
  readonly isDataCentreUnreachable: (dataCentre: string) => boolean;
  /** Whether an endpoint should be used only if there is no other. */
  readonly isAvoided: (endpoint: RegisteredEndpoint) => boolean;
  readonly loads: EndpointLoads;
  readonly random: Random;
  /** Target for the first event, measured from the call's arrival. */
  readonly targetMs: number;
  /** Target time between two events; infinite if the route declares none. */
  readonly gapTargetMs: number;
  /** Mean number of events in answers of the route; 0 while unknown. */
  readonly eventsExpected: number;
  /** Whether the call has the most urgent priority in its pool. */
  readonly isUrgent: boolean;
  /** Start ids of lastingly slow engines, which are home to fewer shared prefixes. */
  readonly slow: ReadonlySet<string>;
  /** Ids of engines reserved for the most urgent calls. */
  readonly reserved: ReadonlySet<string>;
  /** Whether the pauses of each engine count, and not those of the pool alone. */
  readonly isTimed: boolean;
  /** Share of the target that has already passed, 0 to 1. */
  readonly waitedShare: number;
  readonly nowMs: number;
}

/**
 * Filters out endpoints that were tried, unreachable, suspect or to be avoided, and for a further attempt
 * those that were never reached. If none is left, the last of these conditions is dropped first.
 */
function listCandidates(input: ChoiceInput): readonly RegisteredEndpoint[] {
  const { endpoints, excluded, loads, nowMs } = input;
  const untried = endpoints.filter(({ id }) => !excluded.includes(id));
  const dataCentres = new Set(untried.map(({ dataCentre }) => dataCentre));
  const unreachable = [...dataCentres].filter((dataCentre) =>
    input.isDataCentreUnreachable(dataCentre),
  );
  const reachable = untried.filter(({ dataCentre }) => !unreachable.includes(dataCentre));
  const healthy = reachable.filter(
    ({ startId }) => !loads.isSuspect(startId, nowMs, input.isUrgent),
  );
  const preferred = healthy.filter((endpoint) => !input.isAvoided(endpoint));
  // Guards against a call that is refused after it tried one address after the other at which nothing answers.
  const reached = preferred.filter(({ startId }) => loads.isReached(startId));
  if (excluded.length > 0 && reached.length > 0) return reached;
  if (preferred.length > 0) return preferred;
  if (healthy.length > 0) return healthy;
  return reachable.length > 0 ? reachable : untried;
}

/** Returns the candidate with the lowest cost; ties are broken at random. */
function chooseCheapest(
  candidates: readonly RegisteredEndpoint[],
  random: Random,
  computeCost: (endpoint: RegisteredEndpoint) => number,
): RegisteredEndpoint | undefined {
  const start = random.nextIndex(Math.max(1, candidates.length));
  let best: RegisteredEndpoint | undefined;
  let bestCost = Infinity;
  for (let index = 0; index < candidates.length; index += 1) {
    const candidate = candidates[(start + index) % candidates.length] as RegisteredEndpoint;
    const cost = computeCost(candidate);
    if (best === undefined || cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

export interface Placement {
  readonly endpoint: RegisteredEndpoint;
  /** Prompt tokens that the endpoint is expected to read. */
  readonly readTokens: number;
}

function chooseLeastLoaded(
  candidates: readonly RegisteredEndpoint[],
  { loads, random, nowMs }: ChoiceInput,
): Placement | undefined {
  const endpoint = chooseCheapest(candidates, random, ({ startId, slots }) => {
    const utilization = (loads.get(startId).running + 1) / Math.max(1, slots);
    return utilization + loads.getFailureRate(startId, nowMs) * FAILURE_COST_UTILIZATION;
  });
  return endpoint === undefined ? undefined : { endpoint, readTokens: 0 };
}

/** A prompt to place, with the values that are the same for all candidates. */
interface PromptChoice extends PromptCost {
  readonly input: ChoiceInput;
  readonly timing: PoolTiming;
  readonly msPerToken: number;
  /** Cost of reading the shared prefix again: the minimum cost of any engine but the home. */
  readonly rereadMs: number;
}

function buildPromptChoice(input: ChoiceInput, pool: string, cost: PromptCost): PromptChoice {
  const timing = input.loads.getPoolTiming(pool);
  const tokens = Math.max(1, cost.sharedTokens + cost.ownTokens);
  const assumedMsPerToken = (input.targetMs * ASSUMED_READ_SHARE) / tokens;
  const fittedMsPerToken = timing.prefillSpeed?.msPerToken ?? assumedMsPerToken;
  // Slower times show cold caches and queues, not the speed of engines that can meet the targets. The bound
  // holds for queued tokens, too, which are read at the same speed.
  const msPerToken = input.isTimed
    ? Math.min(fittedMsPerToken, assumedMsPerToken)
    : fittedMsPerToken;
  const missWeight =
    input.isTimed && !input.isUrgent ? TIMED_PREFIX_MISS_WEIGHT : PREFIX_MISS_WEIGHT;
  const rereadMs = cost.sharedTokens * msPerToken * missWeight;
  return { ...cost, input, timing, msPerToken, rereadMs };
}

/** Cost of the calls already running at an engine. */
function computeRunningMs(
  { input: { targetMs, eventsExpected }, timing }: PromptChoice,
  running: number,
  slots: number,
): number {
  const counted = Math.min(slots, running);
  const streamDelayMs = counted * timing.pauseMsPerCall * eventsExpected * STREAM_DELAY_WEIGHT;
  return Math.max((counted / slots) * targetMs * FULL_ENGINE_COST_SHARE, streamDelayMs);
}

function computeEnginePauseCostMs({ input }: PromptChoice, candidate: RegisteredEndpoint): number {
  if (!input.isTimed) return 0;
  const { loads, nowMs } = input;
  const running = Math.min(candidate.slots, loads.get(candidate.startId).running + 1);
  return computePauseCostMs({
    ...input,
    pauseMs: loads.predictEnginePauseMs(candidate, running, nowMs),
    poolPauseMs: loads.predictPauseMs(candidate.pool, running, nowMs),
  });
}

/**
 * Cost of a slot for an urgent call. Guards against urgent calls that queue for the few reserved engines while others
 * have room, since the estimated wait for a slot counts for at most their target.
 */
function computeSlotCostMs(
  { input }: PromptChoice,
  { startId, slots }: RegisteredEndpoint,
): number {
  const { running, preemptible } = input.loads.get(startId);
  if (!input.isUrgent || running < slots) return 0;
  const isPreempting = running - preemptible < slots;
  return input.targetMs * (isPreempting ? PREEMPTION_COST_TARGETS : NO_SLOT_COST_TARGETS);
}

/** Estimated cost of sending the prompt to an engine. */
function computeCostMs(
  choice: PromptChoice,
  candidate: RegisteredEndpoint,
  missShare: number,
): number {
  const { input, timing, ownTokens, msPerToken } = choice;
  const { loads, targetMs, waitedShare, nowMs } = input;
  const { startId, slots } = candidate;
  const { unreadTokens, running } = loads.get(startId);
  const readMs = (unreadTokens + ownTokens) * msPerToken * loads.getSlowdown(candidate, nowMs);
  const urgencyFactor = 1 + QUEUE_URGENCY_FACTOR * waitedShare;
  const queuedMs = (Math.max(0, running + 1 - slots) * timing.meanRunMs) / slots;
  const failingMs = loads.getFailureRate(startId, nowMs) * targetMs * FAILURE_COST_TARGETS;
  const hasInterference = input.reserved.size > 0 && !input.reserved.has(candidate.id);
  return (
    readMs +
    computeRunningMs(choice, running, slots) +
    Math.min(targetMs, queuedMs * urgencyFactor) +
    missShare * choice.rereadMs +
    failingMs +
    computeSlotCostMs(choice, candidate) +
    computeEnginePauseCostMs(choice, candidate) +
    (input.isUrgent && hasInterference ? targetMs * INTERFERENCE_COST_SHARE : 0)
  );
}

/** Share of calls with the prefix that are expected to read it at an endpoint. */
function getMissShare(
  { isTimed }: ChoiceInput,
  { first, second }: PrefixHomes,
  candidate: RegisteredEndpoint | undefined,
): number {
  if (candidate === undefined) return 1;
  if (candidate.id === first?.id) return 0;
  return isTimed && candidate.id === second?.id ? SECOND_HOME_MISS_SHARE : 1;
}

/**
 * Lists the engines that may get the prompt and those eligible as the home of its shared prefix.
 */
function listEngines(
  { isUrgent, reserved }: ChoiceInput,
  candidates: readonly RegisteredEndpoint[],
): {
  readonly allowed: readonly RegisteredEndpoint[];
  readonly homes: readonly RegisteredEndpoint[];
} {
  if (reserved.size === 0) return { allowed: candidates, homes: candidates };
  const reservedEngines = candidates.filter(({ id }) => reserved.has(id));
  const sharedEngines = candidates.filter(({ id }) => !reserved.has(id));
  if (isUrgent)
    return {
      allowed: candidates,
      homes: reservedEngines.length > 0 ? reservedEngines : candidates,
    };
  return sharedEngines.length > 0
    ? { allowed: sharedEngines, homes: sharedEngines }
    : { allowed: candidates, homes: candidates };
}

/**
 * Returns the engine with the lowest cost. Other engines are skipped if the home costs no more than
 * reading the shared prefix again, since none of them can be cheaper.
 */
function chooseForPrompt(
  choice: PromptChoice,
  allowed: readonly RegisteredEndpoint[],
  homes: PrefixHomes,
): RegisteredEndpoint | undefined {
  const { first } = homes;
  const leastMissMs = choice.rereadMs * getMissShare(choice.input, homes, homes.second);
  if (first !== undefined && computeCostMs(choice, first, 0) <= leastMissMs) return first;
  return chooseCheapest(allowed, choice.input.random, (candidate) =>
    computeCostMs(choice, candidate, getMissShare(choice.input, homes, candidate)),
  );
}

/** Returns undefined if no endpoint may get the call. */
export function chooseEndpoint(input: ChoiceInput): Placement | undefined {
  const candidates = listCandidates(input);
  const { prompt } = input;
  if (prompt === undefined) return chooseLeastLoaded(candidates, input);
  const cost = computePromptCost(prompt);
  const { allowed, homes } = listEngines(input, candidates);
  const prefixHomes = findPrefixHomes(cost.sharedPrefix, homes, input.slow);
  const choice = buildPromptChoice(input, allowed[0]?.pool ?? '', cost);
  const endpoint = chooseForPrompt(choice, allowed, prefixHomes);
  if (endpoint === undefined) return undefined;
  const rereadTokens = cost.sharedTokens * getMissShare(input, prefixHomes, endpoint);
  return { endpoint, readTokens: cost.ownTokens + rereadTokens };
}
