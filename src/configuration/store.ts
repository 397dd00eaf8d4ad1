/** Where published configurations live: a head and an audit trail in the table, texts as objects. */
import type { ObjectClient } from '../storage/object-client.js';
import { PLATFORM_FAILURE, createPlatformError } from '../storage/platform-error.js';
import type { PlatformError } from '../storage/platform-error.js';
import type { ItemKey, TableClient, TableItem } from '../storage/table-client.js';
import { hashText } from '../utils/hash.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import type { FileChange } from './manifest.js';

/** The one item that names the configuration in force. Its item version is the configuration's. */
export const HEAD_KEY: ItemKey = { partition: 'configuration', sort: 'head' };
const AUDIT_PARTITION = 'audit';
const VERSION_DIGITS = 12;

/** The head's document. */
export interface HeadDocument {
  readonly manifestHash: string;
  /** Chosen by the publisher, so that it knows its own write again after a lost answer. */
  readonly publishId: string;
}

/** One record of the audit trail, written in the same transaction as the head. */
export interface AuditRecord {
  readonly version: number;
  readonly fromVersion: number;
  readonly who: string;
  /** Wall clock of the publisher, milliseconds since the epoch. */
  readonly atMs: number;
  readonly publishId: string;
  readonly manifestHash: string;
  readonly reason: string;
  readonly changes: readonly FileChange[];
}

/** Access to published configurations. */
export interface ConfigurationStore {
  getHead(): Promise<Result<TableItem<HeadDocument> | undefined, PlatformError>>;
  /** Moves the head from `fromVersion` (0: none yet) and writes the audit record, or neither. */
  publish(record: AuditRecord): Promise<Result<void, PlatformError>>;
  getAudit(version: number): Promise<Result<AuditRecord | undefined, PlatformError>>;
  listAudit(limit: number): Promise<Result<AuditRecord[], PlatformError>>;
  /** A text by its hash; refused when it does not match. */
  getText(hash: string): Promise<Result<string, PlatformError>>;
  storeText(text: string): Promise<Result<void, PlatformError>>;
}

function buildAuditKey(version: number): ItemKey {
  return { partition: AUDIT_PARTITION, sort: String(version).padStart(VERSION_DIGITS, '0') };
}

/** Builds a store on the platform's two services. */
export function createConfigurationStore(
  table: TableClient,
  objects: ObjectClient,
): ConfigurationStore {
  return {
    getHead: () => table.get<HeadDocument>(HEAD_KEY),
    publish(record) {
      const document: HeadDocument = {
        manifestHash: record.manifestHash,
        publishId: record.publishId,
      };
      const isFirst = record.fromVersion === 0;
      return table.transact([
        isFirst
          ? { kind: 'insert', key: HEAD_KEY, document }
          : { kind: 'replace', key: HEAD_KEY, document, expectedVersion: record.fromVersion },
        { kind: 'insert', key: buildAuditKey(record.version), document: record },
      ]);
    },
    async getAudit(version) {
      const item = await table.get<AuditRecord>(buildAuditKey(version));
      return item.map((found) => found?.document);
    },
    async listAudit(limit) {
      const items = await table.query<AuditRecord>(AUDIT_PARTITION, { isReversed: true, limit });
      return items.map((found) => found.map((item) => item.document));
    },
    async getText(hash) {
      const text = await objects.get(`configuration/${hash}`);
      if (text.err) return text;
      if (text.val !== undefined && hashText(text.val) === hash) return Ok(text.val);
      return Err(
        createPlatformError(
          PLATFORM_FAILURE.Rejected,
          `object ${hash.slice(0, 12)} is missing or damaged; apply the folder again`,
        ),
      );
    },
    storeText: (text) => objects.store(`configuration/${hashText(text)}`, text),
  };
}
