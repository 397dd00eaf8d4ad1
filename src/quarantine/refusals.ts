/** Refusals of calls by the quarantine. */
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { CrashCase } from './crash-case.js';
import { isPartSubject } from './crash-subject.js';

/** Long, since a retry cannot succeed before an operator has released the content. */
const CONDEMNED_RETRY_MS = 60 * 60 * 1000;

function buildMessage({ content, crashes }: CrashCase): string {
  return isPartSubject(content)
    ? `${crashes.size} endpoints ended while they ran requests with a part of this prompt; leave the part out, or ask the operators to release ${content}`
    : `${crashes.size} endpoints ended while they ran this request; change it, or ask the operators to release ${content}`;
}

export function buildCaseRefusal(subject: CrashCase): RequestFailure {
  return {
    type: FAILURE.Quarantined,
    message: buildMessage(subject),
    outcome: OUTCOME.NotRun,
    retryAfterMs: CONDEMNED_RETRY_MS,
  };
}

export function buildOrganisationRefusal(remainingMs: number): RequestFailure {
  return {
    type: FAILURE.Quarantined,
    message:
      'endpoints keep ending under requests of this organisation; find those that are quarantined and stop sending them',
    outcome: OUTCOME.NotRun,
    retryAfterMs: remainingMs,
  };
}
