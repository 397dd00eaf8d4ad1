/** Finds the cases that concern a call, and their standing as far as the call is concerned. Does no I/O. */
import type { RoutedCall } from '../calls/call-messages.js';
import type { CaseLedger } from './case-ledger.js';
import { STANDING, computeStanding } from './crash-case.js';
import type { CrashCase, Standing } from './crash-case.js';
import type { CrashDetector } from './crash-detector.js';
import { isPartSubject, listPartSubjects } from './crash-subject.js';

/** Time after its last crash at which a condemned part is tried once more: its cause may be gone. */
const PART_RETRIAL_MS = 10 * 60 * 1000;

export interface CallStandingOptions {
  readonly ledger: Pick<CaseLedger, 'isEmpty' | 'find' | 'list'>;
  readonly detector: Pick<CrashDetector, 'countPendingChecks'>;
  readonly getNow: () => number;
}

export interface CallStanding {
  /** Cases of the call's content and of the parts of its prompt. */
  listCases(call: RoutedCall): CrashCase[];
  /** Those of them that have a standing for this call. */
  listOfStanding(call: RoutedCall, standing: Standing): CrashCase[];
}

export function createCallStanding(options: CallStandingOptions): CallStanding {
  const { ledger, detector, getNow } = options;

  /** Skips computing hashes while there are no cases. */
  function listCases(call: RoutedCall): CrashCase[] {
    if (ledger.isEmpty()) return [];
    return [call.contentId, ...listPartSubjects(call)]
      .map((subject) => ledger.find(subject))
      .filter((subject) => subject !== undefined);
  }

  /**
   * Whether another condemned part, which the call does not have, ran in all crashes that count
   * against this one. Guards against refusing a sound part that only came beside a crashing one.
   */
  function isExplained(subject: CrashCase, call: RoutedCall): boolean {
    const own = listPartSubjects(call);
    const isCauseOfAll = (other: CrashCase): boolean =>
      computeStanding(other) === STANDING.Condemned &&
      [...subject.crashes.keys()].every((start) => other.crashes.has(start));
    return ledger
      .list()
      .some(
        (other) =>
          isPartSubject(other.content) && !own.includes(other.content) && isCauseOfAll(other),
      );
  }

  function isRetrialDue({ crashes }: CrashCase): boolean {
    const crashedMs = [...crashes.values()].map((crash) => crash.crashedMs);
    return getNow() - Math.max(...crashedMs) >= PART_RETRIAL_MS;
  }

  function computeCallStanding(subject: CrashCase, call: RoutedCall): Standing {
    const { content } = subject;
    const standing = computeStanding(subject, detector.countPendingChecks(content));
    if (standing !== STANDING.Condemned || !isPartSubject(content)) return standing;
    const isTried = isRetrialDue(subject) || isExplained(subject, call);
    return isTried ? STANDING.LastTrial : STANDING.Condemned;
  }

  return {
    listCases,
    listOfStanding: (call, standing) =>
      listCases(call).filter((subject) => computeCallStanding(subject, call) === standing),
  };
}
