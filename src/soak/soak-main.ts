/** The soak's command: many seeds, each with a fault or a pair of them; prints the shortest story. */
import { EXIT_CODE, createCommandLine, listArguments, runMain } from '../cli/command-line.js';
import type { ExitCode } from '../cli/command-line.js';
import { FAULTS } from './faults.js';
import type { Fault } from './faults.js';
import { runSoak } from './soak-world.js';
import type { SoakRequest, SoakResult } from './soak-world.js';

const NAME = 'soak';
const DURATION_MS = 12_000;
const SHORTEST_MS = 2000;
const BREACHES_SHOWN = 5;

/** Every fault alone, then every pair. */
export function buildFaultSets(): readonly (readonly Fault[])[] {
  const sets: Fault[][] = [[], ...FAULTS.map((fault) => [fault])];
  FAULTS.forEach((first, index) => {
    for (const second of FAULTS.slice(index + 1)) sets.push([first, second]);
  });
  return sets;
}

/** Tries fewer faults and less time, and keeps what still breaks a promise. */
async function findShortest(request: SoakRequest): Promise<SoakRequest> {
  let best = request;
  for (const fault of request.faults) {
    const fewer = { ...best, faults: best.faults.filter((other) => other !== fault) };
    // eslint-disable-next-line no-await-in-loop
    if ((await runSoak(fewer)).breaches.length > 0) best = fewer;
  }
  while (best.durationMs / 2 >= SHORTEST_MS) {
    const shorter = { ...best, durationMs: best.durationMs / 2 };
    // eslint-disable-next-line no-await-in-loop
    if ((await runSoak(shorter)).breaches.length === 0) break;
    best = shorter;
  }
  return best;
}

function formatBreach(request: SoakRequest, result: SoakResult): string {
  return [
    `seed ${request.seed}, faults ${request.faults.join(', ') || 'none'}, ${request.durationMs} ms:`,
    ...result.breaches.slice(0, BREACHES_SHOWN).map((breach) => `  broken: ${breach}`),
    ...result.story.map((line) => `  ${line}`),
  ].join('\n');
}

async function runSeeds(): Promise<ExitCode> {
  const args = await createCommandLine(listArguments(), {
    name: NAME,
    envPrefix: 'HYSSOPTALLY_SOAK',
    flags: ['seconds', 'seed', 'seeds', 'json'],
    examples: [['npm run soak -- --seconds 300 --seed 1', 'five minutes from seed 1 on']],
  })
    .options({
      seconds: { type: 'number', default: 60, describe: 'how long to run' },
      seed: { type: 'number', default: 1, describe: 'first seed' },
      seeds: { type: 'number', default: Infinity, describe: 'seeds to run at the most' },
      json: { type: 'boolean', default: false, describe: 'print JSON' },
    })
    .parseAsync();
  const sets = buildFaultSets();
  const endsMs = performance.now() + args.seconds * 1000;
  const totals = { seeds: 0, steps: 0, sent: 0, answered: 0, returned: 0, breached: 0 };
  const met = new Set<string>();
  const stories: string[] = [];
  for (let offset = 0; offset < args.seeds && performance.now() < endsMs; offset += 1) {
    const seed = args.seed + offset;
    const faults = sets[seed % sets.length] ?? [];
    const request = { seed, faults, durationMs: DURATION_MS };
    // One seed after the other: they share the process and its memory.
    // eslint-disable-next-line no-await-in-loop
    const result = await runSoak(request);
    met.add(faults.join('+'));
    totals.seeds += 1;
    totals.steps += result.steps;
    totals.sent += result.sent;
    totals.answered += result.answered;
    totals.returned += result.returned;
    if (result.breaches.length > 0) {
      totals.breached += 1;
      // eslint-disable-next-line no-await-in-loop
      const shortest = await findShortest(request);
      // eslint-disable-next-line no-await-in-loop
      const story = formatBreach(shortest, await runSoak(shortest));
      stories.push(story);
      if (!args.json) process.stdout.write(`${story}\n`);
    }
  }
  const summary = { ...totals, faultSets: met.size, ofFaultSets: sets.length };
  if (args.json) process.stdout.write(`${JSON.stringify({ ...summary, stories })}\n`);
  else {
    process.stdout.write(
      `${totals.seeds} seeds, ${totals.steps} steps, ${totals.sent} requests (${totals.answered} answered, ${totals.returned} sent once more), ` +
        `${met.size} of ${sets.length} fault sets, ${totals.breached} seeds with a breach\n`,
    );
  }
  return totals.breached === 0 ? EXIT_CODE.Ok : EXIT_CODE.Failed;
}

runMain(NAME, runSeeds);
