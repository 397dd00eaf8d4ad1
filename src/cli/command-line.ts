/** What the binaries share: flags, environment, unknown flags, exit codes. */
import leven from 'leven';
import yargs from 'yargs';
import type { Argv, Options } from 'yargs';

/** Exit codes of every binary. */
export const EXIT_CODE = {
  Ok: 0,
  /** Something asked for failed, or a check did not hold. */
  Failed: 1,
  /** The command line or a setting is wrong. */
  Usage: 2,
  /** The other side changed the same thing. */
  Conflict: 3,
  /** The platform or a router did not answer. */
  Unavailable: 4,
} as const;
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Edits between an unknown flag and the one suggested, at the most. */
const SUGGESTION_DISTANCE = 4;

/** Flags of one command. */
export type FlagSet = Readonly<Record<string, Options>>;

/** A binary's frame. */
export interface CommandLineOptions {
  readonly name: string;
  /** Prefix of its environment variables. */
  readonly envPrefix: string;
  /** Every flag of every command, to suggest the nearest for one that is unknown. */
  readonly flags: readonly string[];
  readonly examples: readonly (readonly [string, string])[];
}

function findNearest(unknown: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map((flag) => ({ flag, distance: leven(unknown, flag) }))
    .sort((a, b) => a.distance - b.distance);
  const [best] = ranked;
  return best !== undefined && best.distance <= SUGGESTION_DISTANCE ? best.flag : undefined;
}

function formatUnknown(message: string, known: readonly string[]): string {
  const unknown = /Unknown arguments?: (.+)/.exec(message)?.[1]?.split(', ')[0];
  if (unknown === undefined) return message;
  const nearest = findNearest(unknown, known);
  const hint = nearest === undefined ? 'see --help' : `did you mean --${nearest}?`;
  return `Unknown flag or command: ${unknown}; ${hint}`;
}

/** Builds a parser in which every flag is also an environment variable. */
export function createCommandLine(args: readonly string[], options: CommandLineOptions): Argv {
  const parser = yargs([...args])
    .scriptName(options.name)
    .env(options.envPrefix)
    .strict()
    .help()
    .version(false)
    .wrap(100)
    .epilogue(
      `Every flag is also an environment variable: --some-flag is ${options.envPrefix}_SOME_FLAG.\n` +
        'Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 platform or router unreachable.',
    );
  for (const [command, description] of options.examples) parser.example(command, description);
  parser.fail((message, error) => {
    const text = message === null || message === undefined ? String(error?.message) : message;
    process.stderr.write(`${options.name}: ${formatUnknown(text, options.flags)}\n`);
    process.exit(EXIT_CODE.Usage);
  });
  return parser;
}

/** Runs a binary's main function; what it throws ends the process with a message. */
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

/** Arguments after the program's own name. */
export function listArguments(): string[] {
  return process.argv.slice(2);
}
