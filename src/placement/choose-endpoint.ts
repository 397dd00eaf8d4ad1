/**
 * Chooses the endpoint of a call. Prompts that share a part go to the same endpoint, whichever
 * instance takes them, by rendezvous hashing on the last part that others share; an endpoint that
 * holds clearly more than its share is passed over for the next in the same order. Other calls go to
 * the least loaded of the pool.
 */
import type { PromptShape } from '../calls/call-messages.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import type { Random } from '../utils/random.js';
import type { EndpointLoads } from './endpoint-loads.js';

/** An endpoint is passed over when it holds more than this many times the mean, and `SPILL_EXTRA` more. */
const SPILL_FACTOR = 1.5;
const SPILL_EXTRA = 3;

/** What a choice depends on. */
export interface ChoiceInput {
  readonly endpoints: readonly RegisteredEndpoint[];
  readonly prompt: PromptShape | undefined;
  /** Endpoints that had this call already. */
  readonly excluded: readonly string[];
  readonly loads: EndpointLoads;
  readonly random: Random;
  readonly nowMs: number;
}

/** The last part of a prompt that other prompts share. */
export function findSharedPart(prompt: PromptShape): string | undefined {
  const shared = prompt.parts.length > 1 ? prompt.parts.at(-2) : prompt.parts.at(-1);
  return shared?.id;
}

/** Endpoints that may be chosen: not tried before, not failing, unless nothing else is left. */
function listCandidates(input: ChoiceInput): readonly RegisteredEndpoint[] {
  const { endpoints, excluded, loads, nowMs } = input;
  const untried = endpoints.filter(({ id }) => !excluded.includes(id));
  const sound = untried.filter(({ id }) => !loads.isSuspect(id, nowMs));
  if (sound.length > 0) return sound;
  return untried.length > 0 ? untried : [];
}

function chooseLeastLoaded(
  candidates: readonly RegisteredEndpoint[],
  { loads, random }: ChoiceInput,
): RegisteredEndpoint | undefined {
  const start = random.nextIndex(Math.max(1, candidates.length));
  let best: RegisteredEndpoint | undefined;
  for (let index = 0; index < candidates.length; index += 1) {
    const candidate = candidates[(start + index) % candidates.length] as RegisteredEndpoint;
    const isLess =
      best === undefined || loads.get(candidate.id).running < loads.get(best.id).running;
    if (isLess) best = candidate;
  }
  return best;
}

/** Picks an endpoint, or nothing where none may get the call. */
export function chooseEndpoint(input: ChoiceInput): RegisteredEndpoint | undefined {
  const candidates = listCandidates(input);
  const shared = input.prompt === undefined ? undefined : findSharedPart(input.prompt);
  if (shared === undefined || candidates.length === 0) return chooseLeastLoaded(candidates, input);
  const running = candidates.reduce((sum, { id }) => sum + input.loads.get(id).running, 0);
  const bound = (SPILL_FACTOR * running) / candidates.length + SPILL_EXTRA;
  const ranked = candidates
    .map((endpoint) => ({ endpoint, rank: hashName(`${endpoint.id}|${shared}`) }))
    .sort((a, b) => b.rank - a.rank);
  const open = ranked.find(({ endpoint }) => input.loads.get(endpoint.id).running <= bound);
  return (open ?? ranked[0])?.endpoint;
}
