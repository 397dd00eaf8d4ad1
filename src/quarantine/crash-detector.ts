/**
 * Distinguishes an endpoint's crash from a lost connection; does no I/O. After an interrupted
 * answer, a refused connection proves a crash at once; otherwise the registry may report later that
 * the endpoint's start has ended.
 */
import type { ContentId } from '../calls/content-id.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { OrganisationKey } from './crash-case.js';

/** Longer than the registry takes to notice three missed heartbeats. */
const DOUBT_MAX_MS = 10_000;

/** Result of opening a connection to an endpoint. */
export const ACCEPTANCE = {
  Accepted: 'accepted',
  /** Nothing listens on the port. */
  Refused: 'refused',
  /** No answer: the endpoint or the network path to it is down. */
  Silent: 'silent',
} as const;
export type Acceptance = (typeof ACCEPTANCE)[keyof typeof ACCEPTANCE];

export type CrashEvidence = 'connection refused' | 'start ended';

/** An interrupted answer. Times are on the local monotonic clock. */
export interface BrokenAnswer {
  readonly content: ContentId;
  readonly organisation: OrganisationKey;
  readonly sentMs: number;
  readonly brokenMs: number;
}

/** A crash, with the answers of this instance's calls that it interrupted. */
export interface EndpointCrash {
  readonly endpoint: RegisteredEndpoint;
  readonly answers: readonly BrokenAnswer[];
  readonly evidence: CrashEvidence;
}

export interface CrashDetectorOptions {
  /** Opens a separate connection; never rejects. */
  readonly checkAcceptance: (address: string) => Promise<Acceptance>;
  readonly onCrash: (crash: EndpointCrash) => void;
}

export interface CrashDetector {
  /** An answer was interrupted, and the endpoint has not announced that it is leaving. */
  recordBroken(endpoint: RegisteredEndpoint, answer: BrokenAnswer): void;
  /** An answer was abandoned after a silence; only the registry can confirm a crash. */
  recordSilent(endpoint: RegisteredEndpoint, answer: BrokenAnswer): void;
  /** The registry reports that this start of the endpoint has ended. */
  recordEnded(endpoint: RegisteredEndpoint): void;
  /** Endpoints being checked after an answer with this content was interrupted. */
  countAsked(content: ContentId): number;
  /** Drops answers that are too old to be explained by a crash. */
  advance(nowMs: number): void;
}

interface Doubt {
  readonly endpoint: RegisteredEndpoint;
  /** Answers interrupted since the last connection check. */
  asked: BrokenAnswer[];
  /** Answers interrupted before; only the registry can still confirm a crash. */
  earlier: BrokenAnswer[];
  isAsking: boolean;
}

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

  /** Answers interrupted while a check runs share its result. */
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
      // A planned shutdown is no evidence against the contents that ran there.
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
