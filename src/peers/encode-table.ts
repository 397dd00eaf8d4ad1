/** Converts rows of the source's tables to and from their wire form. */
import { create } from '@bufbuild/protobuf';
import { TableKnowledgeSchema } from '../gen/peer_pb.js';
import type { TableKnowledge, TableRow } from '../gen/peer_pb.js';
import type { MirrorChanges, MirroredRow } from '../knowledge/table-mirror.js';

/** `knownAtMs`: latest time on the source clock at which the table is known to have been current. */
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

export function decodeRows(rows: readonly TableRow[]): MirroredRow[] {
  return rows.map(({ key, value, revision }) => ({ key, value, revision }));
}
