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
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import { computePromptCost, findHome } from './engine-model.js';
import type { EndpointLoads } from './endpoint-loads.js';
import { PROMPT_ROLE } from './split-engines.js';
import type { PromptRole } from './split-engines.js';

/**
 * How much more a token of a shared part weighs when it has to be read again than one that waits: it
 * takes engine time from all others and evicts what is kept.
 */
const REREAD_WEIGHT = 5;
/** Tokens that a running call is worth: what its share of each step delays a prompt's chunks. */
const RUNNING_TOKENS = 150;
/**
 * Tokens that each call beyond an engine's slots is worth: one of 16 slots, each taken for 0.7 s, frees
 * every 45 ms (computed), in which 5,000 tokens are read. For a call that is about to miss its target it is worth four times as
 * much, so that it leaves a full home for an engine that must read the shared part first.
 */
const QUEUED_TOKENS = 5000;
const QUEUED_HURRY = 3;
/**
 * Tokens that a certain failure is worth. Most prompts may be sent once only, so a failure loses the
 * call; 200,000 tokens are read in 1.8 s, beyond which even the longest target is missed.
 */
const FAILURE_TOKENS = 200_000;
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
  readonly loads: EndpointLoads;
  readonly random: Random;
  /** What the call is to the split of its pool. */
  readonly role: PromptRole;
  /** Ids of the engines that long prompts are kept on; none where the pool is not split. */
  readonly longEngines: ReadonlySet<string>;
  /** Tokens that an engine reads within the call's target: what being late is worth. */
  readonly targetTokens: number;
  /** Part of the time to its target that the call has waited already, 0 to 1. */
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

/**
 * The candidates that may be home of the call's shared part: of a split pool those of its own side.
 * Guards against short prompts whose home is behind long ones: they leave it call by call, and their
 * shared part is read again each time.
 */
function listHomes(
  candidates: readonly RegisteredEndpoint[],
  { role, longEngines }: ChoiceInput,
): readonly RegisteredEndpoint[] {
  const isLong = role === PROMPT_ROLE.Long;
  const homes = candidates.filter(({ id }) => longEngines.has(id) === isLong);
  return homes.length > 0 ? homes : candidates;
}

/** Whether the call would harm streams at the engine, or be harmed there itself. */
function isMisplaced({ role, longEngines }: ChoiceInput, { id }: RegisteredEndpoint): boolean {
  switch (role) {
    case PROMPT_ROLE.Long:
      return !longEngines.has(id);
    case PROMPT_ROLE.Delicate:
      return longEngines.has(id);
    case PROMPT_ROLE.Plain:
      return false;
    default:
      return assertNever(role);
  }
}

/** Picks an endpoint, or nothing where none may get the call. */
export function chooseEndpoint(input: ChoiceInput): Placement | undefined {
  const candidates = listCandidates(input);
  const { loads, prompt, random, nowMs } = input;
  if (prompt === undefined) return choosePlain(candidates, input);
  const { sharedPart, sharedTokens, ownTokens } = computePromptCost(prompt);
  const home = findHome(sharedPart, listHomes(candidates, input));
  const queuedTokens = QUEUED_TOKENS * (1 + QUEUED_HURRY * input.waitedShare);
  const endpoint = chooseCheapest(candidates, random, (candidate) => {
    const { id, startId, slots } = candidate;
    const { unreadTokens, running } = loads.get(startId);
    const waiting = unreadTokens + running * RUNNING_TOKENS + ownTokens;
    const slowness = loads.computeSlowness(candidate, nowMs);
    const reread = id === home?.id ? 0 : sharedTokens * REREAD_WEIGHT;
    const failing = loads.computeFailureShare(startId, nowMs) * FAILURE_TOKENS;
    const queued = Math.max(0, running + 1 - slots) * queuedTokens;
    const misplaced = isMisplaced(input, candidate) ? input.targetTokens : 0;
    return waiting * slowness + queued + reread + failing + misplaced;
  });
  if (endpoint === undefined) return undefined;
  return { endpoint, readTokens: ownTokens + (endpoint.id === home?.id ? 0 : sharedTokens) };
}
