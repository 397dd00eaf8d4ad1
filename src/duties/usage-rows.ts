/** Fixed counts as documents: split where one outgrows the store's rows. */
import { z } from 'zod';
import type { UsageReport } from './duty-calls.js';
import { USAGE_PREFIX } from './duty-store.js';
import type { DutyRow } from './duty-store.js';
import type { UsageCount } from './usage-ledger.js';

/** Bytes of the counts in one document: a row of the store holds 64 KB. */
const PART_BYTES_MAX = 48_000;

const PART_SCHEMA = z.object({
  window: z.int(),
  /** Of so many. */
  parts: z.int().positive(),
  counts: z.array(z.object({ organisation: z.string(), count: z.int() })),
});
const THROUGH_WINDOW_SCHEMA = z.object({ window: z.int() });

/** The key of one part of a window's counts. */
export function formatUsageKey(window: number, part: number): string {
  return `${USAGE_PREFIX}${window}/${part}`;
}

/** The documents of a report, in order of their parts. */
export function encodeReport({ window, counts }: UsageReport): string[] {
  const parts: UsageCount[][] = [[]];
  let bytes = 0;
  for (const entry of counts) {
    bytes += Buffer.byteLength(JSON.stringify(entry));
    if (bytes > PART_BYTES_MAX) {
      parts.push([]);
      bytes = Buffer.byteLength(JSON.stringify(entry));
    }
    parts.at(-1)?.push(entry);
  }
  return parts.map((partCounts) =>
    JSON.stringify({ window, parts: parts.length, counts: partCounts }),
  );
}

function parsePart(row: DutyRow): z.infer<typeof PART_SCHEMA> | undefined {
  try {
    return PART_SCHEMA.safeParse(JSON.parse(row.text)).data;
  } catch {
    // What is no document of this product is left where it is, and reported by nobody.
    return undefined;
  }
}

/** The whole reports among all documents, oldest first; one that lacks a part is none. */
export function listReports(rows: readonly DutyRow[]): UsageReport[] {
  const partsByWindow = new Map<number, z.infer<typeof PART_SCHEMA>[]>();
  for (const row of rows) {
    const part = row.key.startsWith(USAGE_PREFIX) ? parsePart(row) : undefined;
    if (part !== undefined)
      partsByWindow.set(part.window, [...(partsByWindow.get(part.window) ?? []), part]);
  }
  return [...partsByWindow]
    .filter(([, parts]) => parts.length === parts[0]?.parts)
    .map(([window, parts]) => ({ window, counts: parts.flatMap(({ counts }) => counts) }))
    .sort((a, b) => a.window - b.window);
}

/** Writes down the newest window that is fixed. */
export function encodeThroughWindow(window: number): string {
  return JSON.stringify({ window });
}

/** The newest window that is fixed; undefined where the document cannot be read. */
export function decodeThroughWindow(text: string): number | undefined {
  try {
    return THROUGH_WINDOW_SCHEMA.safeParse(JSON.parse(text)).data?.window;
  } catch {
    return undefined;
  }
}
