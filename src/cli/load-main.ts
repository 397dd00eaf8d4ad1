#!/usr/bin/env node
/** Open-loop load generator: reports latencies and outcomes as a table or JSON. */
import { createCompletionClient } from '../load/completion-client.js';
import { buildLoadPlan, parseMix } from '../load/load-plan.js';
import { buildLoadReport } from '../load/load-report.js';
import type { ClassReport, LoadObservation } from '../load/load-report.js';
import { EXIT_CODE, createCommandLine, listArguments, runMain } from './command-line.js';
import type { ExitCode } from './command-line.js';
import { formatTable } from './format-output.js';

const NAME = 'hyssoptally-load';
/** Only loopback URLs are accepted, to keep load off systems of others. */
const LOOPBACK_URL = /^http:\/\/(127\.\d+\.\d+\.\d+|localhost|\[::1\])(:\d+)?$/;

const LOAD_FLAGS = {
  url: {
    type: 'string',
    array: true,
    demandOption: true,
    describe: 'loopback URLs of the routers’ caller ports',
  },
  key: { type: 'string', demandOption: true, describe: 'key of an organisation' },
  model: { type: 'string', default: 'assistant', describe: 'model to request' },
  mix: { type: 'string', default: 'counter=1', describe: 'request classes with their shares' },
  rate: { type: 'number', default: 10, describe: 'requests per second' },
  seconds: { type: 'number', default: 10, describe: 'duration in seconds' },
  seed: { type: 'number', default: 1, describe: 'seed for the arrival times' },
  'first-token-ms': { type: 'number', default: 1400, describe: 'target time to first token' },
  'between-tokens-ms': { type: 'number', default: 76, describe: 'target time between tokens' },
  json: { type: 'boolean', default: false, describe: 'print JSON' },
} as const;

function formatPercent(share: number): string {
  return (share * 100).toFixed(1);
}

function formatReport(classes: readonly ClassReport[]): string {
  const header = [
    'class',
    'requests',
    'complete',
    'attained %',
    'first token p50/p95 ms',
    'between tokens p95 ms',
    'good tokens/s',
    'broken tokens %',
    'not run',
    'may have run',
    'incomplete',
  ];
  const rows = classes.map((report) => [
    report.className,
    String(report.requests),
    String(report.whole),
    formatPercent(report.attainment),
    `${report.firstTokenP50Ms}/${report.firstTokenP95Ms}`,
    String(report.betweenTokensP95Ms),
    report.goodTokensPerSecond.toFixed(0),
    formatPercent(report.brokenTokensShare),
    String(report.notRun),
    String(report.mayHaveRun),
    String(report.incomplete),
  ]);
  return formatTable([header, ...rows]);
}

async function runLoad(): Promise<ExitCode> {
  const args = await createCommandLine(listArguments(), {
    name: NAME,
    envPrefix: 'HYSSOPTALLY_LOAD',
    flags: Object.keys(LOAD_FLAGS),
    examples: [
      [
        '$0 --url http://127.0.0.1:8081 --key KEY --mix counter=0.7,history=0.3 --rate 20',
        'send twenty requests per second for ten seconds',
      ],
    ],
  })
    .options(LOAD_FLAGS)
    .parseAsync();
  const urls = args.url as readonly string[];
  const rejectedUrl = urls.find((url) => !LOOPBACK_URL.test(url));
  if (rejectedUrl !== undefined)
    throw new Error(`--url ${rejectedUrl}: only loopback addresses are allowed`);
  const plan = buildLoadPlan({
    mix: parseMix(args.mix),
    rate: args.rate,
    seconds: args.seconds,
    seed: args.seed,
    targets: urls.length,
  });
  const client = createCompletionClient();
  const startedMs = performance.now();
  const pending: Promise<LoadObservation>[] = [];
  for (const { atMs, className, prompt, target } of plan) {
    const delayMs = startedMs + atMs - performance.now();
    if (delayMs > 1) {
      // Open loop: requests are sent at their scheduled times.
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        setTimeout(resolve, delayMs);
      });
    }
    const call = { url: urls[target] ?? '', key: args.key, model: args.model, prompt, className };
    pending.push(client.send(call).then((result) => ({ className, result })));
  }
  const observations = await Promise.all(pending);
  await client.close();
  const targets = { firstTokenMs: args.firstTokenMs, betweenTokensMs: args.betweenTokensMs };
  const classes = buildLoadReport(observations, targets, (performance.now() - startedMs) / 1000);
  const text = args.json
    ? JSON.stringify({ requests: plan.length, classes })
    : formatReport(classes);
  process.stdout.write(`${text}\n`);
  return EXIT_CODE.Ok;
}

runMain(NAME, runLoad);
