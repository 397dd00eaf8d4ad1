#!/usr/bin/env node
/** Command-line tool for operators: manages declarations and shows the state of routers. */
import { randomBytes, randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { createCompiler } from '../configuration/compile-files.js';
import { formatDeclarationError } from '../configuration/declaration-error.js';
import { buildManifest, compareManifests } from '../configuration/manifest.js';
import type { FileChange } from '../configuration/manifest.js';
import { formatPublishError, loadPublished, publishFiles } from '../configuration/publish.js';
import type { PublishError, PublishRequest } from '../configuration/publish.js';
import { readFolder } from '../configuration/read-folder.js';
import type { ConfigurationStore } from '../configuration/store.js';
import { listRequestHistory } from '../observability/explain.js';
import { hashText } from '../utils/hash.js';
import { CHECK_FLAGS, createCheckCommand } from './check-command.js';
import { EXIT_CODE, createCommandLine, listArguments, runMain } from './command-line.js';
import type { ExitCode } from './command-line.js';
import { formatChanges, formatHistory } from './format-output.js';
import {
  PLATFORM_FLAGS,
  PLATFORM_FLAG_NAMES,
  findPlatformArguments,
  openConfigurationStore,
} from './platform-flags.js';
import type { PlatformArguments } from './platform-flags.js';
import { createRouterCommands } from './router-commands.js';

const NAME = 'hyssoptally-ctl';
const KEY_BYTES = 32;

const JSON_FLAG = {
  json: { type: 'boolean', default: false, describe: 'print JSON' },
} as const;

const AUTHOR_FLAGS = {
  who: {
    type: 'string',
    default: userInfo().username,
    describe: 'author of the change, for the audit trail',
  },
  reason: { type: 'string', default: '', describe: 'reason for the change, for the audit trail' },
} as const;

const APPLY_FLAGS = {
  only: { type: 'string', array: true, describe: 'names of the files to publish' },
  base: { type: 'number', describe: 'version the files were edited from' },
} as const;

const HISTORY_FLAGS = {
  limit: { type: 'number', default: 20, describe: 'number of records to show' },
} as const;

const STATUS_FLAGS = {
  router: { type: 'string', describe: 'URL of a router’s operator port' },
  'operator-secret': { type: 'string', describe: 'secret of the operator port' },
} as const;

let exitCode: ExitCode = EXIT_CODE.Ok;

function runExplain(requestId: string, files: readonly string[], isJson: boolean): void {
  const lines = files.flatMap((file) => readFileSync(file, 'utf8').split('\n'));
  const history = listRequestHistory(requestId, lines);
  if (history.length === 0) exitCode = EXIT_CODE.Failed;
  const notFoundMessage = `no log line mentions request ${requestId}; check lines_left_out and the logs of other instances`;
  print(isJson, history, history.length === 0 ? notFoundMessage : history.join('\n'));
}

function print(isJson: boolean, value: unknown, text: string): void {
  process.stdout.write(isJson ? `${JSON.stringify(value, undefined, 2)}\n` : `${text}\n`);
}

function printError(isJson: boolean, error: PublishError): void {
  const text = formatPublishError(error);
  if (isJson) print(true, { error, message: text }, text);
  else process.stderr.write(`${NAME}: ${text}\n`);
  switch (error.kind) {
    case 'conflict':
    case 'raced':
      exitCode = EXIT_CODE.Conflict;
      break;
    case 'platform':
    case 'uncertain':
      exitCode = EXIT_CODE.Unavailable;
      break;
    default:
      exitCode = EXIT_CODE.Failed;
  }
}

async function runWithStore(
  args: PlatformArguments,
  run: (store: ConfigurationStore) => Promise<void>,
): Promise<void> {
  const connection = openConfigurationStore(args);
  try {
    await run(connection.store);
  } finally {
    await connection.close();
  }
}

async function runValidate(folder: string, isJson: boolean): Promise<void> {
  const files = await readFolder(folder);
  const compiled = createCompiler().build(files, 0);
  if (compiled.err) {
    exitCode = EXIT_CODE.Failed;
    const text = compiled.val.map(formatDeclarationError).join('\n');
    print(isJson, { errors: compiled.val }, text);
    return;
  }
  const { classes, organisations, pools } = compiled.val;
  const counts = {
    files: files.size,
    classes: classes.size,
    organisations: organisations.size,
    pools: pools.size,
  };
  const text = `valid: ${counts.files} files, ${counts.classes} classes, ${counts.organisations} organisations, ${counts.pools} pools`;
  print(isJson, counts, text);
}

async function runDiff(store: ConfigurationStore, folder: string, isJson: boolean): Promise<void> {
  const files = await readFolder(folder);
  const published = await loadPublished(store, undefined);
  if (published.err) {
    printError(isJson, published.val);
    return;
  }
  const before = buildManifest(published.val.files);
  const changes: FileChange[] = compareManifests(before, buildManifest(files));
  const { version } = published.val;
  print(isJson, { version, changes }, formatChanges(version, changes, published.val.files, files));
}

async function runPublish(
  store: ConfigurationStore,
  publishRequest: PublishRequest,
  isJson: boolean,
): Promise<void> {
  const published = await publishFiles(store, publishRequest);
  if (published.err) {
    printError(isJson, published.val);
    return;
  }
  const { version, changes } = published.val;
  const names = changes.map((change) => change.name).join(', ');
  const text =
    changes.length === 0
      ? `no changes; version ${version} remains current`
      : `version ${version}: ${names}`;
  print(isJson, { version, changes }, text);
}

async function runRollback(
  store: ConfigurationStore,
  to: number,
  author: { readonly who: string; readonly reason: string },
  isJson: boolean,
): Promise<void> {
  const published = await loadPublished(store, to);
  if (published.err) {
    printError(isJson, published.val);
    return;
  }
  await runPublish(
    store,
    {
      files: published.val.files,
      only: undefined,
      baseVersion: undefined,
      who: author.who,
      reason: author.reason === '' ? `rollback to version ${to}` : author.reason,
      atMs: Date.now(),
      publishId: randomUUID(),
    },
    isJson,
  );
}

async function runHistory(
  store: ConfigurationStore,
  limit: number,
  isJson: boolean,
): Promise<void> {
  const records = await store.listAudit(limit);
  if (records.err) {
    printError(isJson, { kind: 'platform', error: records.val });
    return;
  }
  print(isJson, records.val, formatHistory(records.val));
}

const routerCommands = createRouterCommands({
  name: NAME,
  print,
  onFailed(code) {
    exitCode = code;
  },
});

function runKey(isJson: boolean): void {
  const key = `hyk_${randomBytes(KEY_BYTES).toString('base64url')}`;
  const hash = `sha256:${hashText(key)}`;
  print(
    isJson,
    { key, hash },
    `key (give it to the organisation, it is shown once): ${key}\nhash (declare it): ${hash}`,
  );
}

async function runCtl(): Promise<ExitCode> {
  await createCommandLine(listArguments(), {
    name: NAME,
    envPrefix: 'HYSSOPTALLY_CTL',
    flags: Object.keys({
      ...JSON_FLAG,
      ...CHECK_FLAGS,
      ...AUTHOR_FLAGS,
      ...APPLY_FLAGS,
      ...HISTORY_FLAGS,
      ...STATUS_FLAGS,
      ...PLATFORM_FLAGS,
    }),
    examples: [
      ['$0 validate examples/kelaniya', 'validate a folder without the platform'],
      ['$0 check examples/kelaniya --against current', 'check a change before it is published'],
      ['$0 apply examples/kelaniya --who nimal --reason "new depot"', 'publish a folder'],
      ['$0 apply folder --only team-a.yaml', 'publish one team’s file only'],
      [
        '$0 status --router http://127.0.0.1:9090',
        'show the state of the fleet from one router’s view',
      ],
    ],
  })
    // Strict parsing also covers environment variables, so every command accepts the flags of all.
    .options({ ...JSON_FLAG, ...PLATFORM_FLAGS, ...STATUS_FLAGS, ...HISTORY_FLAGS })
    .options({ ...AUTHOR_FLAGS, ...APPLY_FLAGS, ...CHECK_FLAGS })
    .command(
      'validate <folder>',
      'validate a folder of declarations',
      (command) => command.positional('folder', { type: 'string', demandOption: true }),
      (args) => runValidate(args.folder, args.json),
    )
    .command(
      'check <files..>',
      'check files or a folder, and compare them with others or with the current version',
      (command) => command.positional('files', { type: 'string', array: true, demandOption: true }),
      async (args) => {
        exitCode = await createCheckCommand({
          print,
          printError: (text) => process.stderr.write(`${NAME}: ${text}\n`),
          openStore() {
            const platform = findPlatformArguments(args);
            return platform === undefined ? undefined : openConfigurationStore(platform);
          },
        }).run(args);
      },
    )
    .command(
      'diff <folder>',
      'compare a folder with the current version',
      (command) =>
        command
          .positional('folder', { type: 'string', demandOption: true })
          .demandOption(PLATFORM_FLAG_NAMES),
      (args) => runWithStore(args, (store) => runDiff(store, args.folder, args.json)),
    )
    .command(
      'apply <folder>',
      'publish a folder as a new version',
      (command) =>
        command
          .positional('folder', { type: 'string', demandOption: true })
          .demandOption(PLATFORM_FLAG_NAMES),
      async (args) => {
        const files = await readFolder(args.folder);
        await runWithStore(args, (store) =>
          runPublish(
            store,
            {
              files,
              only: args.only,
              baseVersion: args.base,
              who: args.who,
              reason: args.reason,
              atMs: Date.now(),
              publishId: randomUUID(),
            },
            args.json,
          ),
        );
      },
    )
    .command(
      'rollback <version>',
      'publish the files of an earlier version as a new version',
      (command) =>
        command
          .positional('version', { type: 'number', demandOption: true })
          .demandOption(PLATFORM_FLAG_NAMES),
      (args) => runWithStore(args, (store) => runRollback(store, args.version, args, args.json)),
    )
    .command(
      'history',
      'show the audit trail, newest first',
      (command) => command.demandOption(PLATFORM_FLAG_NAMES),
      (args) => runWithStore(args, (store) => runHistory(store, args.limit, args.json)),
    )
    .command(
      'status',
      'show instances, endpoints and configuration versions',
      (command) => command.demandOption(['router', 'operator-secret']),
      (args) =>
        routerCommands.runStatus({ url: args.router, secret: args.operatorSecret }, args.json),
    )
    .command(
      'quarantine',
      'list requests on which endpoints crashed, with their quarantine state',
      (command) => command.demandOption(['router', 'operator-secret']),
      (args) =>
        routerCommands.runQuarantine({ url: args.router, secret: args.operatorSecret }, args.json),
    )
    .command(
      'release <content>',
      'release a quarantined request on all instances; requires --reason',
      (command) =>
        command
          .positional('content', { type: 'string', demandOption: true })
          .demandOption(['router', 'operator-secret', 'reason']),
      (args) =>
        routerCommands.runRelease(
          { url: args.router, secret: args.operatorSecret },
          { content: args.content, who: args.who, reason: args.reason },
          args.json,
        ),
    )
    .command(
      'limits',
      'list endpoints that name a rate limit for all instances together',
      (command) => command.demandOption(['router', 'operator-secret']),
      (args) =>
        routerCommands.runLimits({ url: args.router, secret: args.operatorSecret }, args.json),
    )
    .command(
      'notices',
      'list endpoints that said that they are leaving or want rest',
      (command) => command.demandOption(['router', 'operator-secret']),
      (args) =>
        routerCommands.runNotices({ url: args.router, secret: args.operatorSecret }, args.json),
    )
    .command(
      'paths',
      'list endpoints that the router does not reach, with the evidence',
      (command) => command.demandOption(['router', 'operator-secret']),
      (args) =>
        routerCommands.runPaths({ url: args.router, secret: args.operatorSecret }, args.json),
    )
    .command(
      'brittle',
      'list endpoints that crash if they have to reject too many requests',
      (command) => command.demandOption(['router', 'operator-secret']),
      (args) =>
        routerCommands.runBrittle({ url: args.router, secret: args.operatorSecret }, args.json),
    )
    .command(
      'timings',
      'list engines with the pauses of their streams and their reading speed',
      (command) => command.demandOption(['router', 'operator-secret']),
      (args) =>
        routerCommands.runTimings({ url: args.router, secret: args.operatorSecret }, args.json),
    )
    .command(
      'paces',
      'list endpoints whose calls are limited since they started or failed',
      (command) => command.demandOption(['router', 'operator-secret']),
      (args) =>
        routerCommands.runPaces({ url: args.router, secret: args.operatorSecret }, args.json),
    )
    .command(
      'duties [step-down]',
      'show the holder of the fleet duties; step-down: make the router hand them over',
      (command) =>
        command
          .positional('step-down', { choices: ['step-down'] as const })
          .demandOption(['router', 'operator-secret']),
      (args) => {
        const router = { url: args.router, secret: args.operatorSecret };
        return args.stepDown === undefined
          ? routerCommands.runDuties(router, args.json)
          : routerCommands.runStepDown(router, args.json);
      },
    )
    .command(
      'key',
      'generate a key for an organisation',
      (command) => command,
      (args) => runKey(args.json),
    )
    .command(
      'explain <request> <files..>',
      'show the history of a request from the logs of several instances',
      (command) =>
        command
          .positional('request', { type: 'string', demandOption: true })
          .positional('files', { type: 'string', array: true, demandOption: true }),
      (args) => runExplain(args.request, args.files, args.json),
    )
    .demandCommand(1, 'a command is required; see --help')
    .parseAsync();
  return exitCode;
}

runMain(NAME, runCtl);
