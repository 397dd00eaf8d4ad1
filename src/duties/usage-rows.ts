/** Encoding of committed counts, split into parts that fit the store's row size. */
import { z } from 'zod';
import type { UsageReport } from './duty-calls.js';
import { USAGE_PREFIX } from './duty-store.js';
import type { DutyRow } from './duty-store.js';
import type { UsageCount } from './usage-ledger.js';

/** Maximum bytes of counts per document; a row of the store holds 64 KB. */
const PART_BYTES_MAX = 48_000;

const PART_SCHEMA = z.object({
  window: z.int(),
  /** Total number of parts. */
  parts: z.int().positive(),
  counts: z.array(z.object({ organisation: z.string(), count: z.int() })),
});
const THROUGH_WINDOW_SCHEMA = z.object({ window: z.int() });

export function formatUsageKey(window: number, part: number): string {
  return `${USAGE_PREFIX}${window}/${part}`;
}

/** Returns one document per part. */
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
    // Malformed documents are skipped.
    return undefined;
  }
}

/** Complete reports among the documents, oldest first; a report with missing parts is skipped. */
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

export function encodeThroughWindow(window: number): string {
  return JSON.stringify({ window });
}

/** The newest committed window; undefined if the document is malformed. */
export function decodeThroughWindow(text: string): number | undefined {
  try {
    return THROUGH_WINDOW_SCHEMA.safeParse(JSON.parse(text)).data?.window;
  } catch {
    return undefined;
  }
}
