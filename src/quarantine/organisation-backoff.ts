/**
 * Bounds what one organisation can do with ever new requests under which endpoints end, free of I/O: each
 * costs up to three endpoints before it is known. It shows as a pool that keeps losing endpoints though
 * every single request is stopped in time. Beyond some such requests the organisation is turned away for a
 * while after each end, twice as long each time, so that the pool recovers in between.
 */
import type { ContentId } from '../calls/content-id.js';
import type { CaseChange } from './case-ledger.js';
import { STANDING } from './crash-case.js';
import type { OrganisationKey } from './crash-case.js';

/** Condemned contents that cost an organisation nothing else: one faulty program has a few bodies. */
const CONDEMNED_FREE = 4;
/** The first pause, in milliseconds: an endpoint is back after a few. */
const PAUSE_MIN_MS = 1000;
/** The longest, in milliseconds. */
const PAUSE_MAX_MS = 30_000;

interface Record {
  readonly condemned: Set<ContentId>;
  lastMs: number;
}

/** What organisations have done. */
export interface OrganisationBackoff {
  recordChange(change: CaseChange): void;
  /** How much longer the organisation is turned away, in milliseconds; 0 where it is not. */
  computeLeftMs(organisation: OrganisationKey, nowMs: number): number;
}

/** Builds a record of nothing. */
export function createOrganisationBackoff(): OrganisationBackoff {
  const records = new Map<OrganisationKey, Record>();

  function getRecord(organisation: OrganisationKey): Record {
    const known = records.get(organisation);
    if (known !== undefined) return known;
    const record: Record = { condemned: new Set(), lastMs: -Infinity };
    records.set(organisation, record);
    return record;
  }

  return {
    recordChange({ subject, before, standing }) {
      const { content, organisation, strikes } = subject;
      if (standing === STANDING.Condemned) {
        const record = getRecord(organisation);
        record.condemned.add(content);
        const crashedMs = [...strikes.values()].map((strike) => strike.crashedMs);
        record.lastMs = Math.max(record.lastMs, ...crashedMs);
      } else if (before === STANDING.Condemned) {
        records.get(organisation)?.condemned.delete(content);
      }
    },
    computeLeftMs(organisation, nowMs) {
      const record = records.get(organisation);
      if (record === undefined || record.condemned.size <= CONDEMNED_FREE) return 0;
      const doublings = record.condemned.size - CONDEMNED_FREE - 1;
      const pauseMs = Math.min(PAUSE_MAX_MS, PAUSE_MIN_MS * 2 ** doublings);
      return Math.max(0, record.lastMs + pauseMs - nowMs);
    },
  };
}
