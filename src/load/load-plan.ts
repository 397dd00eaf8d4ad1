/** Plans a load from a seed: an open loop that never waits for responses. */
import { createRandom } from '../utils/random.js';

/** Share of a class in the load. */
export interface MixEntry {
  readonly className: string;
  readonly share: number;
}

/** One request to send. */
export interface PlannedCall {
  readonly atMs: number;
  readonly className: string;
  readonly prompt: string;
  /** Which of the routers' addresses, counted from 0. */
  readonly target: number;
}

/** Options of a load. */
export interface LoadPlanOptions {
  readonly mix: readonly MixEntry[];
  /** Requests a second. */
  readonly rate: number;
  readonly seconds: number;
  readonly seed: number;
  readonly targets: number;
}

/** Parses `counter=0.6,history=0.4`; throws an error that names the invalid part. */
export function parseMix(text: string): MixEntry[] {
  return text.split(',').map((part) => {
    const [className = '', share = ''] = part.split('=');
    const parsed = Number(share);
    if (className === '' || !(parsed > 0)) {
      throw new Error(
        `--mix ${part}: write CLASS=SHARE with a share above 0, for example counter=0.6`,
      );
    }
    return { className, share: parsed };
  });
}

/** Generates the arrivals of a Poisson process over the whole duration. */
export function buildLoadPlan(options: LoadPlanOptions): PlannedCall[] {
  const random = createRandom(options.seed);
  const total = options.mix.reduce((sum, entry) => sum + entry.share, 0);
  const calls: PlannedCall[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random.next()) * 1000) / options.rate;
    if (atMs >= options.seconds * 1000) return calls;
    let left = random.next() * total;
    const entry = options.mix.find(({ share }) => {
      left -= share;
      return left < 0;
    });
    calls.push({
      atMs,
      className: entry?.className ?? options.mix[0]?.className ?? '',
      prompt: `load ${options.seed} question ${calls.length}`,
      target: random.nextIndex(options.targets),
    });
  }
}
