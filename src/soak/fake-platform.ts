/** The platform's services for randomised runs: a table and objects in memory, with its faults. */
import type { InstanceListClient, ListedInstance } from '../storage/instance-list-client.js';
import type { ObjectClient } from '../storage/object-client.js';
import { PLATFORM_FAILURE, createPlatformError } from '../storage/platform-error.js';
import type { PlatformError, PlatformFailure } from '../storage/platform-error.js';
import type { ItemKey, TableClient, TableItem, TableWrite } from '../storage/table-client.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import type { Random } from '../utils/random.js';
import type { Actor, VirtualTime } from './virtual-time.js';

/** Faults, all off at the start. */
export interface PlatformTroubles {
  isDown: boolean;
  /** Longest delay of a call. */
  slowMs: number;
  /** Share of writes that take effect and whose answer is lost. */
  lostAnswers: number;
  /** Share of writes that take effect long after the caller has given up. */
  lateWrites: number;
}

/** The platform as an instance reaches it. */
export interface PlatformAccess {
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly instances: InstanceListClient;
}

/** The platform. */
export interface FakePlatform {
  readonly troubles: PlatformTroubles;
  createAccess(actor: Actor): PlatformAccess;
}

interface StoredItem {
  readonly version: number;
  readonly text: string;
}

const CALL_MS = 3;
/** A caller gives up after this long. */
const GIVE_UP_MS = 1500;
const LATE_MS = 8000;
const LIST_LAG_MS = 3000;

/** Builds an empty platform. */
export function createFakePlatform(time: VirtualTime, random: Random): FakePlatform {
  const troubles: PlatformTroubles = { isDown: false, slowMs: 0, lostAnswers: 0, lateWrites: 0 };
  const items = new Map<string, StoredItem>();
  const texts = new Map<string, string>();
  const listed = new Map<string, { instance: ListedInstance; sinceMs: number }>();

  const buildKey = (key: ItemKey): string => `${key.partition}\n${key.sort}`;
  const buildError = (kind: PlatformFailure): PlatformError =>
    createPlatformError(kind, 'the fake platform fails as it was told to');

  function isMet(write: TableWrite): boolean {
    const version = items.get(buildKey(write.key))?.version;
    return write.kind === 'insert' ? version === undefined : version === write.expectedVersion;
  }

  function applyWrites(writes: readonly TableWrite[]): boolean {
    if (!writes.every(isMet)) return false;
    for (const write of writes) {
      const version = write.kind === 'insert' ? 1 : write.expectedVersion + 1;
      items.set(buildKey(write.key), { version, text: JSON.stringify(write.document) });
    }
    return true;
  }

  function parseItem<T>(joined: string, stored: StoredItem): TableItem<T> {
    const [partition = '', sort = ''] = joined.split('\n');
    return {
      key: { partition, sort },
      version: stored.version,
      document: JSON.parse(stored.text) as T,
    };
  }

  /** Carries a call out somewhere between now and its answer, as a network would. */
  function runCall<T>(actor: Actor, run: () => Result<T, PlatformError>) {
    return new Promise<Result<T, PlatformError>>((resolve) => {
      const delayMs = CALL_MS + random.next() * troubles.slowMs;
      if (troubles.isDown || delayMs > GIVE_UP_MS) {
        time.add(actor, Math.min(delayMs, GIVE_UP_MS), () => {
          resolve(Err(buildError(PLATFORM_FAILURE.Ambiguous)));
        });
        return;
      }
      time.add(undefined, delayMs / 2, () => {
        const result = run();
        time.add(actor, delayMs / 2, () => resolve(result));
      });
    });
  }

  function runWrite(actor: Actor, writes: readonly TableWrite[]) {
    const chance = random.next();
    const isLate = chance < troubles.lateWrites;
    const isLost = !isLate && chance < troubles.lateWrites + troubles.lostAnswers;
    if (!isLate && !isLost) {
      return runCall<void>(actor, () =>
        applyWrites(writes) ? Ok(undefined) : Err(buildError(PLATFORM_FAILURE.Conflict)),
      );
    }
    // The effect comes, soon or late; the answer never does.
    const effectMs = isLate ? random.next() * LATE_MS : CALL_MS;
    time.add(undefined, effectMs, () => applyWrites(writes));
    return new Promise<Result<void, PlatformError>>((resolve) => {
      time.add(actor, GIVE_UP_MS, () => resolve(Err(buildError(PLATFORM_FAILURE.Ambiguous))));
    });
  }

  return {
    troubles,
    createAccess: (actor) => ({
      table: {
        get: <T>(key: ItemKey) =>
          runCall<TableItem<T> | undefined>(actor, () => {
            const stored = items.get(buildKey(key));
            return Ok(stored === undefined ? undefined : parseItem<T>(buildKey(key), stored));
          }),
        query: <T>(partition: string, options: { isReversed?: boolean; limit?: number } = {}) =>
          runCall<TableItem<T>[]>(actor, () => {
            const found = [...items]
              .filter(([joined]) => joined.startsWith(`${partition}\n`))
              .sort(([a], [b]) => (a < b ? -1 : 1))
              .map(([joined, stored]) => parseItem<T>(joined, stored));
            if (options.isReversed === true) found.reverse();
            return Ok(found.slice(0, options.limit ?? 100));
          }),
        transact: (writes) => runWrite(actor, writes),
      },
      objects: {
        get: (name) => runCall(actor, () => Ok(texts.get(name))),
        store: (name, text) =>
          runCall<void>(actor, () => {
            texts.set(name, text);
            return Ok(undefined);
          }),
      },
      instances: {
        list: () =>
          runCall<readonly ListedInstance[]>(actor, () =>
            Ok(
              [...listed.values()]
                .filter((entry) => time.getNow() - entry.sinceMs >= LIST_LAG_MS)
                .map((entry) => entry.instance),
            ),
          ),
        register: (instance) =>
          runCall<void>(actor, () => {
            const known = listed.get(instance.name);
            const sinceMs = known?.sinceMs ?? time.getNow();
            listed.set(instance.name, { instance, sinceMs });
            return Ok(undefined);
          }),
      },
    }),
  };
}
