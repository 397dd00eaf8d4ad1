/** The documents of the lease and of the agreed moment. */
import { z } from 'zod';
import type { LeaseDocument, ReadLease } from '../leases/lease-document.js';
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
    // What is no document of this product says nothing.
    return undefined;
  }
}

/** What stands for a document that nobody can read: nobody's, and replaced once it has stood for a lease. */
const UNREADABLE_LEASE: LeaseDocument = {
  holder: '',
  fence: 0,
  writeId: '',
  earlier: [],
  isReleased: false,
};

/** Reads the lease; undefined where there is none. */
export function decodeLease(rows: readonly DutyRow[]): ReadLease | undefined {
  const row = findRow(rows, DUTY_KEY.Lease);
  if (row === undefined) return undefined;
  return { version: row.version, document: parseText(LEASE_SCHEMA, row.text) ?? UNREADABLE_LEASE };
}

/** Writes down true time at 0 of the source's clock, in milliseconds since the epoch. */
export function encodeEpoch(epochMs: number): string {
  return JSON.stringify({ epochMs });
}

/** Reads it; undefined where the text says none. */
export function decodeEpoch(text: string): number | undefined {
  return parseText(EPOCH_SCHEMA, text)?.epochMs;
}
