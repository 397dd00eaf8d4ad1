#!/usr/bin/env node
/** Binary of the router; one process runs on each instance. */
import { startRouter } from '../node/router.js';
import { ROUTER_DEFAULTS } from '../node/settings.js';
import { LOG_LEVELS } from '../runtime/logger.js';
import { createCommandLine, listArguments, runMain } from './command-line.js';
import { PLATFORM_FLAGS, PLATFORM_FLAG_NAMES } from './platform-flags.js';

const NAME = 'hyssoptally-router';

const ROUTER_FLAGS = {
  name: {
    type: 'string',
    demandOption: true,
    describe: 'unique name of this instance',
  },
  'data-centre': { type: 'string', demandOption: true, describe: 'data centre of this instance' },
  callers: { type: 'string', default: ROUTER_DEFAULTS.callers, describe: 'HOST:PORT for callers' },
  operators: {
    type: 'string',
    default: ROUTER_DEFAULTS.operators,
    describe: 'HOST:PORT for health checks and operators',
  },
  peers: {
    type: 'string',
    default: ROUTER_DEFAULTS.peers,
    describe: 'HOST:PORT for other routers',
  },
  'platform-instances': {
    type: 'string',
    demandOption: true,
    describe: 'URL of the platform’s instance list',
  },
  'platform-token': {
    type: 'string',
    demandOption: true,
    describe: 'token of the platform’s instance list',
  },
  'peer-secret': { type: 'string', demandOption: true, describe: 'secret shared by all routers' },
  'operator-secret': {
    type: 'string',
    demandOption: true,
    describe: 'secret for /status, /metrics and /leave',
  },
  seeds: {
    type: 'string',
    array: true,
    default: [...ROUTER_DEFAULTS.seeds],
    describe: 'HOST:PORT of peers to contact when the platform cannot be reached',
  },
  'log-level': {
    choices: [...LOG_LEVELS],
    default: ROUTER_DEFAULTS.logLevel,
    describe: 'minimum level of logged messages',
  },
  'statsd-host': { type: 'string', describe: 'StatsD host; no metrics are sent without it' },
  'statsd-port': {
    type: 'number',
    default: ROUTER_DEFAULTS.statsdPort,
    describe: 'StatsD port',
  },
  'claim-writes-per-second': {
    type: 'number',
    default: ROUTER_DEFAULTS.claimWritesPerSecond,
    describe: 'rate limit of this instance for the platform writes of non-repeatable requests',
  },
  'drain-timeout-ms': {
    type: 'number',
    default: ROUTER_DEFAULTS.drainTimeoutMs,
    describe: 'maximum wait for requests in flight when leaving',
  },
  'max-body-bytes': {
    type: 'number',
    default: ROUTER_DEFAULTS.maxBodyBytes,
    describe: 'maximum size of a request body',
  },
} as const;

async function runRouter(): Promise<undefined> {
  const args = await createCommandLine(listArguments(), {
    name: NAME,
    envPrefix: 'HYSSOPTALLY_ROUTER',
    flags: [...Object.keys(PLATFORM_FLAGS), ...Object.keys(ROUTER_FLAGS)],
    examples: [
      [
        '$0 --name entry-1 --data-centre peliyagoda --callers 0.0.0.0:8080 …',
        'start an instance (see README.md for a complete command)',
      ],
    ],
  })
    .options(PLATFORM_FLAGS)
    .demandOption(PLATFORM_FLAG_NAMES)
    .options(ROUTER_FLAGS)
    .parseAsync();
  const { statsdHost } = args;
  const router = await startRouter({
    name: args.name,
    dataCentre: args.dataCentre,
    callers: args.callers,
    operators: args.operators,
    peers: args.peers,
    platformTable: args.platformTable,
    platformObjects: args.platformObjects,
    platformInstances: args.platformInstances,
    platformAccessKeyId: args.platformAccessKeyId,
    platformSecretAccessKey: args.platformSecretAccessKey,
    platformToken: args.platformToken,
    peerSecret: args.peerSecret,
    operatorSecret: args.operatorSecret,
    seeds: [...args.seeds],
    logLevel: args.logLevel,
    statsdPort: args.statsdPort,
    claimWritesPerSecond: args.claimWritesPerSecond,
    drainTimeoutMs: args.drainTimeoutMs,
    maxBodyBytes: args.maxBodyBytes,
    ...(statsdHost === undefined ? {} : { statsdHost }),
  });
  process.stdout.write(
    `${JSON.stringify({
      event: 'listening',
      name: router.name,
      callers: router.callersUrl,
      operators: router.operatorsUrl,
      peers: router.peersAddress,
    })}\n`,
  );
  const drainOnSignal = (): void => {
    router.drain().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.on('SIGTERM', drainOnSignal);
  process.on('SIGINT', drainOnSignal);
}

runMain(NAME, runRouter);
