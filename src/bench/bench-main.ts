/** The bench's command: runs scenarios for several policies and seeds, and prints medians. */
import { Worker } from 'node:worker_threads';
import { EXIT_CODE, createCommandLine, listArguments, runMain } from '../cli/command-line.js';
import type { ExitCode } from '../cli/command-line.js';
import { formatTable } from '../cli/format-output.js';
import { DEPLOYMENTS } from './deployments.js';
import type { DeploymentName } from './deployments.js';
import { computeMedian } from './measures.js';
import type { RunMeasures } from './measures.js';
import { runOverhead } from './overhead.js';
import { COMPARED, POLICIES } from './policies.js';
import type { PolicyName } from './policies.js';
import type { RunRequest } from './run-scenario.js';
import { SCENARIOS } from './scenarios.js';

const NAME = 'bench';
const SEEDS = 3;
/** Runs at the same time, each on one thread: under half of an eight-core machine. */
const PARALLEL = 4;
const OVERHEAD = 'overhead';

/** The runs of one policy. */
interface PolicyRuns {
  readonly policy: PolicyName;
  readonly label: string;
  readonly runs: readonly RunMeasures[];
}

function runInWorker(request: RunRequest): Promise<RunMeasures> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./bench-worker.js', import.meta.url), {
      workerData: request,
    });
    worker.once('message', (measures: RunMeasures) => {
      resolve(measures);
      worker.terminate().catch(() => undefined);
    });
    worker.once('error', reject);
  });
}

/** Runs requests, some at a time, in the order given. */
async function runAll(requests: readonly RunRequest[]): Promise<RunMeasures[]> {
  const results: RunMeasures[] = [];
  let next = 0;
  async function runLane(): Promise<void> {
    while (next < requests.length) {
      const index = next;
      next += 1;
      // eslint-disable-next-line no-await-in-loop
      results[index] = await runInWorker(requests[index] as RunRequest);
    }
  }
  await Promise.all(Array.from({ length: PARALLEL }, runLane));
  return results;
}

/** Policies take turns at going first, so that none always meets a warm machine. */
function buildRequests(
  base: Omit<RunRequest, 'policy' | 'seed' | 'isWithoutFlood'>,
  policies: readonly PolicyName[],
  firstSeed: number,
): RunRequest[] {
  const isFlood = SCENARIOS.get(base.scenario)?.flood !== undefined;
  const requests: RunRequest[] = [];
  for (let offset = 0; offset < SEEDS; offset += 1) {
    const seed = firstSeed + offset;
    const order = offset % 2 === 0 ? policies : [...policies].reverse();
    for (const policy of order) {
      requests.push({ ...base, policy, seed, isWithoutFlood: false });
      if (isFlood) requests.push({ ...base, policy, seed, isWithoutFlood: true });
    }
  }
  return requests;
}

function formatShare(numbers: readonly number[]): string {
  const percent = (value: number): string => (value * 100).toFixed(1);
  const spread = `${percent(Math.min(...numbers))}-${percent(Math.max(...numbers))}`;
  return `${percent(computeMedian(numbers))} (${spread})`;
}

function buildSummaryRow({ label, runs }: PolicyRuns): string[] {
  const pick = (read: (run: RunMeasures) => number): number[] => runs.map(read);
  return [
    label,
    formatShare(pick((run) => run.goodputShare)),
    computeMedian(pick((run) => run.goodTokensPerSecond)).toFixed(0),
    formatShare(pick((run) => run.wastedShare)),
    formatShare(pick((run) => run.victimAttainment)),
    computeMedian(pick((run) => run.preempted)).toFixed(0),
    String(pick((run) => run.invariantBreaches).reduce((sum, count) => sum + count, 0)),
  ];
}

function buildClassRows({ label, runs }: PolicyRuns): string[][] {
  const [first] = runs;
  return (first?.classes ?? []).map((_, index) => {
    const classes = runs.flatMap((run) => run.classes[index] ?? []);
    const median = (read: (entry: (typeof classes)[number]) => number): number =>
      computeMedian(classes.map(read));
    return [
      label,
      classes[0]?.className ?? '',
      median((entry) => entry.requests).toFixed(0),
      formatShare(classes.map((entry) => entry.attainment)),
      formatShare(classes.map((entry) => entry.completion)),
      median((entry) => entry.completed).toFixed(0),
      formatShare(classes.map((entry) => entry.refused)),
      median((entry) => entry.refusedAfterMs).toFixed(0),
      median((entry) => entry.firstTokenP95Ms).toFixed(0),
    ];
  });
}

function printTables(policies: readonly PolicyRuns[]): void {
  const summary = [
    [
      'policy',
      'goodput % of limit',
      'tokens/s',
      'wasted %',
      'victims’ attainment %',
      'preempted',
      'breaches',
    ],
    ...policies.map(buildSummaryRow),
  ];
  const classes = [
    [
      'policy',
      'class',
      'requests',
      'attained %',
      'whole in time %',
      'finished',
      'refused %',
      'refused after ms',
      'first token p95 ms',
    ],
    ...policies.flatMap(buildClassRows),
  ];
  process.stdout.write(`${formatTable(summary)}\n\n${formatTable(classes)}\n\n`);
}

function listRuns(
  requests: readonly RunRequest[],
  measures: readonly RunMeasures[],
  policies: readonly PolicyName[],
): PolicyRuns[] {
  const collected: PolicyRuns[] = [];
  for (const policy of policies) {
    for (const isWithoutFlood of [false, true]) {
      const runs = measures.filter((_, index) => {
        const request = requests[index];
        return request?.policy === policy && request.isWithoutFlood === isWithoutFlood;
      });
      const label = isWithoutFlood ? `${policy}, no flood` : policy;
      if (runs.length > 0) collected.push({ policy, label, runs });
    }
  }
  return collected;
}

async function runBench(): Promise<ExitCode> {
  const args = await createCommandLine(listArguments(), {
    name: NAME,
    envPrefix: 'HYSSOPTALLY_BENCH',
    flags: ['deployment', 'scenario', 'policy', 'seed', 'seconds', 'json'],
    examples: [
      ['npm run bench', 'the counter burst of Kelaniya, all baselines'],
      ['npm run bench -- --deployment marche --scenario dawn-3', 'the dawn burst'],
      ['npm run bench -- --scenario overhead', 'what the router adds'],
    ],
  })
    .options({
      deployment: {
        choices: Object.keys(DEPLOYMENTS),
        default: 'kelaniya',
        describe: 'whose sizes',
      },
      scenario: {
        choices: [...SCENARIOS.keys(), OVERHEAD],
        describe: 'what happens; counter-burst for kelaniya, dawn-1.5 for marche unless named',
      },
      policy: {
        choices: Object.keys(POLICIES),
        array: true,
        default: [...COMPARED],
        describe: 'policies to compare',
      },
      seed: { type: 'number', default: 1, describe: 'first of three seeds' },
      seconds: { type: 'number', default: 10, describe: 'measured window of a run' },
      json: { type: 'boolean', default: false, describe: 'print JSON' },
    })
    .parseAsync();
  const deployment = args.deployment as DeploymentName;
  const scenario = args.scenario ?? (deployment === 'marche' ? 'dawn-1.5' : 'counter-burst');
  if (scenario === OVERHEAD) {
    await runOverhead(args.json);
    return EXIT_CODE.Ok;
  }
  const policies = args.policy as PolicyName[];
  const base = { deployment, scenario, seconds: args.seconds };
  const requests = buildRequests(base, policies, args.seed);
  const measures = await runAll(requests);
  const collected = listRuns(requests, measures, policies);
  if (args.json) {
    process.stdout.write(`${JSON.stringify({ ...base, seeds: SEEDS, collected })}\n`);
  } else {
    const about = SCENARIOS.get(scenario)?.description ?? '';
    process.stdout.write(
      `${deployment}, ${scenario}: ${about}; medians of ${SEEDS} seeds (spread)\n\n`,
    );
    printTables(collected);
  }
  const breaches = measures.reduce((sum, run) => sum + run.invariantBreaches, 0);
  return breaches === 0 ? EXIT_CODE.Ok : EXIT_CODE.Failed;
}

runMain(NAME, runBench);
