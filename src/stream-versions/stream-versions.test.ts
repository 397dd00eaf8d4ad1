import { SILENT_STREAM_OBSERVER } from '../test/simulated-stream-store.js';
import type { RoutedCall } from '../calls/call-messages.js';
import { hashStartId } from '../placement/remote-loads.js';
import { describe } from '../test/describe.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind, RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { BindingMessage } from './binding-messages.js';
import { UNSURE_VERSION, hashVersion } from './stream-binding.js';
import { createStreamLife } from './stream-life.js';
import { createStreamVersions } from './stream-versions.js';
import type { StreamVersions } from './stream-versions.js';

const POOL = 'engines';

function buildEndpoint(id: string, softwareVersion: string, start = 'a'): RegisteredEndpoint {
  return {
    id,
    startId: `${id}@${start}`,
    pool: POOL,
    address: id,
    dataCentre: 'd',
    slots: 1,
    isLeaving: false,
    isSpot: false,
    softwareVersion,
  };
}

interface Setup {
  readonly streams: StreamVersions;
  readonly sent: BindingMessage[];
  advanceTo(ms: number, isViewConfirmed?: boolean): void;
  setRegistered(endpoints: readonly RegisteredEndpoint[]): void;
}

function createSetup(registered: readonly RegisteredEndpoint[], alone = true): Setup {
  const sent: BindingMessage[] = [];
  let nowMs = 0;
  let isConfirmed = true;
  let endpoints = registered;
  const life = createStreamLife(() => nowMs);
  life.recordStored(0);
  const names = alone ? ['self'] : ['self', 'other'];
  const streams = createStreamVersions({
    self: 'self',
    getNow: () => nowMs,
    listAlive: () => names.map((name) => ({ name, dataCentre: 'd' })),
    listRegistered: () => endpoints,
    find: (id) => endpoints.find((endpoint) => endpoint.id === id),
    isViewConfirmed: () => isConfirmed,
    isViewContinuous: () => isConfirmed,
    getRegistryRevision: () => 1,
    getChangeRevision: () => 1,
    startLook: (revision, onEnded) =>
      onEnded({ revision, present: [], removed: [], sentMs: nowMs }),
    life,
    getCoveredMs: () => 10_000,
    resolveStored: () => ({ kind: 'unknown' }),
    send: (message) => sent.push(message),
    observer: SILENT_STREAM_OBSERVER,
  });
  return {
    streams,
    sent,
    advanceTo(ms, isViewConfirmed = true) {
      nowMs = ms;
      isConfirmed = isViewConfirmed;
      streams.advance();
    },
    setRegistered(next) {
      endpoints = next;
    },
  };
}

function buildStreamCall(
  changes: Partial<RoutedCall>,
  kind: CallKind = CALL_KIND.ResumableStream,
): RoutedCall {
  const route = { ...buildSimulatedRoute('stream', {}), kind };
  const source = { route, sharedTokens: 1, ownTokens: 1, outputTokens: 1, callsPerSecond: 1 };
  const call = buildCall(source, 'first', 0, createRandom(1));
  return { ...call, pool: POOL, organisation: 'own', ...changes };
}

const FIRST = buildStreamCall({});
const NEXT = buildStreamCall({ callId: 'next', lastEventId: '3', resumedCallId: 'first' });

describe('versions of streams at one instance', ({ it }) => {
  const old = buildEndpoint('e', 'v1');

  it('bind a resumed stream to the endpoint that brought its first event', (t) => {
    const { streams } = createSetup([old]);
    streams.recordStarted(FIRST, old);
    t.deepEqual(streams.resolve(NEXT), { kind: 'bound', version: hashVersion('v1') });
    t.deepEqual(streams.resolve(FIRST), { kind: 'any' });
  });

  // Guards against an endpoint that comes back under its id with other software.
  it('bind nothing to a start that ended before the registry says so', (t) => {
    const { streams, setRegistered } = createSetup([old]);
    t.true(streams.isFit(old, hashVersion('v1')));
    streams.recordEnded(hashStartId(old.startId));
    t.false(streams.isFit(old, hashVersion('v1')));
    t.is(streams.computeVersion(old), UNSURE_VERSION);
    streams.recordStarted(FIRST, old);
    t.is(streams.resolve(NEXT).kind, 'unknown');
    const again = buildEndpoint('e', 'v1', 'b');
    setRegistered([again]);
    t.true(streams.isFit(again, hashVersion('v1')));
  });

  // Guards against an endpoint without start times that gets no streams for ever after it came back.
  it('trust a start again once the registry has had time to notice its end', (t) => {
    const { streams, advanceTo } = createSetup([old]);
    streams.recordEnded(hashStartId(old.startId));
    advanceTo(9_000);
    t.false(streams.isCurrent(old));
    advanceTo(30_000, false);
    t.false(streams.isCurrent(old), 'the registry is out of reach');
    advanceTo(39_000);
    t.false(streams.isCurrent(old));
    advanceTo(41_000);
    t.true(streams.isCurrent(old));
  });

  // Guards against a choice that was made before the registry named another start or version.
  it('take no start that the registry has replaced', (t) => {
    const { streams, setRegistered } = createSetup([old]);
    setRegistered([buildEndpoint('e', 'v2', 'b')]);
    t.false(streams.isCurrent(old));
    setRegistered([buildEndpoint('e', 'v2')]);
    t.false(streams.isCurrent(old), 'a row that names another version of the same start');
    setRegistered([]);
    t.true(streams.isCurrent(old), 'an endpoint that has left the registry may still serve');
  });

  // Guards against a stream that goes on in another pool of its route.
  it('are unknown for another pool', (t) => {
    const { streams } = createSetup([old]);
    streams.recordStarted(FIRST, old);
    t.is(streams.resolve({ ...NEXT, pool: 'others' }).kind, 'unknown');
  });

  // Guards against an endless wait for instances that do not answer, and against foreign answers.
  it('wait for those that were asked, and take no other answer', (t) => {
    const { streams, sent } = createSetup([old], false);
    t.is(streams.resolve(NEXT).kind, 'wait');
    const [query] = sent;
    t.is(query?.kind, 'query');
    if (query?.kind !== 'query') return;
    const { key, pool } = query.query;
    const version = hashVersion('v1');
    const reply = { key, answer: 'bound', pool, version, ageMs: 0, coveredMs: 0 } as const;
    streams.handleReply(reply, 'stranger');
    t.is(streams.resolve(NEXT).kind, 'wait');
    streams.handleReply(reply, 'other');
    t.deepEqual(streams.resolve(NEXT), { kind: 'bound', version });
  });

  // Guards against two instances that hold different versions for the one that began a stream.
  it('are unknown where two instances contradict each other', (t) => {
    const { streams } = createSetup([old]);
    streams.recordStarted(FIRST, old);
    const { sent, streams: teller } = createSetup([], false);
    teller.recordStarted(FIRST, buildEndpoint('f', 'v2'));
    teller.advance();
    const [told] = sent;
    t.is(told?.kind, 'told');
    if (told?.kind === 'told') streams.handleTold(told.groups, 'other');
    t.is(streams.resolve(NEXT).kind, 'unknown');
  });

  // Guards against owners that drop a stream while its caller still tries.
  it('are kept for as long as callers of an instance that tells or asks of streams try', (t) => {
    const { sent, streams: teller, advanceTo: advanceTeller } = createSetup([], false);
    teller.recordStarted({ ...FIRST, callerTimeoutMs: 40_000 }, buildEndpoint('f', 'v2'));
    advanceTeller(100);
    const [told] = sent;
    t.is(told?.kind, 'told');
    if (told?.kind !== 'told') return;
    const owner = createSetup([old]);
    owner.streams.handleTold(told.groups, 'other');
    owner.advanceTo(39_000);
    t.deepEqual(owner.streams.resolve(NEXT), { kind: 'bound', version: hashVersion('v2') });
    const asked = createSetup([old], false);
    const key = told.groups[0]?.keys[0] ?? '';
    asked.streams.handleQuery({ key, pool: 0, lifeMs: 40_000 }, 'other');
    asked.streams.recordStarted(FIRST, old);
    asked.advanceTo(39_000);
    t.deepEqual(asked.streams.resolve(NEXT), { kind: 'bound', version: hashVersion('v1') });
    const [reply] = asked.sent;
    t.is(reply?.kind === 'reply' ? reply.reply.lifeMs : undefined, 40_000);
  });

  it('do not concern calls that are no streams', (t) => {
    const { streams } = createSetup([old]);
    const plain = { ...NEXT, route: { ...NEXT.route, kind: CALL_KIND.Idempotent } };
    t.deepEqual(streams.resolve(plain), { kind: 'any' });
  });

  // Guards against texts that mean something to the code: versions are equal or not.
  it('may be any text, empty, too', (t) => {
    const texts = ['', ' ', 'v1', 'v1 ', '0', 'x'.repeat(5000)];
    t.is(new Set(texts.map(hashVersion)).size, texts.length);
    t.false(texts.map(hashVersion).includes(UNSURE_VERSION));
  });
});
