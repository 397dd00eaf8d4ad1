/** A knowledge store on simulated tables of the source, in real time. */
import type { ExecutionContext } from 'ava';
import { createKnowledgeStore } from '../gateway/knowledge-store.js';
import type { KnowledgeStore, RowDecoder } from '../gateway/knowledge-store.js';
import type { FetchKnowledgeRequest, FetchKnowledgeResponse } from '../gen/peer_pb.js';
import type { FeedResponse, FeedReader, FeedRow } from '../knowledge/feed.js';
import type { WatchRole } from '../knowledge/watch-role.js';
import { createSystemClock } from '../runtime/clock.js';
import { createTimerService } from '../runtime/timer-service.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';

/** A test fails when the state that it needs is not reached within this time. */
const WAIT_MAX_MS = 10_000;
const WAIT_STEP_MS = 5;
/** Timers count whole milliseconds, so one can fire up to this much early. */
const TIMER_EARLY_MS = 1;

export const WATCH = {
  kind: 'watch',
  isListed: true,
  isLeading: true,
  pauseFactor: 1,
} as const satisfies WatchRole;
export const FOLLOW: WatchRole = { kind: 'follow' };

/** The value of a configuration row is its version, that of an endpoint's row its state. */
export const SIMULATED_DECODER: RowDecoder = {
  decodeConfiguration(row): TrafficConfiguration | undefined {
    if (row.value === undefined) return undefined;
    const limits = { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return {
      version: Number(row.value),
      routes: [],
      pools: [],
      requiresKeys: false,
      organisations: [],
      limits,
    };
  },
  decodeEndpoint(row): RegisteredEndpoint | undefined {
    if (row.value === undefined || row.value === 'unreadable') return undefined;
    const isLeaving = row.value === 'leaving';
    const { key: id } = row;
    const startId = `${id}@${row.value}`;
    return {
      id,
      startId,
      pool: 'p',
      address: id,
      dataCentre: 'd',
      slots: 1,
      isLeaving,
      isSpot: false,
      softwareVersion: 'v1',
    };
  },
};

const FIRST_REVISION = 5;

/** A table of the source; its watches wait until the test changes its rows. */
function createTable(rows: readonly FeedRow[]) {
  let revision = FIRST_REVISION;
  let calls = 0;
  let isReachable = true;
  /** Watches that are still answered without a later change. */
  let answersLeft = Infinity;
  const changes: FeedRow[] = [];
  let pendingWatch:
    | { readonly sinceRevision: number; readonly resolve: (answer: FeedResponse) => void }
    | undefined;
  const buildAnswer = (answered: readonly FeedRow[]): FeedResponse => {
    if (!isReachable) return { kind: 'unavailable', reason: 'the store is out of reach' };
    const nowMs = performance.now();
    return { kind: 'rows', rows: answered, revision, sourceNowMs: nowMs, sentMs: nowMs };
  };
  const listChanges = (sinceRevision: number): readonly FeedRow[] =>
    changes.filter((row) => (row.revision ?? 0) > sinceRevision);

  function resolvePendingWatch(): void {
    const watch = pendingWatch;
    pendingWatch = undefined;
    watch?.resolve(buildAnswer(listChanges(watch.sinceRevision)));
  }

  const reader: FeedReader = {
    async list() {
      calls += 1;
      const listed = new Map([...rows, ...changes].map((row) => [row.key, row]));
      return buildAnswer([...listed.values()].filter(({ value }) => value !== undefined));
    },
    async watch(sinceRevision, waitsMs) {
      calls += 1;
      const changed = listChanges(sinceRevision);
      const isImmediate = !isReachable || waitsMs === 0 || changed.length > 0;
      if (answersLeft > 0 && isImmediate) {
        answersLeft -= 1;
        return buildAnswer(changed);
      }
      return new Promise((resolve) => {
        pendingWatch = { sinceRevision, resolve };
      });
    },
    reset() {
      pendingWatch = undefined;
    },
  };
  return {
    reader,
    countCalls: () => calls,
    /** Whether the store has handled all rows and its next watch has begun. */
    isWatched: () => pendingWatch?.sinceRevision === revision,
    setReachable(isNowReachable: boolean) {
      isReachable = isNowReachable;
      if (!isReachable) resolvePendingWatch();
    },
    /** Limits the watches that are answered without a later change. */
    setAnswersMax(answers: number) {
      answersLeft = answers;
    },
    setRows(changed: readonly FeedRow[]) {
      revision += 1;
      changes.push(...changed.map((row) => ({ ...row, revision })));
      resolvePendingWatch();
    },
  };
}

export function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms + TIMER_EARLY_MS);
  });
}

async function waitUntil(state: string, isReached: () => boolean): Promise<void> {
  const endMs = performance.now() + WAIT_MAX_MS;
  while (!isReached()) {
    if (performance.now() > endMs)
      throw new Error(`timed out after ${WAIT_MAX_MS} ms waiting for: ${state}`);
    // Polls until the state is reached.
    // eslint-disable-next-line no-await-in-loop
    await waitMs(WAIT_STEP_MS);
  }
}

export function createKnowledgeHarness(t: ExecutionContext, role: WatchRole = WATCH) {
  const timers = createTimerService(createSystemClock());
  const configuration = createTable([{ key: 'config', value: '7' }]);
  const endpoints = createTable([
    { key: 'a', value: 'ready' },
    { key: 'b', value: 'ready' },
  ]);
  const started: { readonly startId: string; readonly isFirstList: boolean }[] = [];
  const ended: string[] = [];
  const events: string[] = [];
  const store = createKnowledgeStore({
    timers,
    random: createRandom(1),
    log: { write: ({ event }) => events.push(event) },
    configurationFeed: configuration.reader,
    endpointFeed: endpoints.reader,
    decoder: SIMULATED_DECODER,
    onConfiguration: () => undefined,
    onEndpointStarted: ({ startId }, isFirstList) => started.push({ startId, isFirstList }),
    onEndpointEnded: ({ startId }) => ended.push(startId),
    onEndpointsApplied: () => undefined,
    onSuspended: () => undefined,
  });
  t.teardown(() => {
    store.stop();
    timers.stop();
  });
  store.setRole(role);
  return {
    store,
    started,
    ended,
    configuration,
    endpoints,
    waitUntilWatched: () =>
      waitUntil(
        'both tables are watched',
        () => configuration.isWatched() && endpoints.isWatched(),
      ),
    waitUntilConfigurationCalls: (calls: number) =>
      waitUntil(`${calls} calls for the configuration`, () => configuration.countCalls() >= calls),
    waitUntilSourceLost: () =>
      waitUntil('the source is lost', () => events.includes('source_lost')),
  };
}

export function listOpen(store: KnowledgeStore): string[] {
  return store.directory.listOpen('p').map(({ id }) => id);
}

export function buildKnowledgeRequest(store: KnowledgeStore): FetchKnowledgeRequest {
  const { configurationRevision, endpointsRevision } = store.getSummary();
  return {
    $typeName: 'hyssoptally.peer.v1.FetchKnowledgeRequest',
    configurationRevision,
    endpointsRevision,
  };
}

export function sendKnowledge(from: KnowledgeStore, to: KnowledgeStore, sentMs: number): void {
  to.applyResponse('watcher', from.buildResponse(buildKnowledgeRequest(to)), sentMs);
}

export interface SentConfiguration {
  readonly version: number;
  /** Version that the peer says the rows are of. */
  readonly announcedVersion: number;
  /**
   * Time since the announced version was the newest.
   * @default 0
   */
  readonly ageMs?: number;
}

/** Builds a peer's response with one configuration row; the source's clock is this process's. */
export function buildConfigurationResponse({
  version,
  announcedVersion,
  ageMs = 0,
}: SentConfiguration): FetchKnowledgeResponse {
  const nowMs = performance.now();
  return {
    $typeName: 'hyssoptally.peer.v1.FetchKnowledgeResponse',
    renewalLeftMs: 0,
    sourceNowMs: nowMs,
    configuration: {
      $typeName: 'hyssoptally.peer.v1.TableKnowledge',
      revision: announcedVersion,
      knownAtMs: nowMs - ageMs,
      hasRows: true,
      isComplete: true,
      rows: [
        {
          $typeName: 'hyssoptally.peer.v1.TableRow',
          key: 'config',
          value: String(version),
          revision: FIRST_REVISION,
        },
      ],
    },
  };
}
