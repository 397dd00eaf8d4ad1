/** Command-line parsing and exit codes for all binaries. */
import leven from 'leven';
import yargs from 'yargs';
import type { Argv, Options } from 'yargs';

export const EXIT_CODE = {
  Ok: 0,
  /** The command or a check failed. */
  Failed: 1,
  /** The command line or a setting is invalid, or files to check cannot be read. */
  Usage: 2,
  /** Another operator made a conflicting change. */
  Conflict: 3,
  /** The platform or a router could not be reached. */
  Unavailable: 4,
} as const;
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Maximum edit distance between an unknown flag and a suggested one. */
const SUGGESTION_DISTANCE_MAX = 4;

export type FlagSet = Readonly<Record<string, Options>>;

export interface CommandLineOptions {
  readonly name: string;
  /** Prefix of its environment variables. */
  readonly envPrefix: string;
  /** The flags of all commands, for suggestions. */
  readonly flags: readonly string[];
  readonly examples: readonly (readonly [string, string])[];
}

function findNearest(unknown: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map((flag) => ({ flag, distance: leven(unknown, flag) }))
    .sort((a, b) => a.distance - b.distance);
  const [best] = ranked;
  return best !== undefined && best.distance <= SUGGESTION_DISTANCE_MAX ? best.flag : undefined;
}

function formatUnknownFlag(message: string, known: readonly string[]): string {
  const unknown = /Unknown arguments?: (.+)/.exec(message)?.[1]?.split(', ')[0];
  if (unknown === undefined) return message;
  const nearest = findNearest(unknown, known);
  const hint = nearest === undefined ? 'see --help' : `did you mean --${nearest}?`;
  return `Unknown flag or command: ${unknown}; ${hint}`;
}

/** Creates a parser in which every flag can also be set by an environment variable. */
export function createCommandLine(args: readonly string[], options: CommandLineOptions): Argv {
  const parser = yargs([...args])
    .scriptName(options.name)
    .env(options.envPrefix)
    .strict()
    .help()
    .version(false)
    .wrap(100)
    .epilogue(
      `Every flag can also be set by an environment variable: --some-flag by ${options.envPrefix}_SOME_FLAG.\n` +
        'Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict, 4 platform or router unreachable.',
    );
  for (const [command, description] of options.examples) parser.example(command, description);
  parser.fail((message, error) => {
    const text = message === null || message === undefined ? String(error?.message) : message;
    process.stderr.write(`${options.name}: ${formatUnknownFlag(text, options.flags)}\n`);
    process.exit(EXIT_CODE.Usage);
  });
  return parser;
}

/** Runs a binary's main function; if it throws, prints the error and exits. */
export function runMain(name: string, main: () => Promise<ExitCode | undefined>): void {
  main()
    .then((code) => {
      if (code !== undefined) process.exitCode = code;
    })
    .catch((error: unknown) => {
      const isUsage = error instanceof Error && error.name === 'SettingsError';
      const text = error instanceof Error ? error.message : String(error);
      process.stderr.write(`${name}: ${text}\n`);
      process.exit(isUsage ? EXIT_CODE.Usage : EXIT_CODE.Failed);
    });
}

export function listArguments(): string[] {
  return process.argv.slice(2);
}
