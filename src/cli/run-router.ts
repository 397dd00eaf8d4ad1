/** Runs the router of the command line; one process runs on each instance. */
import { startRouter } from '../node/router.js';
import type { Router } from '../node/router.js';
import { ROUTER_DEFAULTS, SettingsError } from '../node/settings.js';
import type { RouterOptions } from '../node/settings.js';
import { isLinkFailure } from '../peers/link-failure.js';
import { LOG_LEVELS, createLogger } from '../runtime/logger.js';
import { RELOAD_OUTCOME, runProcess } from '../runtime/process-life.js';
import type { ProcessLine, RunningServer, StartContext } from '../runtime/process-life.js';
import type { ProcessSignals } from '../runtime/process-signals.js';
import { EXIT_CODE, createCommandLine, listArguments } from './command-line.js';
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

function readArguments() {
  return createCommandLine(listArguments(), {
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
}

function buildRouterOptions(args: Awaited<ReturnType<typeof readArguments>>): RouterOptions {
  const { statsdHost } = args;
  return {
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
  };
}

function printAddresses(router: Router): void {
  process.stdout.write(
    `${JSON.stringify({
      event: 'listening',
      name: router.name,
      callers: router.callersUrl,
      operators: router.operatorsUrl,
      peers: router.peersAddress,
    })}\n`,
  );
}

/** Starts the router and runs it until the process ends. */
export function runRouter(signals: ProcessSignals): void {
  let logger = createLogger(ROUTER_DEFAULTS.logLevel, {});

  function writeLine({ event, ...line }: ProcessLine): void {
    const isFailure = event === 'process_ended' && 'exitCode' in line && line.exitCode !== 0;
    logger.log({ level: isFailure ? 'error' : 'info', message: event, ...line });
    if (isFailure) process.stderr.write(`${NAME}: ${line.detail}\n`);
  }

  async function startServer(context: StartContext): Promise<RunningServer> {
    const args = await readArguments();
    logger = createLogger(args.logLevel, { instance: args.name, dataCentre: args.dataCentre });
    const router = await startRouter(buildRouterOptions(args), { stop: context.stop });
    printAddresses(router);
    return {
      graceMs: args.drainTimeoutMs,
      drain() {
        router.drain().then(context.onDrained, context.onDrainFailed);
      },
      reload: () => writeLine({ event: 'settings_reloaded', outcome: RELOAD_OUTCOME }),
      handleUncaught(error) {
        const isLink = isLinkFailure(error);
        logger.error(isLink ? 'link_failed' : 'failed', { reason: String(error) });
        return isLink;
      },
    };
  }

  runProcess({
    signals,
    start: startServer,
    writeLine,
    isLinkFailure,
    exit: (code) => process.exit(code),
    resolveExitCode: (error) =>
      error instanceof SettingsError ? EXIT_CODE.Usage : EXIT_CODE.Failed,
  });
}
