/** What the operators' tool asks of a router: its state, the quarantine, the fleet's duties. */
import type { DutyStatus } from '../duties/fleet-duties.js';
import type { ListedCase } from '../quarantine/quarantine-api.js';
import type { RouterStatus } from '../types/router-status.js';
import type { ExitCode } from './command-line.js';
import { formatCases, formatDuties, formatStatus } from './format-output.js';
import { queryRouter } from './query-router.js';

/** A router's operators' port. */
export interface RouterAddress {
  readonly url: string;
  readonly secret: string;
}

/** Where answers go. */
export interface RouterCommandsOptions {
  /** Name of the program, for its messages. */
  readonly name: string;
  readonly print: (isJson: boolean, value: unknown, text: string) => void;
  readonly onFailed: (exitCode: ExitCode) => void;
}

/** The commands. */
export interface RouterCommands {
  runStatus(router: RouterAddress, isJson: boolean): Promise<void>;
  runQuarantine(router: RouterAddress, isJson: boolean): Promise<void>;
  /** Lets a content run again. */
  runRelease(
    router: RouterAddress,
    release: { readonly content: string; readonly who: string; readonly reason: string },
    isJson: boolean,
  ): Promise<void>;
  runDuties(router: RouterAddress, isJson: boolean): Promise<void>;
  /** The router leaves the duties to others for a while. */
  runStepDown(router: RouterAddress, isJson: boolean): Promise<void>;
}

/** Builds the commands. */
export function createRouterCommands(options: RouterCommandsOptions): RouterCommands {
  const { name, print, onFailed } = options;

  /** Asks a router and prints what it says. */
  async function runQuestion<T>(
    question: RouterAddress & { readonly path: string; readonly body?: object },
    isJson: boolean,
    format: (body: T) => string,
  ): Promise<void> {
    const answer = await queryRouter({ ...question, name });
    if (answer.kind === 'failed') {
      onFailed(answer.exitCode);
      return;
    }
    const body = answer.body as T;
    print(isJson, body, format(body));
  }

  return {
    runStatus: (router, isJson) =>
      runQuestion<RouterStatus>({ ...router, path: '/status' }, isJson, formatStatus),
    runQuarantine: (router, isJson) =>
      runQuestion<{ readonly cases: readonly ListedCase[] }>(
        { ...router, path: '/quarantine' },
        isJson,
        ({ cases }) => formatCases(cases),
      ),
    runRelease(router, { content, who, reason }, isJson) {
      const path = `/quarantine/${encodeURIComponent(content)}/release`;
      const question = { ...router, path, body: { who, reason } };
      return runQuestion(question, isJson, () => `released ${content}`);
    },
    runDuties: (router, isJson) =>
      runQuestion<{ readonly duties: DutyStatus | null }>(
        { ...router, path: '/duties' },
        isJson,
        ({ duties }) => formatDuties(duties),
      ),
    runStepDown: (router, isJson) =>
      runQuestion<{ readonly outcome: string }>(
        { ...router, path: '/duties/release', body: {} },
        isJson,
        ({ outcome }) => outcome,
      ),
  };
}
