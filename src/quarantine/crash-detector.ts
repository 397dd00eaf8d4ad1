/**
 * Tells the crash of an endpoint from the loss of a connection to it, free of I/O. An answer that broke
 * off is a doubt: whether the endpoint still accepts connections decides it at once, and the registry's
 * word that this start has ended decides it later.
 */
import type { ContentId } from '../calls/content-id.js';
import type { RegisteredEndpoint } from '../types/traffic.js';

/** A doubt that nothing has confirmed for this long is dropped, in milliseconds: a registry misses three heartbeats sooner. */
const DOUBT_MAX_MS = 10_000;

/** What a new connection to an endpoint shows. */
export const ACCEPTANCE = {
  Accepted: 'accepted',
  /** Nobody listens there. */
  Refused: 'refused',
  /** No answer: the endpoint or the way to it is gone. */
  Silent: 'silent',
} as const;
export type Acceptance = (typeof ACCEPTANCE)[keyof typeof ACCEPTANCE];

/** What proved a crash. */
export type CrashEvidence = 'connection refused' | 'start ended';

/** An endpoint that crashed, and what ran there of this instance's calls. */
export interface EndpointCrash {
  readonly endpoint: RegisteredEndpoint;
  readonly contents: readonly ContentId[];
  readonly evidence: CrashEvidence;
}

/** What the detector is built on. */
export interface CrashDetectorOptions {
  /** Tries a connection of its own; never rejects. */
  readonly checkAcceptance: (address: string) => Promise<Acceptance>;
  readonly onCrash: (crash: EndpointCrash) => void;
}

/** Finds crashes. */
export interface CrashDetector {
  /** An answer of this endpoint, which has not said that it leaves, broke off before it was whole. */
  recordBroken(endpoint: RegisteredEndpoint, content: ContentId, nowMs: number): void;
  /** The registry says that this start of the endpoint is over. */
  recordEnded(endpoint: RegisteredEndpoint): void;
  /** Drops old doubts. */
  advance(nowMs: number): void;
}

interface Doubt {
  readonly endpoint: RegisteredEndpoint;
  /** Contents whose answers broke off since the endpoint last accepted a connection. */
  readonly asked: Set<ContentId>;
  /** Those before. */
  readonly earlier: Set<ContentId>;
  brokenMs: number;
  isAsking: boolean;
}

/** Builds a detector without doubts. */
export function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
  const doubts = new Map<string, Doubt>();

  function getDoubt(endpoint: RegisteredEndpoint): Doubt {
    const known = doubts.get(endpoint.startId);
    if (known !== undefined) return known;
    const doubt: Doubt = {
      endpoint,
      asked: new Set(),
      earlier: new Set(),
      brokenMs: 0,
      isAsking: false,
    };
    doubts.set(endpoint.startId, doubt);
    return doubt;
  }

  /** Answers that break off while the endpoint is being asked share the question. */
  async function checkDoubt(doubt: Doubt): Promise<void> {
    const { endpoint, asked, earlier } = doubt;
    doubt.isAsking = true;
    const acceptance = await options.checkAcceptance(endpoint.address);
    doubt.isAsking = false;
    if (doubts.get(endpoint.startId) !== doubt) return;
    if (acceptance === ACCEPTANCE.Refused) {
      doubts.delete(endpoint.startId);
      options.onCrash({ endpoint, contents: [...asked], evidence: 'connection refused' });
      return;
    }
    for (const content of asked) earlier.add(content);
    asked.clear();
  }

  return {
    recordBroken(endpoint, content, nowMs) {
      const doubt = getDoubt(endpoint);
      doubt.asked.add(content);
      doubt.brokenMs = nowMs;
      if (!doubt.isAsking) checkDoubt(doubt).catch(() => undefined);
    },
    recordEnded({ startId, isLeaving }) {
      const doubt = doubts.get(startId);
      doubts.delete(startId);
      // The end of an endpoint that said it leaves is planned: it says nothing of what ran there.
      if (doubt === undefined || isLeaving) return;
      const contents = [...doubt.asked, ...doubt.earlier];
      options.onCrash({ endpoint: doubt.endpoint, contents, evidence: 'start ended' });
    },
    advance(nowMs) {
      for (const [startId, { brokenMs }] of doubts) {
        if (nowMs - brokenMs > DOUBT_MAX_MS) doubts.delete(startId);
      }
    },
  };
}
