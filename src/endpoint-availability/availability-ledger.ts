/**
 * The endpoints that said in a response that they are leaving or want rest, as known to one
 * instance. A notice belongs to one start of an endpoint: a restarted endpoint is free at once.
 * Performs no I/O.
 */
import type { EndpointKey } from '../placement/remote-loads.js';

/**
 * Time after the last response that said so at which a leaving endpoint is used again if the registry
 * still lists it as open, so that one that stays after all does not idle for ever.
 */
export const LEAVING_MEMORY_MS = 600_000;
/** Limit of the endpoints with a notice; the oldest give way. */
const ENDPOINTS_MAX = 4096;

export const NOTICE = {
  Leaving: 'leaving',
  /** The endpoint wants no requests from this instance. */
  Resting: 'resting',
} as const;
export type NoticeKind = (typeof NOTICE)[keyof typeof NOTICE];

export interface KnownNotice {
  readonly kind: NoticeKind;
  readonly endpoint: EndpointKey;
  /** When a response last said so. */
  readonly heardMs: number;
  readonly untilMs: number;
  /** 'own' or the name of the instance that reported it. */
  readonly source: string;
}

export interface NoticeChange {
  readonly change: 'learned' | 'extended' | 'ended';
  readonly notice: KnownNotice;
}

export interface AvailabilityLedger {
  /** Records that a response said that the endpoint is leaving. */
  recordLeaving(endpoint: EndpointKey, nowMs: number): NoticeChange | undefined;
  /** Records that a response asked this instance for rest. A shorter rest does not end a longer one. */
  recordRest(endpoint: EndpointKey, restMs: number, nowMs: number): NoticeChange | undefined;
  isLeaving(endpoint: EndpointKey): boolean;
  /** End of the rest that the endpoint asked this instance for; undefined if it wants none. */
  findRestEnd(endpoint: EndpointKey, nowMs: number): number | undefined;
  hasAny(): boolean;
  /** Increases with every change. */
  getVersion(): number;
  list(): KnownNotice[];
  /** Forgets an endpoint that has ended. */
  remove(endpoint: EndpointKey): NoticeChange[];
  removeExpired(nowMs: number): NoticeChange[];
}

type Notices = Map<EndpointKey, KnownNotice>;

export function createAvailabilityLedger(): AvailabilityLedger {
  const leaving: Notices = new Map();
  const resting: Notices = new Map();
  let version = 0;

  function setNotice(notices: Notices, notice: KnownNotice): NoticeChange | undefined {
    const known = notices.get(notice.endpoint);
    if (known !== undefined && known.untilMs >= notice.untilMs) return undefined;
    notices.delete(notice.endpoint);
    notices.set(notice.endpoint, notice);
    const [oldest] = notices.keys();
    if (notices.size > ENDPOINTS_MAX) notices.delete(oldest as EndpointKey);
    version += 1;
    return { change: known === undefined ? 'learned' : 'extended', notice };
  }

  function listEnded(isEnded: (notice: KnownNotice) => boolean): NoticeChange[] {
    const ended: NoticeChange[] = [];
    for (const notices of [leaving, resting]) {
      for (const notice of notices.values()) {
        if (isEnded(notice)) {
          notices.delete(notice.endpoint);
          ended.push({ change: 'ended', notice });
        }
      }
    }
    if (ended.length > 0) version += 1;
    return ended;
  }

  return {
    recordLeaving: (endpoint, nowMs) =>
      setNotice(leaving, {
        kind: NOTICE.Leaving,
        endpoint,
        heardMs: nowMs,
        untilMs: nowMs + LEAVING_MEMORY_MS,
        source: 'own',
      }),
    recordRest: (endpoint, restMs, nowMs) =>
      setNotice(resting, {
        kind: NOTICE.Resting,
        endpoint,
        heardMs: nowMs,
        untilMs: nowMs + restMs,
        source: 'own',
      }),
    isLeaving: (endpoint) => leaving.has(endpoint),
    findRestEnd(endpoint, nowMs) {
      const untilMs = resting.get(endpoint)?.untilMs;
      return untilMs === undefined || untilMs <= nowMs ? undefined : untilMs;
    },
    hasAny: () => leaving.size > 0 || resting.size > 0,
    getVersion: () => version,
    list: () => [...leaving.values(), ...resting.values()],
    remove: (endpoint) => listEnded((notice) => notice.endpoint === endpoint),
    removeExpired: (nowMs) => listEnded(({ untilMs }) => untilMs <= nowMs),
  };
}
