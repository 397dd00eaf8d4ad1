#!/usr/bin/env node
/** Runs routers, engines and a service in one process on loopback, interactively or as a check. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import { SERVICE_POOL, startEmbeddedFleet, waitUntil } from '../embedded/embedded-fleet.js';
import type { EmbeddedFleet } from '../embedded/embedded-fleet.js';
import { createCompletionClient } from '../load/completion-client.js';
import type { CompletionClient } from '../load/completion-client.js';
import { buildCompletion } from '../standin/completion.js';
import type { ClassDeclaration } from '../types/declarations.js';
import type { DecisionEvent } from '../types/router-events.js';
import { EXIT_CODE, createCommandLine, listArguments, runMain } from './command-line.js';
import type { ExitCode } from './command-line.js';

const NAME = 'hyssoptally-demo';
const MODEL = 'assistant';
const KEY = 'demo-key-of-the-depots';
const RESPONSE_TOKENS_MAX = 400;
const KILL_AFTER_TOKENS = 8;

const DEMO_CLASSES: readonly ClassDeclaration[] = [
  {
    name: 'counter',
    tier: 0,
    firstTokenMs: 1400,
    betweenTokensMs: 76,
    deadlineMs: 10_000,
    floor: 0.1,
  },
  {
    name: 'reorder',
    tier: 1,
    firstTokenMs: 5000,
    betweenTokensMs: 200,
    deadlineMs: 60_000,
    floor: 0.1,
  },
  {
    name: 'history',
    tier: 2,
    firstTokenMs: 20_000,
    betweenTokensMs: 500,
    deadlineMs: 120_000,
    floor: 0.05,
  },
];

/** Records the result of one check. */
type RecordCheck = (description: string, isPassed: boolean) => void;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function formatDecision(router: string, decision: DecisionEvent): string {
  const { requestId, className, organisation, step, endpoint, detail } = decision;
  const extras = [endpoint, detail].filter((extra) => extra !== undefined).join(' ');
  return `  ${router} ${requestId.slice(0, 8)} ${className}/${organisation} ${step} ${extras}`;
}

function getUrl(fleet: EmbeddedFleet, index: number): string {
  return fleet.routers[index % fleet.routers.length]?.callersUrl ?? '';
}

async function checkClasses(fleet: EmbeddedFleet, client: CompletionClient, check: RecordCheck) {
  for (const [index, { name }] of DEMO_CLASSES.entries()) {
    const prompt = `a question for class ${name} [length:${10 + index * 5}]`;
    // Sequential, so that the printed responses do not interleave.
    // eslint-disable-next-line no-await-in-loop
    const result = await client.send({
      url: getUrl(fleet, index),
      key: KEY,
      model: MODEL,
      prompt,
      className: name,
    });
    print(`${name}: ${result.text}`);
    check(
      `the ${name} class gets the complete response to its request`,
      result.isWhole && result.text === buildCompletion(prompt, RESPONSE_TOKENS_MAX),
    );
  }
}

async function checkService(fleet: EmbeddedFleet, check: RecordCheck): Promise<void> {
  const key = randomUUID();
  const send = (index: number) =>
    request(`${getUrl(fleet, index)}/services/${SERVICE_POOL}/orders`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${KEY}`,
        'content-type': 'application/json',
        'x-hyssoptally-repeatable': 'false',
        'idempotency-key': key,
      },
      body: JSON.stringify({ order: 12 }),
    });
  const first = await send(0);
  const firstText = await first.body.text();
  // The claim is completed shortly after the response; until then the second request gets a 409.
  let second = await send(1);
  for (let attempt = 0; second.statusCode === 409 && attempt < 20; attempt += 1) {
    // eslint-disable-next-line no-await-in-loop
    await second.body.dump();
    // eslint-disable-next-line no-await-in-loop
    await new Promise<void>((resolve) => {
      setTimeout(resolve, 50);
    });
    // eslint-disable-next-line no-await-in-loop
    second = await send(1);
  }
  const secondText = await second.body.text();
  const runs = fleet.services.reduce((sum, service) => sum + (service.runs.get(key) ?? 0), 0);
  print(`order confirmation: ${firstText}`);
  check('an order sent twice through two routers ran once', runs === 1);
  check('the repeated request gets the same response', firstText === secondText);
}

async function checkConfigurationChange(fleet: EmbeddedFleet, check: RecordCheck): Promise<void> {
  const classes = fleet.files.get('10-classes.yaml') ?? '';
  const changed = new Map(fleet.files);
  changed.set('10-classes.yaml', classes.replace('deadlineMs: 60000', 'deadlineMs: 90000'));
  const { version, ms } = await fleet.publish(changed, 'demo operator');
  print(`version ${version} applied on every router after ${ms.toFixed(0)} ms`);
  check('a configuration change is applied on every router', version === 2);
}

async function checkEngineFailure(
  fleet: EmbeddedFleet,
  client: CompletionClient,
  check: RecordCheck,
) {
  const prompt = 'a long history, whose engine dies [length:60]';
  let tokens = 0;
  let killed: string | undefined;
  const result = await client.send({
    url: getUrl(fleet, 0),
    key: KEY,
    model: MODEL,
    prompt,
    className: 'history',
    onText() {
      tokens += 1;
      if (tokens !== KILL_AFTER_TOKENS) return;
      const busyEngine = fleet.engines.find(
        (engine) => engine.counts.started.size > engine.counts.completed,
      );
      killed = busyEngine?.name;
      busyEngine?.close().catch(() => undefined);
    },
  });
  print(
    `killed ${killed ?? 'nothing'} after ${KILL_AFTER_TOKENS} tokens; the caller received: ${result.text}`,
  );
  check('an engine was killed while it was responding', killed !== undefined);
  check(
    'the response is complete nevertheless',
    result.isWhole && result.text === buildCompletion(prompt, RESPONSE_TOKENS_MAX),
  );
}

async function runOnce(fleet: EmbeddedFleet): Promise<ExitCode> {
  let failureCount = 0;
  const check: RecordCheck = (description, isPassed) => {
    if (!isPassed) failureCount += 1;
    print(`${isPassed ? 'ok  ' : 'FAIL'} ${description}`);
  };
  const client = createCompletionClient();
  await checkClasses(fleet, client, check);
  await checkService(fleet, check);
  await checkConfigurationChange(fleet, check);
  await checkEngineFailure(fleet, client, check);
  const breaches = fleet.routers.reduce((sum, r) => sum + r.getStatus().invariantBreaches, 0);
  check('no invariant was violated', breaches === 0);
  await client.close();
  return failureCount === 0 ? EXIT_CODE.Ok : EXIT_CODE.Failed;
}

function printUsage(fleet: EmbeddedFleet): void {
  print('Routers of two data centres are running. Send a request:');
  print('');
  print(`  curl -N ${getUrl(fleet, 0)}/v1/chat/completions \\`);
  print(`    -H 'authorization: Bearer ${KEY}' -H 'content-type: application/json' \\`);
  print("    -H 'x-hyssoptally-class: counter' \\");
  print(
    `    -d '{"model":"${MODEL}","stream":true,"messages":[{"role":"user","content":"hello"}]}'`,
  );
  print('');
  for (const router of fleet.routers)
    print(`  ${router.name}: callers ${router.callersUrl}, operators ${router.operatorsUrl}`);
  print('');
  print('Decisions are printed below; press Ctrl-C to stop.');
}

async function runDemo(): Promise<ExitCode | undefined> {
  const args = await createCommandLine(listArguments(), {
    name: NAME,
    envPrefix: 'HYSSOPTALLY_DEMO',
    flags: ['once'],
    examples: [
      ['$0', 'run until Ctrl-C'],
      ['$0 --once', 'run all checks once and exit'],
    ],
  })
    .options({
      once: {
        type: 'boolean',
        default: false,
        describe: 'run all checks once and exit',
      },
    })
    .parseAsync();
  const fleet = await startEmbeddedFleet({
    dataCentres: ['peliyagoda', 'wattala'],
    routerCount: 4,
    engineCount: 4,
    serviceCount: 1,
    slots: 4,
    stepMs: 20,
    model: MODEL,
    classes: DEMO_CLASSES,
    organisations: [{ name: 'depots', key: KEY, classes: DEMO_CLASSES.map(({ name }) => name) }],
  });
  for (const router of fleet.routers) {
    router.events.on('decision', (decision) => print(formatDecision(router.name, decision)));
  }
  if (args.once) {
    const code = await runOnce(fleet);
    await fleet.stop();
    process.exit(code);
  }
  printUsage(fleet);
  process.on('SIGINT', () => {
    fleet.stop().then(
      () => process.exit(EXIT_CODE.Ok),
      () => process.exit(EXIT_CODE.Failed),
    );
  });
  await waitUntil('Ctrl-C', () => false, Infinity);
  return undefined;
}

runMain(NAME, runDemo);
