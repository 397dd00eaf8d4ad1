/** The documents of the lease and of the agreed moment. */
import { z } from 'zod';
import type { LeaseDocument } from '../leases/lease-document.js';

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

/** Reads the lease; undefined where the text is none. */
export function decodeLease(text: string): LeaseDocument | undefined {
  return parseText(LEASE_SCHEMA, text);
}

/** Writes down true time at 0 of the source's clock, in milliseconds since the epoch. */
export function encodeEpoch(epochMs: number): string {
  return JSON.stringify({ epochMs });
}

/** Reads it; undefined where the text says none. */
export function decodeEpoch(text: string): number | undefined {
  return parseText(EPOCH_SCHEMA, text)?.epochMs;
}
