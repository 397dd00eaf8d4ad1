/** Commands of `hyssoptally-ctl` that call a router. */
import type { DutyStatus } from '../duties/fleet-duties.js';
import type { ListedNotice } from '../endpoint-availability/availability-api.js';
import type { ListedLimit } from '../endpoint-limits/limits-api.js';
import type { KnownTiming } from '../placement/timings-api.js';
import type { ListedPace } from '../endpoint-pace/paces-api.js';
import type { ListedBrittle, ListedPath } from '../forwarding/paths-api.js';
import type { ListedCase } from '../quarantine/quarantine-api.js';
import type { RouterStatus } from '../types/router-status.js';
import type { ExitCode } from './command-line.js';
import {
  formatBrittle,
  formatPaces,
  formatTimings,
  formatQuarantine,
  formatDuties,
  formatLimits,
  formatNotices,
  formatPaths,
  formatStatus,
} from './format-output.js';
import { queryRouter } from './query-router.js';

/** URL and secret of a router's operator port. */
export interface RouterAddress {
  readonly url: string;
  readonly secret: string;
}

export interface RouterCommandsOptions {
  /** Name of the program, for error messages. */
  readonly name: string;
  readonly print: (isJson: boolean, value: unknown, text: string) => void;
  readonly onFailed: (exitCode: ExitCode) => void;
}

export interface RouterCommands {
  runStatus(router: RouterAddress, isJson: boolean): Promise<void>;
  runQuarantine(router: RouterAddress, isJson: boolean): Promise<void>;
  /** Releases a request content from quarantine. */
  runRelease(
    router: RouterAddress,
    release: { readonly content: string; readonly who: string; readonly reason: string },
    isJson: boolean,
  ): Promise<void>;
  /** Lists the endpoints that name a rate limit. */
  runLimits(router: RouterAddress, isJson: boolean): Promise<void>;
  /** Lists the endpoints that said that they are leaving or want rest. */
  runNotices(router: RouterAddress, isJson: boolean): Promise<void>;
  runPaths(router: RouterAddress, isJson: boolean): Promise<void>;
  runBrittle(router: RouterAddress, isJson: boolean): Promise<void>;
  runPaces(router: RouterAddress, isJson: boolean): Promise<void>;
  runTimings(router: RouterAddress, isJson: boolean): Promise<void>;
  runDuties(router: RouterAddress, isJson: boolean): Promise<void>;
  /** Makes the router release the fleet duties to another one. */
  runStepDown(router: RouterAddress, isJson: boolean): Promise<void>;
}

export function createRouterCommands(options: RouterCommandsOptions): RouterCommands {
  const { name, print, onFailed } = options;

  async function runRequest<T>(
    request: RouterAddress & { readonly path: string; readonly body?: object },
    isJson: boolean,
    format: (body: T) => string,
  ): Promise<void> {
    const response = await queryRouter({ ...request, name });
    if (response.kind === 'failed') {
      onFailed(response.exitCode);
      return;
    }
    const body = response.body as T;
    print(isJson, body, format(body));
  }

  return {
    runStatus: (router, isJson) =>
      runRequest<RouterStatus>({ ...router, path: '/status' }, isJson, formatStatus),
    runQuarantine: (router, isJson) =>
      runRequest<{ readonly cases: readonly ListedCase[] }>(
        { ...router, path: '/quarantine' },
        isJson,
        ({ cases }) => formatQuarantine(cases),
      ),
    runRelease(router, { content, who, reason }, isJson) {
      const path = `/quarantine/${encodeURIComponent(content)}/release`;
      const request = { ...router, path, body: { who, reason } };
      return runRequest(request, isJson, () => `released ${content}`);
    },
    runLimits: (router, isJson) =>
      runRequest<{ readonly limits: readonly ListedLimit[] }>(
        { ...router, path: '/limits' },
        isJson,
        ({ limits }) => formatLimits(limits),
      ),
    runNotices: (router, isJson) =>
      runRequest<{ readonly notices: readonly ListedNotice[] }>(
        { ...router, path: '/notices' },
        isJson,
        ({ notices }) => formatNotices(notices),
      ),
    runPaths: (router, isJson) =>
      runRequest<{ readonly paths: readonly ListedPath[] }>(
        { ...router, path: '/paths' },
        isJson,
        ({ paths }) => formatPaths(paths),
      ),
    runBrittle: (router, isJson) =>
      runRequest<{ readonly brittle: readonly ListedBrittle[] }>(
        { ...router, path: '/brittle' },
        isJson,
        ({ brittle }) => formatBrittle(brittle),
      ),
    runTimings: (router, isJson) =>
      runRequest<{ readonly timings: readonly KnownTiming[] }>(
        { ...router, path: '/timings' },
        isJson,
        ({ timings }) => formatTimings(timings),
      ),
    runPaces: (router, isJson) =>
      runRequest<{ readonly paces: readonly ListedPace[] }>(
        { ...router, path: '/paces' },
        isJson,
        ({ paces }) => formatPaces(paces),
      ),
    runDuties: (router, isJson) =>
      runRequest<{ readonly duties: DutyStatus | null }>(
        { ...router, path: '/duties' },
        isJson,
        ({ duties }) => formatDuties(duties),
      ),
    runStepDown: (router, isJson) =>
      runRequest<{ readonly outcome: string }>(
        { ...router, path: '/duties/release', body: {} },
        isJson,
        ({ outcome }) => outcome,
      ),
  };
}
