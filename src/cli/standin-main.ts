#!/usr/bin/env node
/** Runs a simulated platform, engine or service for tests. */
import { startEngineStandin } from '../standin/engine.js';
import type { RunningServer } from '../standin/http-server.js';
import { startPlatformStandin, STANDIN_CREDENTIALS } from '../standin/platform.js';
import { startServiceStandin } from '../standin/service.js';
import { createCommandLine, listArguments, runMain } from './command-line.js';

const NAME = 'hyssoptally-standin';

const PORT_FLAG = {
  port: { type: 'number', default: 0, describe: 'port to listen on; 0 for any free port' },
} as const;

const PLATFORM_STANDIN_FLAGS = {
  'list-lag-ms': {
    type: 'number',
    default: 2000,
    describe: 'delay before a change appears in the instance list',
  },
} as const;

const ENGINE_FLAGS = {
  name: { type: 'string', default: 'engine', describe: 'name of the engine' },
  'step-ms': { type: 'number', default: 30, describe: 'duration of one step' },
  'nearly-full-factor': {
    type: 'number',
    default: 1,
    describe: 'factor on the time of steps while nearly all slots are in use',
  },
  'slow-factor': { type: 'number', default: 1, describe: 'factor on steps in slow intervals' },
  'slow-interval-ms': { type: 'number', default: 600, describe: 'length of an interval' },
  'slow-every': {
    type: 'number',
    default: 0,
    describe: 'one interval in this many is slow; 0 for none',
  },
  slots: { type: 'number', default: 8, describe: 'maximum number of requests in a batch' },
  models: { type: 'string', array: true, default: [], describe: 'models loaded at start' },
  fencing: {
    type: 'boolean',
    default: true,
    describe: 'refuse orders with an outdated fencing token',
  },
} as const;

const SERVICE_FLAGS = {
  name: { type: 'string', default: 'service', describe: 'name of the service' },
} as const;

function printListening(kind: string, server: RunningServer): void {
  process.stdout.write(`${JSON.stringify({ event: 'listening', kind, url: server.url })}\n`);
  const stop = (): void => {
    server.close().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

async function runStandin(): Promise<undefined> {
  await createCommandLine(listArguments(), {
    name: NAME,
    envPrefix: 'HYSSOPTALLY_STANDIN',
    flags: Object.keys({
      ...PORT_FLAG,
      ...PLATFORM_STANDIN_FLAGS,
      ...ENGINE_FLAGS,
      ...SERVICE_FLAGS,
    }),
    examples: [
      ['$0 platform --port 7000', 'a platform'],
      ['$0 engine --name engine-1 --port 7101 --models assistant', 'a model engine'],
      ['$0 service --name orders --port 7201', 'a plain service'],
    ],
  })
    .command(
      'platform',
      `table service, object store and instance list (key ${STANDIN_CREDENTIALS.accessKeyId}, secret ${STANDIN_CREDENTIALS.secretAccessKey}, token ${STANDIN_CREDENTIALS.token})`,
      (command) => command.options(PORT_FLAG).options(PLATFORM_STANDIN_FLAGS),
      async (args) => {
        printListening(
          'platform',
          await startPlatformStandin({ port: args.port, listLagMs: args.listLagMs }),
        );
      },
    )
    .command(
      'engine',
      'a model engine',
      (command) => command.options(PORT_FLAG).options(ENGINE_FLAGS),
      async (args) => {
        const engine = await startEngineStandin({
          name: args.name,
          port: args.port,
          stepMs: args.stepMs,
          nearlyFullFactor: args.nearlyFullFactor,
          slowFactor: args.slowFactor,
          slowIntervalMs: args.slowIntervalMs,
          slowEvery: args.slowEvery,
          slots: args.slots,
          models: args.models,
          isFencing: args.fencing,
        });
        printListening('engine', engine);
      },
    )
    .command(
      'service',
      'a plain service that counts the requests it ran',
      (command) => command.options(PORT_FLAG).options(SERVICE_FLAGS),
      async (args) => {
        printListening('service', await startServiceStandin(args.name, args.port));
      },
    )
    .demandCommand(1, 'a stand-in is required: platform, engine or service')
    .parseAsync();
}

runMain(NAME, runStandin);
