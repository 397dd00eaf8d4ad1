import fc from 'fast-check';
import { createSimulatedStreamStore } from '../test/simulated-stream-store.js';
import type { SimulatedStreamStore } from '../test/simulated-stream-store.js';
import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import { createPoolVersions } from './pool-versions.js';
import { createStoredStreams } from './stored-streams.js';
import type { HeldClaim, StoredStreams } from './stored-streams.js';
import { hashVersion } from './stream-binding.js';
import { createStreamLife } from './stream-life.js';
import type { StreamRow, VersionClaim } from './stream-row.js';
import { createStreamRowWriter } from './stream-row-writer.js';
import { listUnchanged } from './version-claim.js';

const LIFE_MS = 10_000;
const POOL = hashName('p');
const V1 = hashVersion('v1');
const KEY = '0123456789abcdef';
const START_MS = 100_000;

function buildEndpoint(id: string, softwareVersion: string, pool = 'p'): RegisteredEndpoint {
  return {
    id,
    startId: id,
    pool,
    address: id,
    dataCentre: 'd',
    slots: 1,
    isLeaving: false,
    isSpot: false,
    softwareVersion,
  };
}

function buildRow(fields: Partial<StreamRow> = {}): StreamRow {
  const streams = [{ pool: POOL, version: V1, keys: [KEY] }];
  const row = { key: 'a/1', writtenAtMs: START_MS - 1000, lifeMs: LIFE_MS, claim: undefined };
  return { ...row, streams, ...fields };
}

interface Setup {
  readonly store: SimulatedStreamStore;
  readonly stored: StoredStreams;
  readonly claims: HeldClaim[];
  /** Lets reads that were started end. */
  settle(): Promise<void>;
  advanceBy(ms: number): void;
}

async function createSetup(rows: readonly StreamRow[]): Promise<Setup> {
  let nowMs = START_MS;
  const getNow = (): number => nowMs;
  const store = createSimulatedStreamStore(getNow);
  await Promise.all(rows.map((row) => store.set(row)));
  const claims: HeldClaim[] = [];
  const stored = createStoredStreams({
    store,
    getNow,
    isViewReady: () => true,
    getLifeMs: () => LIFE_MS,
    onLife: () => undefined,
    onClaim: (claim) => claims.push(claim),
    onRead: () => undefined,
  });
  return {
    store,
    stored,
    claims,
    settle: () =>
      new Promise((resolve) => {
        setImmediate(resolve);
      }),
    advanceBy(ms) {
      nowMs += ms;
    },
  };
}

const CLAIM: VersionClaim = {
  revision: 7,
  pools: [{ pool: POOL, version: V1 }],
  endpoints: [hashName('e1'), hashName('e2')],
};

describe('streams that outlive an end of all instances', ({ describe: block }) => {
  block('a stored stream', ({ it }) => {
    it('waits for the first read and is bound to its version then', async (t) => {
      const { stored, settle } = await createSetup([buildRow()]);
      t.is(stored.resolve(KEY, POOL).kind, 'wait');
      await settle();
      t.deepEqual(stored.resolve(KEY, POOL), { kind: 'bound', version: V1 });
      t.is(stored.resolve(KEY, hashName('other pool')).kind, 'unknown');
    });

    // Guards against a stream that goes on at a version of which only one of two rows speaks.
    it('is bound to none if rows differ, and to none after its life', async (t) => {
      const other = [{ pool: POOL, version: hashVersion('v2'), keys: [KEY] }];
      const differing = await createSetup([buildRow(), buildRow({ key: 'b/1', streams: other })]);
      differing.stored.advance();
      await differing.settle();
      t.is(differing.stored.resolve(KEY, POOL).kind, 'unknown');
      const old = await createSetup([buildRow({ writtenAtMs: START_MS - LIFE_MS - 1 })]);
      old.stored.advance();
      await old.settle();
      t.is(old.stored.resolve(KEY, POOL).kind, 'unknown');
    });

    // Guards against calls that wait for a store that does not answer, and against a guess instead.
    it('is unknown if the store is away, after a wait at the start', async (t) => {
      const { store, stored, settle, advanceBy } = await createSetup([buildRow()]);
      store.setReachable(false);
      t.is(stored.resolve(KEY, POOL).kind, 'wait');
      await settle();
      advanceBy(2500);
      stored.resolve(KEY, POOL);
      await settle();
      t.is(stored.resolve(KEY, POOL).kind, 'unknown');
      store.setReachable(true);
      advanceBy(1000);
      stored.resolve(KEY, POOL);
      await settle();
      t.is(stored.resolve(KEY, POOL).kind, 'bound');
    });

    // Guards against callers that make instances read the store for each id that they invent.
    it('is looked up at most once a second', async (t) => {
      const { stored, settle, store } = await createSetup([]);
      let reads = 0;
      const { list } = store;
      store.list = () => {
        reads += 1;
        return list();
      };
      for (let call = 0; call < 50; call += 1) {
        stored.resolve(`${call}`.padStart(16, '0'), POOL);
        // Sequential: each call comes after the read of the one before.
        // eslint-disable-next-line no-await-in-loop
        await settle();
      }
      t.is(reads, 1);
    });
  });

  block('a claim that a pool had one version', ({ it }) => {
    it('is handed on from its life on, for the newest revision', async (t) => {
      const older = { ...CLAIM, revision: 3, pools: [] };
      const { stored, claims, settle } = await createSetup([
        buildRow({ claim: CLAIM }),
        buildRow({ key: 'b/1', claim: older }),
      ]);
      stored.advance();
      await settle();
      t.deepEqual(claims, [
        { pools: CLAIM.pools, sinceMs: START_MS - 1000 - LIFE_MS, checkedMs: START_MS },
      ]);
    });

    it('is void if the changes of the registry are not known', async (t) => {
      const { store, stored, claims, settle } = await createSetup([buildRow({ claim: CLAIM })]);
      store.setChanges(undefined);
      stored.advance();
      await settle();
      t.deepEqual(claims, []);
    });

    // Guards against a version that began streams and left while nobody watched.
    it('never holds for a pool that had another version since', (t) => {
      const event = fc.record({
        id: fc.constantFrom('e1', 'e2', 'n1', 'n2', 'n3'),
        version: fc.constantFrom('v1', 'v2'),
        isRemoved: fc.boolean(),
      });
      fc.assert(
        fc.property(fc.array(event, { maxLength: 8 }), (events) => {
          const versionOf = new Map<string, string>([
            ['e1', 'v1'],
            ['e2', 'v1'],
          ]);
          const last = new Map<string, RegisteredEndpoint | undefined>();
          const seen = new Set(['v1']);
          for (const { id, version, isRemoved } of events) {
            // A start keeps its version, and an id is not used twice.
            const isGone = last.has(id) && last.get(id) === undefined;
            const own = versionOf.get(id) ?? version;
            if (!isGone) {
              versionOf.set(id, own);
              seen.add(own);
              last.set(id, isRemoved ? undefined : buildEndpoint(id, own));
            }
          }
          const present = [...last.values()].filter((endpoint) => endpoint !== undefined);
          const removed = [...last].filter(([, found]) => found === undefined).map(([id]) => id);
          const held = listUnchanged(CLAIM, { present, removed });
          return held.length === 0 || (seen.size === 1 && held[0]?.version === V1);
        }),
      );
      t.pass();
    });

    // Guards against a claim that ends before this instance's own watch began.
    it('counts only if the own view was continuous when it was checked', (t) => {
      const [binding] = CLAIM.pools;
      if (binding === undefined) return;
      const endpoints = [buildEndpoint('e1', 'v1')];
      const late = createPoolVersions();
      late.recordEarlier(binding, 0, 20_000);
      late.record(endpoints, true, 20_100);
      t.is(late.findOnly(POOL, LIFE_MS, 20_200), undefined);
      const joined = createPoolVersions();
      joined.record(endpoints, true, 20_000);
      joined.recordEarlier(binding, 0, 20_100);
      t.is(joined.findOnly(POOL, LIFE_MS, 20_200), V1);
      joined.record(endpoints, false, 20_300);
      joined.record(endpoints, true, 20_400);
      t.is(joined.findOnly(POOL, LIFE_MS, 20_500), undefined);
    });

    it('counts for no pool in which another version is registered', (t) => {
      const [binding] = CLAIM.pools;
      if (binding === undefined) return;
      const versions = createPoolVersions();
      versions.record([buildEndpoint('e1', 'v1'), buildEndpoint('e9', 'v2')], true, 20_000);
      versions.recordEarlier(binding, 0, 20_100);
      t.is(versions.findOnly(POOL, LIFE_MS, 20_200), undefined);
    });
  });

  block('the life of streams', ({ it }) => {
    // Guards against a configuration with shorter timeouts that makes older streams forgotten.
    it('outlasts a configuration with shorter timeouts, and the limits of callers', (t) => {
      let nowMs = 0;
      const life = createStreamLife(() => nowMs);
      t.is(life.get(), 60_000, 'before the rows are read');
      life.recordStored(0);
      t.is(life.get(), 10_000);
      life.recordRoutes(15_000);
      life.recordRoutes(2000);
      t.is(life.get(), 15_000);
      life.recordLimit(40_000);
      life.recordLimit(Infinity);
      t.is(life.get(), 60_000);
      nowMs = 200_000;
      life.get();
      nowMs = 400_000;
      t.is(life.get(), 10_000);
    });
  });

  block('the row of an instance', ({ it }) => {
    it('is written at once for a first stream, then four times a second, and not on a calm day', async (t) => {
      let nowMs = 0;
      let keys: string[] = [];
      let claim: VersionClaim | undefined;
      const store = createSimulatedStreamStore(() => nowMs);
      let writes = 0;
      const { set } = store;
      store.set = (row) => {
        writes += 1;
        return set(row);
      };
      const writer = createStreamRowWriter({
        key: 'a/1',
        store,
        getNow: () => nowMs,
        getSourceNow: () => nowMs,
        countInstances: () => 7,
        getLifeMs: () => LIFE_MS,
        listStreams: () => (keys.length === 0 ? [] : [{ pool: POOL, version: V1, keys }]),
        getClaim: () => claim,
        isLeading: () => claim !== undefined,
      });
      const runUntil = async (untilMs: number, isBusy: boolean): Promise<void> => {
        for (; nowMs < untilMs; nowMs += 100) {
          if (isBusy) keys = [...keys, `${nowMs}`.padStart(16, '0')];
          writer.advance();
          // Sequential: time advances between writes.
          // eslint-disable-next-line no-await-in-loop
          await new Promise((resolve) => {
            setImmediate(resolve);
          });
        }
      };
      await runUntil(3000, false);
      t.is(writes, 0, 'nothing to write');
      await runUntil(3100, true);
      t.is(writes, 1, 'the first stream');
      await runUntil(8600, true);
      t.true(writes > 15 && writes <= 23, `${writes} writes in 5.5 s`);
      await runUntil(20_000, false);
      const lastKey = keys.at(-1) ?? '';
      t.true(store.rows.get('a/1')?.streams[0]?.keys.includes(lastKey), 'the last stream');
      const before = writes;
      claim = CLAIM;
      await runUntil(40_000, false);
      t.is(writes - before, 4, 'a claim every five seconds');
      t.deepEqual(store.rows.get('a/1')?.claim, CLAIM);
    });
  });
});
