/** A source of one configuration row in virtual time, whose feeds can fail for single instances. */
import type { FeedReader, FeedResponse, FeedRow } from '../knowledge/feed.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import { assertNever } from '../utils/assert-never.js';

/** One-way latency between an instance and the source. */
const DELAY_MS = 2;
/** Time that a client waits for a response beyond the time that it asks the source to wait. */
const CALL_TIMEOUT_MS = 700;

export const SOURCE_LINK = {
  Open: 'open',
  /** Nothing passes, and nobody is told. */
  Silent: 'silent',
  /** Calls fail at once. */
  Refused: 'refused',
} as const;
export type SourceLink = (typeof SOURCE_LINK)[keyof typeof SOURCE_LINK];

export interface SimulatedSource {
  /** Stores a version, which is the newest from now on. */
  storeVersion(version: number): void;
  setLink(instance: string, link: SourceLink): void;
  createReader(instance: string): FeedReader;
}

interface StoredRow extends FeedRow {
  readonly revision: number;
}

interface PendingCall {
  readonly instance: string;
  readonly sinceRevision: number;
  readonly resolve: (response: FeedResponse) => void;
  readonly sentMs: number;
}

const UNAVAILABLE: FeedResponse = { kind: 'unavailable', reason: 'the source cannot be reached' };

export function createSimulatedSource(time: VirtualTime): SimulatedSource {
  let rows: readonly StoredRow[] = [];
  const links = new Map<string, SourceLink>();
  const pending = new Set<PendingCall>();

  function getLink(instance: string): SourceLink {
    return links.get(instance) ?? SOURCE_LINK.Open;
  }

  function getRevision(): number {
    return rows.at(-1)?.revision ?? 0;
  }

  function buildResponse(changed: readonly StoredRow[], sentMs: number): FeedResponse {
    return {
      kind: 'rows',
      rows: changed,
      revision: changed.at(-1)?.revision ?? getRevision(),
      sourceNowMs: time.getNow(),
      sentMs,
    };
  }

  function resolveCall(call: PendingCall, response: FeedResponse): void {
    if (!pending.delete(call)) return;
    time.add(undefined, DELAY_MS, () => call.resolve(response));
  }

  /** Answers with the first change, one at a time, or without one once the wait is over. */
  function resolveWatch(call: PendingCall, isWaitOver: boolean): void {
    if (getLink(call.instance) === SOURCE_LINK.Silent) return;
    const changed = rows.filter(({ revision }) => revision > call.sinceRevision).slice(0, 1);
    if (changed.length > 0 || isWaitOver) resolveCall(call, buildResponse(changed, call.sentMs));
  }

  function startCall(instance: string, sinceRevision: number, waitMs: number) {
    return new Promise<FeedResponse>((resolve) => {
      const call: PendingCall = { instance, sinceRevision, resolve, sentMs: time.getNow() };
      pending.add(call);
      time.add(undefined, waitMs + CALL_TIMEOUT_MS, () => resolveCall(call, UNAVAILABLE));
      const link = getLink(instance);
      switch (link) {
        case SOURCE_LINK.Open:
          time.add(undefined, DELAY_MS, () => resolveWatch(call, waitMs === 0));
          time.add(undefined, DELAY_MS + waitMs, () => resolveWatch(call, true));
          break;
        case SOURCE_LINK.Silent:
          break;
        case SOURCE_LINK.Refused:
          resolveCall(call, UNAVAILABLE);
          break;
        default:
          assertNever(link);
      }
    });
  }

  return {
    storeVersion(version) {
      rows = [...rows, { key: 'config', value: String(version), revision: getRevision() + 1 }];
      for (const call of [...pending]) resolveWatch(call, false);
    },
    setLink(instance, link) {
      links.set(instance, link);
      if (link !== SOURCE_LINK.Refused) return;
      const calls = [...pending].filter((call) => call.instance === instance);
      for (const call of calls) resolveCall(call, UNAVAILABLE);
    },
    createReader: (instance) => ({
      async list() {
        const response = await startCall(instance, 0, 0);
        if (response.kind !== 'rows') return response;
        return { ...response, rows: rows.slice(-1), revision: getRevision() };
      },
      watch: (revision, waitMs) => startCall(instance, revision, waitMs),
      reset() {
        for (const call of [...pending]) if (call.instance === instance) pending.delete(call);
      },
    }),
  };
}
