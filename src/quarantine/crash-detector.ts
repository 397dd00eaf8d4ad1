/**
 * Distinguishes an endpoint's crash from a lost connection; does no I/O. After an interrupted
 * answer, a refused connection proves a crash at once; otherwise the registry may report later that
 * the endpoint's start has ended.
 */
import type { ContentId } from '../calls/content-id.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { OrganisationKey } from './crash-case.js';
import type { SubjectId } from './crash-subject.js';

/** Longer than the registry takes to notice three missed heartbeats. */
const SUSPICION_MAX_MS = 10_000;

/** Result of opening a connection to an endpoint. */
export const CONNECTION_RESULT = {
  Accepted: 'accepted',
  /** Nothing listens on the port. */
  Refused: 'refused',
  /** No answer: the endpoint or the network path to it is down. */
  Unreachable: 'silent',
} as const;
export type ConnectionResult = (typeof CONNECTION_RESULT)[keyof typeof CONNECTION_RESULT];

export type CrashEvidence = 'connection refused' | 'start ended';

/** An interrupted answer. Times are on the local monotonic clock. */
export interface InterruptedAnswer {
  readonly content: ContentId;
  /** Parts of the call's prompt. */
  readonly parts: readonly SubjectId[];
  readonly organisation: OrganisationKey;
  readonly sentMs: number;
  readonly interruptedMs: number;
}

/** A crash, with the answers of this instance's calls that it interrupted. */
export interface EndpointCrash {
  readonly endpoint: RegisteredEndpoint;
  readonly answers: readonly InterruptedAnswer[];
  readonly evidence: CrashEvidence;
}

export interface CrashDetectorOptions {
  /** Opens a separate connection; never rejects. */
  readonly checkConnection: (address: string) => Promise<ConnectionResult>;
  readonly onCrash: (crash: EndpointCrash) => void;
}

export interface CrashDetector {
  /** An answer was interrupted, and the endpoint has not announced that it is leaving. */
  recordInterrupted(endpoint: RegisteredEndpoint, answer: InterruptedAnswer): void;
  /** An answer was abandoned after a silence; only the registry can confirm a crash. */
  recordAbandoned(endpoint: RegisteredEndpoint, answer: InterruptedAnswer): void;
  /** The registry reports that this start of the endpoint has ended. */
  recordEnded(endpoint: RegisteredEndpoint): void;
  /** Endpoints being checked after an answer with this content or part was interrupted. */
  countPendingChecks(subject: SubjectId): number;
  /** Drops answers that are too old to be explained by a crash. */
  advance(nowMs: number): void;
}

interface Suspicion {
  readonly endpoint: RegisteredEndpoint;
  /** Answers interrupted since the last connection check. */
  pending: InterruptedAnswer[];
  /** Answers interrupted before; only the registry can still confirm a crash. */
  unconfirmed: InterruptedAnswer[];
  isChecking: boolean;
}

export function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
  const suspicions = new Map<string, Suspicion>();

  function getSuspicion(endpoint: RegisteredEndpoint): Suspicion {
    const existing = suspicions.get(endpoint.startId);
    if (existing !== undefined) return existing;
    const suspicion: Suspicion = {
      endpoint,
      pending: [],
      unconfirmed: [],
      isChecking: false,
    };
    suspicions.set(endpoint.startId, suspicion);
    return suspicion;
  }

  /** Answers interrupted while a check runs share its result. */
  async function checkSuspicion(suspicion: Suspicion): Promise<void> {
    const { endpoint } = suspicion;
    suspicion.isChecking = true;
    const result = await options.checkConnection(endpoint.address);
    suspicion.isChecking = false;
    if (suspicions.get(endpoint.startId) !== suspicion) return;
    if (result === CONNECTION_RESULT.Refused) {
      suspicions.delete(endpoint.startId);
      options.onCrash({ endpoint, answers: suspicion.pending, evidence: 'connection refused' });
      return;
    }
    suspicion.unconfirmed = [...suspicion.unconfirmed, ...suspicion.pending];
    suspicion.pending = [];
  }

  return {
    recordInterrupted(endpoint, answer) {
      const suspicion = getSuspicion(endpoint);
      suspicion.pending.push(answer);
      if (!suspicion.isChecking) checkSuspicion(suspicion).catch(() => undefined);
    },
    recordAbandoned(endpoint, answer) {
      getSuspicion(endpoint).unconfirmed.push(answer);
    },
    recordEnded({ startId, isLeaving }) {
      const suspicion = suspicions.get(startId);
      suspicions.delete(startId);
      // A planned shutdown is no evidence against the contents that ran there.
      if (suspicion === undefined || isLeaving) return;
      const answers = [...suspicion.unconfirmed, ...suspicion.pending];
      options.onCrash({ endpoint: suspicion.endpoint, answers, evidence: 'start ended' });
    },
    countPendingChecks: (subject) =>
      [...suspicions.values()].filter(
        ({ isChecking, pending }) =>
          isChecking &&
          pending.some(({ content, parts }) => content === subject || parts.includes(subject)),
      ).length,
    advance(nowMs) {
      for (const [startId, suspicion] of suspicions) {
        suspicion.unconfirmed = suspicion.unconfirmed.filter(
          ({ interruptedMs }) => nowMs - interruptedMs <= SUSPICION_MAX_MS,
        );
        const isOpen = suspicion.isChecking || suspicion.unconfirmed.length > 0;
        if (!isOpen) suspicions.delete(startId);
      }
    },
  };
}
