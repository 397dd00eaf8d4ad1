/** Rows of the source's tables in the form in which instances answer each other. */
import { create } from '@bufbuild/protobuf';
import { TableKnowledgeSchema } from '../gen/peer_pb.js';
import type { TableKnowledge, TableRow } from '../gen/peer_pb.js';
import type { MirrorChanges, MirroredRow } from '../knowledge/table-mirror.js';

/** Builds what is told of a table. `knownAtMs`: when, on the source's clock, it was surely the newest. */
export function encodeTable(
  { kind, rows }: MirrorChanges,
  revision: number,
  knownAtMs: number | undefined,
): TableKnowledge {
  return create(TableKnowledgeSchema, {
    revision,
    ...(knownAtMs === undefined ? {} : { knownAtMs }),
    hasRows: rows.length > 0,
    isComplete: kind === 'all',
    rows: rows.map(({ key, value, revision: rowRevision }) => ({
      key,
      revision: rowRevision,
      ...(value === undefined ? {} : { value }),
    })),
  });
}

/** Reads the rows of a table as a peer told it. */
export function decodeRows(rows: readonly TableRow[]): MirroredRow[] {
  return rows.map(({ key, value, revision }) => ({ key, value, revision }));
}
