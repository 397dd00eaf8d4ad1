/**
 * Limits how many endpoints one organisation can crash by sending ever new contents, each of which
 * costs up to three endpoints before it is condemned. Beyond a few such contents, its calls are
 * refused after each crash for a time that doubles with every further content. Does no I/O.
 */
import type { ContentId } from '../calls/content-id.js';
import type { CaseChange } from './case-ledger.js';
import { STANDING } from './crash-case.js';
import type { OrganisationKey } from './crash-case.js';

/** Condemned contents without a penalty: one faulty client may produce several. */
const CONDEMNED_ALLOWANCE = 4;
const PAUSE_MIN_MS = 1000;
const PAUSE_MAX_MS = 30_000;

interface OrganisationRecord {
  readonly condemned: Set<ContentId>;
  lastCrashMs: number;
}

export interface OrganisationBackoff {
  recordChange(change: CaseChange): void;
  /**
   * Time until the organisation's calls are admitted again, in milliseconds; 0 if they are admitted
   * now.
   */
  computeRemainingMs(organisation: OrganisationKey, nowMs: number): number;
}

export function createOrganisationBackoff(): OrganisationBackoff {
  const records = new Map<OrganisationKey, OrganisationRecord>();

  function getRecord(organisation: OrganisationKey): OrganisationRecord {
    const existing = records.get(organisation);
    if (existing !== undefined) return existing;
    const record: OrganisationRecord = { condemned: new Set(), lastCrashMs: -Infinity };
    records.set(organisation, record);
    return record;
  }

  return {
    recordChange({ subject, before, standing }) {
      const { content, organisation, crashes } = subject;
      if (standing === STANDING.Condemned) {
        const record = getRecord(organisation);
        record.condemned.add(content);
        const crashedMs = [...crashes.values()].map((crash) => crash.crashedMs);
        record.lastCrashMs = Math.max(record.lastCrashMs, ...crashedMs);
      } else if (before === STANDING.Condemned) {
        records.get(organisation)?.condemned.delete(content);
      }
    },
    computeRemainingMs(organisation, nowMs) {
      const record = records.get(organisation);
      if (record === undefined || record.condemned.size <= CONDEMNED_ALLOWANCE) return 0;
      const doublings = record.condemned.size - CONDEMNED_ALLOWANCE - 1;
      const pauseMs = Math.min(PAUSE_MAX_MS, PAUSE_MIN_MS * 2 ** doublings);
      return Math.max(0, record.lastCrashMs + pauseMs - nowMs);
    },
  };
}
