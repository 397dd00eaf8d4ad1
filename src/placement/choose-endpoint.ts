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
import { computePromptCost, findHome } from './engine-model.js';
import type { PromptCost } from './engine-model.js';
import type { EndpointLoads, PoolPace } from './endpoint-loads.js';

/**
 * How much more a token of a shared part weighs when it has to be read again than one that waits: it
 * takes engine time from all others and evicts what is kept, which is then read again as well.
 */
const REREAD_WEIGHT = 20;
/**
 * Part of a call's target in which its whole prompt is assumed to be read until its pool's first prompts
 * were, within a second of traffic: targets are declared for engines that can meet them.
 */
const READING_ASSUMED = 0.2;
/**
 * Parts of the call's target that an engine whose slots are all taken costs: running calls lengthen each
 * step, and so the call's own stream.
 */
const RUNNING_SHARE = 0.4;
/**
 * How much a millisecond by which calls under way lengthen an answer weighs against one before it
 * begins.
 *
 * Guards against urgent calls that all go where fewest prompts are unread, which they never wait
 * behind: it shows as one engine with over a hundred calls and streams that outlast their callers while
 * others have a third of that. The whole millisecond would drive calls from their shared parts.
 */
const LENGTHENED_WEIGHT = 0.25;
/**
 * How much more a wait for a slot counts for a call that is about to miss its target, so that it leaves
 * a full home for an engine that must read the shared part first. No wait counts more than the target:
 * late is late, and in a fleet without free slots calls would leave their homes for nothing.
 */
const QUEUED_HURRY = 3;
/**
 * Part of its target that it costs an urgent call to go where long prompts are read, which may make its
 * stream late through a pause.
 */
const DISTURBED_SHARE = 0.5;
/** Times its target that a certain failure costs a call: what may be sent once only is lost with it. */
const FAILURE_TARGETS = 8;
/** The same for plain calls, in times that an endpoint is full: there the next try costs a place in the queue and a second try. */
const FAILURE_FULLNESS = 2;

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
  const cut = [...dataCentres].filter((dataCentre) => input.isCut(dataCentre));
  const near = untried.filter(({ dataCentre }) => !cut.includes(dataCentre));
  const sound = near.filter(({ startId }) => !loads.isSuspect(startId, nowMs));
  const free = sound.filter((endpoint) => !input.isAvoided(endpoint));
  if (free.length > 0) return free;
  if (sound.length > 0) return sound;
  return near.length > 0 ? near : untried;
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

function choosePlain(
  candidates: readonly RegisteredEndpoint[],
  { loads, random, nowMs }: ChoiceInput,
): Placement | undefined {
  const endpoint = chooseCheapest(candidates, random, ({ startId, slots }) => {
    const fullness = (loads.get(startId).running + 1) / Math.max(1, slots);
    return fullness + loads.computeFailureShare(startId, nowMs) * FAILURE_FULLNESS;
  });
  return endpoint === undefined ? undefined : { endpoint, readTokens: 0 };
}

/** A prompt that is to be placed, with what is the same for all candidates. */
interface PromptChoice extends PromptCost {
  readonly input: ChoiceInput;
  readonly pace: PoolPace;
  readonly msPerToken: number;
  /** What it costs to read the shared parts again, in milliseconds: no engine but the home costs less. */
  readonly rereadMs: number;
}

function buildPromptChoice(input: ChoiceInput, pool: string, cost: PromptCost): PromptChoice {
  const pace = input.loads.getPoolPace(pool);
  const tokens = Math.max(1, cost.sharedTokens + cost.ownTokens);
  const msPerToken = pace.reading?.msPerToken ?? (input.targetMs * READING_ASSUMED) / tokens;
  const rereadMs = cost.sharedTokens * msPerToken * REREAD_WEIGHT;
  return { ...cost, input, pace, msPerToken, rereadMs };
}

/** What the calls under way at an engine cost the call, in milliseconds: each adds to every pause of its answer. */
function computeRunningMs(
  { input: { targetMs, eventsExpected }, pace }: PromptChoice,
  running: number,
  slots: number,
): number {
  const counted = Math.min(slots, running);
  const lengthenedMs = counted * pace.pauseMsPerCall * eventsExpected * LENGTHENED_WEIGHT;
  return Math.max((counted / slots) * targetMs * RUNNING_SHARE, lengthenedMs);
}

/** What it costs to send a prompt to an engine, in milliseconds that its first answer is later or may as well be. */
function computeCostMs(
  choice: PromptChoice,
  candidate: RegisteredEndpoint,
  isHome: boolean,
): number {
  const { input, pace, ownTokens, msPerToken } = choice;
  const { loads, targetMs, waitedShare, nowMs } = input;
  const { startId, slots } = candidate;
  const { unreadTokens, running } = loads.get(startId);
  const readMs = (unreadTokens + ownTokens) * msPerToken * loads.computeSlowness(candidate, nowMs);
  const hurry = 1 + QUEUED_HURRY * waitedShare;
  const queuedMs = (Math.max(0, running + 1 - slots) * pace.meanRunMs) / slots;
  const failingMs = loads.computeFailureShare(startId, nowMs) * targetMs * FAILURE_TARGETS;
  const isDisturbed = input.reserved.size > 0 && !input.reserved.has(candidate.id);
  return (
    readMs +
    computeRunningMs(choice, running, slots) +
    Math.min(targetMs, queuedMs * hurry) +
    (isHome ? 0 : choice.rereadMs) +
    failingMs +
    (input.isUrgent && isDisturbed ? targetMs * DISTURBED_SHARE : 0)
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
  const kept = candidates.filter(({ id }) => reserved.has(id));
  const open = candidates.filter(({ id }) => !reserved.has(id));
  if (isUrgent) return { allowed: candidates, homes: kept.length > 0 ? kept : candidates };
  return open.length > 0
    ? { allowed: open, homes: open }
    : { allowed: candidates, homes: candidates };
}

/**
 * The engine that costs the prompt least. The home is looked at first: where nothing there costs as much
 * as reading the shared parts again, no other engine need be looked at, which is so for most calls.
 */
function choosePrompted(
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
  if (prompt === undefined) return choosePlain(candidates, input);
  const cost = computePromptCost(prompt);
  const { allowed, homes } = listEngines(input, candidates);
  const home = findHome(cost.sharedPart, homes);
  const choice = buildPromptChoice(input, allowed[0]?.pool ?? '', cost);
  const endpoint = choosePrompted(choice, allowed, home);
  if (endpoint === undefined) return undefined;
  const rereadTokens = endpoint.id === home?.id ? 0 : cost.sharedTokens;
  return { endpoint, readTokens: cost.ownTokens + rereadTokens };
}
