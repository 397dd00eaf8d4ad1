/** The command `hyssoptally-ctl check`: reads the files and the reference, and prints the findings. */
import {
  buildCompiledFiles,
  checkConfiguration,
} from '../configuration/check/check-configuration.js';
import type { CompiledFiles } from '../configuration/check/check-configuration.js';
import { isFault } from '../configuration/check/findings.js';
import { buildPrintedFinding, formatFindings } from '../configuration/check/format-findings.js';
import { formatDeclarationError } from '../configuration/declaration-error.js';
import { formatPublishError, loadPublished } from '../configuration/publish.js';
import { readPaths } from '../configuration/read-paths.js';
import type { FolderFiles } from '../configuration/manifest.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import { EXIT_CODE } from './command-line.js';
import type { ExitCode } from './command-line.js';
import { PLATFORM_FLAG_NAMES } from './platform-flags.js';
import type { StoreConnection } from './platform-flags.js';

/** Value of `--against` for the version in force. */
const CURRENT = 'current';

export const CHECK_FLAGS = {
  against: {
    type: 'string',
    array: true,
    describe: `files or a folder to compare with, or \`${CURRENT}\` for the version in force`,
  },
} as const;

export interface CheckArguments {
  /** Files or folders. */
  readonly files: readonly string[];
  readonly against: readonly string[] | undefined;
  readonly json: boolean;
}

export interface CheckCommandOptions {
  readonly print: (isJson: boolean, value: unknown, text: string) => void;
  readonly printError: (text: string) => void;
  /** Opens the platform's store; undefined if its flags are not given. */
  readonly openStore: () => StoreConnection | undefined;
}

export interface CheckCommand {
  /**
   * Returns `Ok` if nothing is wrong, `Failed` if there are faults, `Usage` if the files or the
   * reference cannot be read. Differences from the reference are printed, but are not faults.
   */
  run(args: CheckArguments): Promise<ExitCode>;
}

interface Reference {
  readonly name: string;
  readonly compiled: CompiledFiles;
}

export function createCheckCommand(options: CheckCommandOptions): CheckCommand {
  const { print, printError, openStore } = options;

  async function loadCurrent(): Promise<Result<readonly [string, FolderFiles], string>> {
    const connection = openStore();
    if (connection === undefined) {
      const flags = PLATFORM_FLAG_NAMES.map((flag) => `--${flag}`).join(', ');
      return Err(`--against ${CURRENT} reads the platform; set ${flags}`);
    }
    try {
      const published = await loadPublished(connection.store, undefined);
      if (published.err) return Err(formatPublishError(published.val));
      return Ok([`version ${published.val.version}`, published.val.files]);
    } finally {
      await connection.close();
    }
  }

  async function loadReference(paths: readonly string[]): Promise<Result<Reference, string>> {
    const isCurrent = paths.length === 1 && paths[0] === CURRENT;
    const loaded = isCurrent
      ? await loadCurrent()
      : (await readPaths(paths)).map((files) => [paths.join(', '), files] as const);
    if (loaded.err) return loaded;
    const [name, files] = loaded.val;
    return buildCompiledFiles(files)
      .map((compiled) => ({ name, compiled }))
      .mapErr((errors) => {
        const lines = errors.map(formatDeclarationError).join('\n');
        return `cannot compare with ${name}, which does not compile:\n${lines}`;
      });
  }

  return {
    async run({ files: paths, against, json }) {
      const files = await readPaths(paths);
      if (files.err) {
        printError(files.val);
        return EXIT_CODE.Usage;
      }
      const reference = against === undefined ? undefined : await loadReference(against);
      if (reference?.err === true) {
        printError(reference.val);
        return EXIT_CODE.Usage;
      }
      const findings = checkConfiguration(files.val, reference?.val.compiled);
      const summary = { files: files.val.size, reference: reference?.val.name };
      print(json, findings.map(buildPrintedFinding), formatFindings(findings, summary));
      return findings.some(isFault) ? EXIT_CODE.Failed : EXIT_CODE.Ok;
    },
  };
}
