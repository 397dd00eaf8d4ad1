/** Encoding of the lease and epoch documents. */
import { z } from 'zod';
import type { LeaseDocument, VersionedLease } from '../leases/lease-document.js';
import { DUTY_KEY, findRow } from './duty-store.js';
import type { DutyRow } from './duty-store.js';

const LEASE_SCHEMA = z.object({
  holder: z.string(),
  fence: z.int(),
  writeId: z.string(),
  earlier: z.array(z.string()).default([]),
  isReleased: z.boolean().default(false),
});
const EPOCH_SCHEMA = z.object({ epochMs: z.number() });

function parseText<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    // Treated as missing if malformed.
    return undefined;
  }
}

/** Replaces a malformed document: it has no holder and expires after the lease duration. */
const UNREADABLE_LEASE: LeaseDocument = {
  holder: '',
  fence: 0,
  writeId: '',
  earlier: [],
  isReleased: false,
};

/** Undefined if there is no lease document. */
export function decodeLease(rows: readonly DutyRow[]): VersionedLease | undefined {
  const row = findRow(rows, DUTY_KEY.Lease);
  if (row === undefined) return undefined;
  return { version: row.version, document: parseText(LEASE_SCHEMA, row.text) ?? UNREADABLE_LEASE };
}

/** Encodes fleet time at 0 of the source clock, in milliseconds since the epoch. */
export function encodeEpoch(epochMs: number): string {
  return JSON.stringify({ epochMs });
}

/** Undefined if the text is malformed. */
export function decodeEpoch(text: string): number | undefined {
  return parseText(EPOCH_SCHEMA, text)?.epochMs;
}
