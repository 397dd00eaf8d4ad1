/**
 * Tells the crash of an endpoint from the loss of a connection to it, free of I/O. An answer that broke
 * off is a doubt: whether the endpoint still accepts connections decides it at once, and the registry's
 * word that this start has ended decides it later.
 */
import type { ContentId } from '../calls/content-id.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { OrganisationKey } from './crash-case.js';

/** An answer whose end nothing has explained for this long is no more doubted, in milliseconds: a registry misses three heartbeats sooner. */
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

/** An answer that broke off. */
export interface BrokenAnswer {
  readonly content: ContentId;
  readonly organisation: OrganisationKey;
  /** Monotonic moments at which the call was sent and at which its answer broke off. */
  readonly sentMs: number;
  readonly brokenMs: number;
}

/** An endpoint that crashed, and what ran there of this instance's calls. */
export interface EndpointCrash {
  readonly endpoint: RegisteredEndpoint;
  readonly answers: readonly BrokenAnswer[];
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
  recordBroken(endpoint: RegisteredEndpoint, answer: BrokenAnswer): void;
  /** An answer was given up after a silence: only the registry can say whether the endpoint had crashed. */
  recordSilent(endpoint: RegisteredEndpoint, answer: BrokenAnswer): void;
  /** The registry says that this start of the endpoint is over. */
  recordEnded(endpoint: RegisteredEndpoint): void;
  /** Endpoints that are being asked after an answer with this content broke off there. */
  countAsked(content: ContentId): number;
  /** Drops old doubts. */
  advance(nowMs: number): void;
}

interface Doubt {
  readonly endpoint: RegisteredEndpoint;
  /** Answers that broke off since the endpoint last accepted a connection. */
  asked: BrokenAnswer[];
  /** Those before. */
  earlier: BrokenAnswer[];
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
      asked: [],
      earlier: [],
      isAsking: false,
    };
    doubts.set(endpoint.startId, doubt);
    return doubt;
  }

  /** Answers that break off while the endpoint is being asked share the question. */
  async function checkDoubt(doubt: Doubt): Promise<void> {
    const { endpoint } = doubt;
    doubt.isAsking = true;
    const acceptance = await options.checkAcceptance(endpoint.address);
    doubt.isAsking = false;
    if (doubts.get(endpoint.startId) !== doubt) return;
    if (acceptance === ACCEPTANCE.Refused) {
      doubts.delete(endpoint.startId);
      options.onCrash({ endpoint, answers: doubt.asked, evidence: 'connection refused' });
      return;
    }
    doubt.earlier = [...doubt.earlier, ...doubt.asked];
    doubt.asked = [];
  }

  return {
    recordBroken(endpoint, answer) {
      const doubt = getDoubt(endpoint);
      doubt.asked.push(answer);
      if (!doubt.isAsking) checkDoubt(doubt).catch(() => undefined);
    },
    recordSilent(endpoint, answer) {
      getDoubt(endpoint).earlier.push(answer);
    },
    recordEnded({ startId, isLeaving }) {
      const doubt = doubts.get(startId);
      doubts.delete(startId);
      // The end of an endpoint that said it leaves is planned: it says nothing of what ran there.
      if (doubt === undefined || isLeaving) return;
      const answers = [...doubt.earlier, ...doubt.asked];
      options.onCrash({ endpoint: doubt.endpoint, answers, evidence: 'start ended' });
    },
    countAsked: (content) =>
      [...doubts.values()].filter(
        ({ isAsking, asked }) => isAsking && asked.some((answer) => answer.content === content),
      ).length,
    advance(nowMs) {
      for (const [startId, doubt] of doubts) {
        doubt.earlier = doubt.earlier.filter(({ brokenMs }) => nowMs - brokenMs <= DOUBT_MAX_MS);
        const isOpen = doubt.isAsking || doubt.earlier.length > 0;
        if (!isOpen) doubts.delete(startId);
      }
    },
  };
}
