/** Generates the arrivals of a run from a seed, so that all policies receive the same requests. */
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { computeCapacity } from './deployments.js';
import type { ClassTraffic, Deployment } from './deployments.js';
import type { Scenario } from './scenarios.js';

/** One request to send. */
export interface Arrival {
  /** From the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly className: string;
  readonly organisation: string;
  readonly tokens: number;
  readonly prompt: string;
  readonly entry: number;
  readonly giveUpMs: number | undefined;
  /** Part of a flood. */
  readonly isFlood: boolean;
  /** Sent before the measured window, as warm-up. */
  readonly isWarmUp: boolean;
}

/** Shape of the Pareto lengths; 1.5 has a mean of three times the scale and no variance. */
const LENGTH_SHAPE = 1.5;
const SLICE_MS = 20;
const SHARED_PREFIXES = 12;
const GIVE_UP_MIN_MS = 200;
const GIVE_UP_SPAN_MS = 1500;
const FLOOD_CLASS = 1;

function chooseLength(random: Random, { lengthScale, lengthMax }: ClassTraffic): number {
  const length = lengthScale / (1 - random.next()) ** (1 / LENGTH_SHAPE);
  return Math.round(Math.min(lengthMax, length));
}

/** Mean of the bounded Pareto length, in tokens. */
export function computeMeanLength({ lengthScale: scale, lengthMax }: ClassTraffic): number {
  const shape = LENGTH_SHAPE;
  const ratio = scale / lengthMax;
  const tail = ratio ** shape * lengthMax;
  const body = ((shape * scale) / (shape - 1)) * (1 - ratio ** (shape - 1));
  return body + tail;
}

/** Number of events in a slice with a small mean (Knuth's method for the Poisson law). */
function chooseEvents(random: Random, mean: number): number {
  const limit = Math.exp(-mean);
  let events = 0;
  let product = random.next();
  while (product > limit) {
    events += 1;
    product *= random.next();
  }
  return events;
}

function chooseOrganisation(random: Random, deployment: Deployment): string {
  let left = random.next();
  for (const { name, share } of deployment.organisations) {
    left -= share;
    if (left < 0) return name;
  }
  return deployment.organisations[0]?.name ?? '';
}

function buildPrompt(
  random: Random,
  traffic: ClassTraffic,
  number: number,
  hasSharedPrefixes: boolean,
  tokens: number,
): string {
  const prefix = hasSharedPrefixes ? `manual ${random.nextIndex(SHARED_PREFIXES)} ` : `${number} `;
  const filler = prefix.repeat(Math.ceil(traffic.promptCharacters / prefix.length));
  return `${filler.slice(0, traffic.promptCharacters)} question ${number} [length:${tokens}]`;
}

/** Draws all arrivals of a run. */
export function buildArrivals(
  deployment: Deployment,
  scenario: Scenario,
  seed: number,
  warmUpMs: number,
  windowMs: number,
): Arrival[] {
  const random = createRandom(seed);
  const capacity = computeCapacity(deployment) / 1000;
  const arrivals: Arrival[] = [];
  const scale = scenario.hasSharedPrefixes === true ? 4 : 1;

  function addArrival(traffic: ClassTraffic, atMs: number, floodedBy: string | undefined): void {
    const tokens = chooseLength(random, traffic);
    const widened = { ...traffic, promptCharacters: traffic.promptCharacters * scale };
    const isGivingUp = random.next() < (scenario.givingUp ?? 0);
    arrivals.push({
      atMs: atMs + random.next() * SLICE_MS,
      className: traffic.declaration.name,
      organisation: floodedBy ?? chooseOrganisation(random, deployment),
      tokens,
      prompt: buildPrompt(
        random,
        widened,
        arrivals.length,
        scenario.hasSharedPrefixes === true,
        tokens,
      ),
      entry: random.nextIndex(deployment.entries),
      giveUpMs: isGivingUp ? GIVE_UP_MIN_MS + random.next() * GIVE_UP_SPAN_MS : undefined,
      isFlood: floodedBy !== undefined,
      isWarmUp: atMs < warmUpMs,
    });
  }

  for (let atMs = 0; atMs < warmUpMs + windowMs; atMs += SLICE_MS) {
    const moment = Math.max(0, (atMs - warmUpMs) / windowMs);
    for (const traffic of deployment.classes) {
      const demand = scenario.getDemand(deployment, traffic.declaration.name, moment);
      const perMs = (demand * capacity) / computeMeanLength(traffic);
      const events = chooseEvents(random, perMs * SLICE_MS);
      for (let event = 0; event < events; event += 1) addArrival(traffic, atMs, undefined);
    }
    const flooded = deployment.classes[FLOOD_CLASS];
    if (scenario.flood !== undefined && flooded !== undefined && atMs >= warmUpMs) {
      const perMs = (scenario.flood * capacity) / computeMeanLength(flooded);
      const events = chooseEvents(random, perMs * SLICE_MS);
      const [floodedBy] = deployment.organisations;
      for (let event = 0; event < events; event += 1) addArrival(flooded, atMs, floodedBy?.name);
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}
