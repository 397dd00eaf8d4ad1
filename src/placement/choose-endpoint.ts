/**
 * Chooses the endpoint of a call, free of I/O.
 *
 * Plain calls go to the endpoint with the fewest calls for its slots. Prompts go where they are
 * expected to be read soonest: behind the tokens that wait unread at an endpoint, plus the tokens of
 * the prompt that are not kept there. Every instance holds the same two endpoints, by rendezvous
 * hashing, for those that keep a shared part, so that instances need not tell each other what is
 * cached where. Reading a shared part again costs everybody behind it, so it counts more than once.
 * What an endpoint failed lately counts against it as the loss of a call.
 */
import type { PromptShape } from '../calls/call-messages.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import { computePromptCost, findHomeEndpoint } from './prompt-cost.js';
import type { PromptCost } from './prompt-cost.js';
import type { EndpointLoads, PoolTiming } from './endpoint-loads.js';

/**
 * How much more a token of a shared part weighs when it has to be read again than one that waits: it
 * takes engine time from all others and evicts what is kept, which is then read again as well.
 */
const PREFIX_MISS_WEIGHT = 20;
/**
 * Part of a call's target in which its whole prompt is assumed to be read until its pool's first prompts
 * were, within a second of traffic: targets are declared for engines that can meet them.
 */
const ASSUMED_READ_SHARE = 0.2;
/**
 * Parts of the call's target that an engine whose slots are all taken costs: running calls lengthen each
 * step, and so the call's own stream.
 */
const FULL_ENGINE_COST_SHARE = 0.4;
/**
 * How much a millisecond by which calls under way lengthen an answer weighs against one before it
 * begins.
 *
 * Guards against urgent calls that all go where fewest prompts are unread, which they never wait
 * behind: it shows as one engine with over a hundred calls and streams that outlast their callers while
 * others have a third of that. The whole millisecond would drive calls from their shared parts.
 */
const STREAM_DELAY_WEIGHT = 0.25;
/**
 * How much more a wait for a slot counts for a call that is about to miss its target, so that it leaves
 * a full home for an engine that must read the shared part first. No wait counts more than the target:
 * late is late, and in a fleet without free slots calls would leave their homes for nothing.
 */
const QUEUE_URGENCY_FACTOR = 3;
/**
 * Part of its target that it costs an urgent call to go where long prompts are read, which may make its
 * stream late through a pause.
 */
const INTERFERENCE_COST_SHARE = 0.5;
/** Times its target that a certain failure costs a call: what may be sent once only is lost with it. */
const FAILURE_COST_TARGETS = 8;
/** The same for plain calls, in times that an endpoint is full: there the next try costs a place in the queue and a second try. */
const FAILURE_COST_UTILIZATION = 2;

/** What a choice depends on. */
export interface ChoiceInput {
  readonly endpoints: readonly RegisteredEndpoint[];
  readonly prompt: PromptShape | undefined;
  /** Endpoints that had this call already. */
  readonly excluded: readonly string[];
  /** Whether a data centre is out of reach for now. */
  readonly isCut: (dataCentre: string) => boolean;
  /** Whether an endpoint is left to others as long as there is another. */
  readonly isAvoided: (endpoint: RegisteredEndpoint) => boolean;
  readonly loads: EndpointLoads;
  readonly random: Random;
  /** Time from the call's arrival to the first answer that is in time, in milliseconds. */
  readonly targetMs: number;
  /** Events that answers of its route have in the mean; 0 while unknown. */
  readonly eventsExpected: number;
  /** Whether the call is of the most urgent of its pool. */
  readonly isUrgent: boolean;
  /** Ids of the engines that are kept for the most urgent. */
  readonly reserved: ReadonlySet<string>;
  /** Part of that time that the call has waited already, 0 to 1. */
  readonly waitedShare: number;
  readonly nowMs: number;
}

/** Endpoints that may be chosen: not tried before, within reach, not failing; the least doubtful where no other is left. */
function listCandidates(input: ChoiceInput): readonly RegisteredEndpoint[] {
  const { endpoints, excluded, loads, nowMs } = input;
  const untried = endpoints.filter(({ id }) => !excluded.includes(id));
  const dataCentres = new Set(untried.map(({ dataCentre }) => dataCentre));
  const unreachable = [...dataCentres].filter((dataCentre) => input.isCut(dataCentre));
  const reachable = untried.filter(({ dataCentre }) => !unreachable.includes(dataCentre));
  const healthy = reachable.filter(({ startId }) => !loads.isSuspect(startId, nowMs));
  const preferred = healthy.filter((endpoint) => !input.isAvoided(endpoint));
  if (preferred.length > 0) return preferred;
  if (healthy.length > 0) return healthy;
  return reachable.length > 0 ? reachable : untried;
}

/** The candidate with the least cost; among equals any. */
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

/** Where a call goes. */
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

/** A prompt that is to be placed, with what is the same for all candidates. */
interface PromptChoice extends PromptCost {
  readonly input: ChoiceInput;
  readonly timing: PoolTiming;
  readonly msPerToken: number;
  /** What it costs to read the shared parts again, in milliseconds: no engine but the home costs less. */
  readonly rereadMs: number;
}

function buildPromptChoice(input: ChoiceInput, pool: string, cost: PromptCost): PromptChoice {
  const timing = input.loads.getPoolPace(pool);
  const tokens = Math.max(1, cost.sharedTokens + cost.ownTokens);
  const msPerToken = timing.reading?.msPerToken ?? (input.targetMs * ASSUMED_READ_SHARE) / tokens;
  const rereadMs = cost.sharedTokens * msPerToken * PREFIX_MISS_WEIGHT;
  return { ...cost, input, timing, msPerToken, rereadMs };
}

/** What the calls under way at an engine cost the call, in milliseconds: each adds to every pause of its answer. */
function computeRunningMs(
  { input: { targetMs, eventsExpected }, timing }: PromptChoice,
  running: number,
  slots: number,
): number {
  const counted = Math.min(slots, running);
  const streamDelayMs = counted * timing.pauseMsPerCall * eventsExpected * STREAM_DELAY_WEIGHT;
  return Math.max((counted / slots) * targetMs * FULL_ENGINE_COST_SHARE, streamDelayMs);
}

/** What it costs to send a prompt to an engine, in milliseconds that its first answer is later or may as well be. */
function computeCostMs(
  choice: PromptChoice,
  candidate: RegisteredEndpoint,
  isHome: boolean,
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
    (isHome ? 0 : choice.rereadMs) +
    failingMs +
    (input.isUrgent && hasInterference ? targetMs * INTERFERENCE_COST_SHARE : 0)
  );
}

/** Engines that a prompt may go to, and those among which its shared part has its home. */
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
 * The engine that costs the prompt least. The home is looked at first: where nothing there costs as much
 * as reading the shared parts again, no other engine need be looked at, which is so for most calls.
 */
function chooseForPrompt(
  choice: PromptChoice,
  allowed: readonly RegisteredEndpoint[],
  home: RegisteredEndpoint | undefined,
): RegisteredEndpoint | undefined {
  if (home !== undefined && computeCostMs(choice, home, true) <= choice.rereadMs) return home;
  return chooseCheapest(allowed, choice.input.random, (candidate) =>
    computeCostMs(choice, candidate, candidate.id === home?.id),
  );
}

/** Picks an endpoint, or nothing where none may get the call. */
export function chooseEndpoint(input: ChoiceInput): Placement | undefined {
  const candidates = listCandidates(input);
  const { prompt } = input;
  if (prompt === undefined) return chooseLeastLoaded(candidates, input);
  const cost = computePromptCost(prompt);
  const { allowed, homes } = listEngines(input, candidates);
  const home = findHomeEndpoint(cost.sharedPrefix, homes);
  const choice = buildPromptChoice(input, allowed[0]?.pool ?? '', cost);
  const endpoint = chooseForPrompt(choice, allowed, home);
  if (endpoint === undefined) return undefined;
  const rereadTokens = endpoint.id === home?.id ? 0 : cost.sharedTokens;
  return { endpoint, readTokens: cost.ownTokens + rereadTokens };
}
