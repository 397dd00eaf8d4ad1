import fc from 'fast-check';
import { PLATFORM_FAILURE, createPlatformError } from '../storage/platform-error.js';
import { createInvariants } from '../runtime/invariants.js';
import { describe } from '../test/describe.js';
import { hashText } from '../utils/hash.js';
import { Err, Ok } from '../utils/result.js';
import { createCompiler } from './compile-files.js';
import { formatDeclarationError } from './declaration-error.js';
import { createConfigurationSync } from './configuration-sync.js';
import { buildManifest, encodeManifest } from './manifest.js';
import { formatPublishError, publishFiles } from './publish.js';
import type { PublishRequest } from './publish.js';
import type { AuditRecord, ConfigurationStore } from './store.js';

const BASE = `
classes:
  counter: { tier: 0, firstTokenMs: 1400, betweenTokensMs: 76, deadlineMs: 10000, floor: 0.1 }
pools:
  models: { kind: engine, models: [assistant], endpoints: {} }
`;

function buildOrganisationFile(name: string, weight: number): string {
  const key = `sha256:${hashText(name)}`;
  return `organisations:\n  ${name}: { keys: ['${key}'], classes: [counter], defaultClass: counter, pools: [models], weight: ${weight} }\n`;
}

/** In-memory store; `chooseOutcome` decides whether a write succeeds or where it is lost. */
function createFakeStore(
  chooseOutcome: (attempt: number) => 'fine' | 'lost' | 'unsent' = () => 'fine',
) {
  const texts = new Map<string, string>();
  const audit: AuditRecord[] = [];
  let attempts = 0;
  const ambiguous = createPlatformError(PLATFORM_FAILURE.Ambiguous, 'lost');
  const store: ConfigurationStore = {
    async getHead() {
      const last = audit.at(-1);
      if (last === undefined) return Ok(undefined);
      const { manifestHash, publishId, version } = last;
      return Ok({
        key: { partition: 'configuration', sort: 'head' },
        version,
        document: { manifestHash, publishId },
      });
    },
    async publish(record) {
      attempts += 1;
      const outcome = chooseOutcome(attempts);
      if (outcome === 'unsent') return Err(ambiguous);
      if ((audit.at(-1)?.version ?? 0) !== record.fromVersion) {
        return Err(createPlatformError(PLATFORM_FAILURE.Conflict, 'moved'));
      }
      audit.push(record);
      return outcome === 'lost' ? Err(ambiguous) : Ok(undefined);
    },
    getAudit: async (version) => Ok(audit.find((record) => record.version === version)),
    listAudit: async () => Ok([...audit].reverse()),
    async getText(hash) {
      const text = texts.get(hash);
      return text === undefined
        ? Err(createPlatformError(PLATFORM_FAILURE.Rejected, 'missing'))
        : Ok(text);
    },
    async storeText(text) {
      texts.set(hashText(text), text);
      return Ok(undefined);
    },
  };
  return { store, audit };
}

function buildRequest(files: Record<string, string>, change: Partial<PublishRequest> = {}) {
  return {
    files: new Map(Object.entries(files)),
    only: undefined,
    baseVersion: undefined,
    who: 'nimal',
    reason: '',
    atMs: 0,
    publishId: `id-${Object.values(files).join('').length}-${change.who ?? ''}`,
    ...change,
  };
}

describe('publishing', ({ it }) => {
  const initialFiles = {
    '00.yaml': BASE,
    'a.yaml': buildOrganisationFile('a', 1),
    'b.yaml': buildOrganisationFile('b', 1),
  };

  it('recognises its own write when the response is lost', async (t) => {
    // Guards against a change that is recorded twice because the response to the first write was lost.
    const { store, audit } = createFakeStore((attempt) => (attempt === 1 ? 'lost' : 'fine'));
    const published = await publishFiles(store, buildRequest(initialFiles));
    t.true(published.ok);
    t.is(audit.length, 1);
  });

  it('recognises its own write after a later one by another operator', async (t) => {
    // Guards against reporting a conflict for a change that took effect: its response was lost, and
    // another operator changed the same file before it was read back.
    const { store, audit } = createFakeStore((attempt) => (attempt === 2 ? 'lost' : 'fine'));
    await publishFiles(store, buildRequest(initialFiles));
    const racingStore: ConfigurationStore = {
      ...store,
      async publish(record) {
        const result = await store.publish(record);
        if (record.version === 2) {
          const theirs = { ...initialFiles, 'a.yaml': buildOrganisationFile('a', 7) };
          await publishFiles(store, buildRequest(theirs, { who: 'kamala' }));
        }
        return result;
      },
    };
    const ours = { ...initialFiles, 'a.yaml': buildOrganisationFile('a', 2) };
    const published = await publishFiles(racingStore, buildRequest(ours, { who: 'nimal' }));
    t.is(published.ok && published.val.version, 2);
    t.deepEqual(
      audit.map(({ who }) => who),
      ['nimal', 'nimal', 'kamala'],
    );
  });

  it('retries a write that never arrived', async (t) => {
    const { store, audit } = createFakeStore((attempt) => (attempt === 1 ? 'unsent' : 'fine'));
    t.true((await publishFiles(store, buildRequest(initialFiles))).ok);
    t.is(audit.length, 1);
  });

  it('merges concurrent changes of different files', async (t) => {
    // Guards against a conflict between concurrent publications that change different files.
    const { store, audit } = createFakeStore();
    await publishFiles(store, buildRequest(initialFiles));
    const changedA = { ...initialFiles, 'a.yaml': buildOrganisationFile('a', 2) };
    const changedB = { ...initialFiles, 'b.yaml': buildOrganisationFile('b', 3) };
    await publishFiles(store, buildRequest(changedA, { who: 'a', baseVersion: 1 }));
    const merged = await publishFiles(store, buildRequest(changedB, { who: 'b', baseVersion: 1 }));
    t.true(merged.ok);
    t.is(audit.at(-1)?.version, 3);
    if (!merged.ok) return;
    t.is(merged.val.declarations.organisations.get('a')?.weight, 2);
    t.is(merged.val.declarations.organisations.get('b')?.weight, 3);
  });

  it('reports author, time and remedy of a conflicting change', async (t) => {
    const { store } = createFakeStore();
    await publishFiles(store, buildRequest(initialFiles));
    const theirs = { ...initialFiles, 'a.yaml': buildOrganisationFile('a', 2) };
    const ours = { ...initialFiles, 'a.yaml': buildOrganisationFile('a', 9) };
    await publishFiles(store, buildRequest(theirs, { who: 'kamala', baseVersion: 1 }));
    const refused = await publishFiles(store, buildRequest(ours, { who: 'nimal', baseVersion: 1 }));
    t.true(refused.err);
    if (!refused.err) return;
    t.snapshot(formatPublishError(refused.val));
  });

  it('changes only the files that are named', async (t) => {
    const { store } = createFakeStore();
    await publishFiles(store, buildRequest(initialFiles));
    const own = { 'a.yaml': buildOrganisationFile('a', 4) };
    const published = await publishFiles(store, buildRequest(own, { only: ['a.yaml'] }));
    t.is(published.ok && published.val.declarations.organisations.size, 2);
  });
});

describe('declarations', ({ it }) => {
  it('are rejected with file, line and remedy', (t) => {
    const files = new Map([
      ['00.yaml', BASE],
      ['a.yaml', buildOrganisationFile('a', 1)],
      ['b.yaml', buildOrganisationFile('a', 1)],
      ['c.yaml', buildOrganisationFile('c', 1).replace('classes: [counter]', 'classes: [gold]')],
      ['d.yaml', 'classes:\n  fast:\n    tier: 0\n    tire: 1\n'],
      ['e.yaml', 'organisations: {{\n'],
    ]);
    const schemaErrors = createCompiler().build(files, 1);
    t.snapshot(schemaErrors.err && schemaErrors.val.map(formatDeclarationError));
    files.delete('d.yaml');
    files.delete('e.yaml');
    const referenceErrors = createCompiler().build(files, 1);
    t.snapshot(referenceErrors.err && referenceErrors.val.map(formatDeclarationError));
  });
});

describe('current configuration', ({ it }) => {
  it('never reverts to an older version', (t) => {
    // Guards against applying an older version from a stale read or a partitioned peer, which could
    // restore access that was revoked.
    const property = fc.property(
      fc.array(fc.record({ version: fc.integer({ min: 1, max: 9 }), isFetched: fc.boolean() }), {
        maxLength: 40,
      }),
      (steps) => {
        const sync = createConfigurationSync(
          createInvariants((breach) => {
            throw new Error(breach.detail);
          }),
        );
        let highest = 0;
        return steps.every(({ version, isFetched }, index) => {
          const files = new Map([['00.yaml', `${BASE}# ${version}\n`]]);
          const manifest = encodeManifest(buildManifest(files));
          const texts = new Map([...files.values()].map((text) => [hashText(text), text]));
          const before = sync.getVersion();
          if (isFetched) {
            sync.handle({ kind: 'fetched', version, manifest, texts }, index);
            highest = Math.max(highest, version);
          } else sync.handle({ kind: 'announced', version, source: 'peer' }, index);
          return sync.getVersion() >= before && sync.getVersion() === highest;
        });
      },
    );
    t.notThrows(() => fc.assert(property, { seed: 5, numRuns: 500 }));
  });

  it('rejects a file that does not match its hash', (t) => {
    const sync = createConfigurationSync(createInvariants(() => undefined));
    const manifest = encodeManifest(buildManifest(new Map([['00.yaml', BASE]])));
    const texts = new Map([[hashText(BASE), `${BASE}# forged`]]);
    const commands = sync.handle({ kind: 'fetched', version: 1, manifest, texts }, 0);
    t.is(commands[0]?.kind, 'reject');
    t.is(sync.getVersion(), 0);
  });
});
