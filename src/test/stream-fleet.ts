/**
 * Simulates the stream bindings of a fleet alone: instances whose views of the registry lag, datagrams that
 * are late or lost, a store that is slow, away or out of reach, two versions of endpoints.
 */
import { toBinary } from '@bufbuild/protobuf';
import { SILENT_STREAM_OBSERVER } from './simulated-stream-store.js';
import { QueryStreamSchema, StreamReplySchema, TellStreamsSchema } from '../gen/peer_pb.js';
import { encodeStreamQuery, encodeStreamReply, encodeStreams } from '../peers/encode-streams.js';
import type { BindingMessage } from '../stream-versions/binding-messages.js';
import { hashVersion } from '../stream-versions/stream-binding.js';
import { createStreamLife } from '../stream-versions/stream-life.js';
import type { StreamLife } from '../stream-versions/stream-life.js';
import { createStreamVersions } from '../stream-versions/stream-versions.js';
import type { StreamChoice, StreamVersions } from '../stream-versions/stream-versions.js';
import { CALL_KIND } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import { buildContacts } from './simulated-contacts.js';
import {
  buildEndpoint,
  createRegistryView,
  createSimulatedRegistry,
} from './simulated-registry.js';
import type { EndpointChanges } from '../stream-versions/stream-row.js';
import { buildCall, buildSimulatedRoute } from './simulated-routes.js';
import type { RoutedCall } from '../calls/call-messages.js';

const STEP_MS = 5;
const TICK_MS = 100;
const DELAY_MAX_MS = 8;
const STREAM_LIFE_MS = 10_000;
const POLL_MS = 25;
const DATA_CENTRES = 5;
/** Longest time of a read of the store that is not slow, and of one that fails. */
const READ_MAX_MS = 10;
const READ_TIMEOUT_MS = 700;
/** Longest time between two confirmations of a view, and the age up to which it counts as confirmed. */
const CONFIRMED_PERIOD_MS = 1500;
const CONFIRMED_MAX_MS = 2200;
/** Longest time without a contact, and greatest age of a view, with which an instance begins streams. */
export const SERVING_MAX_MS = 4500;

export const VERSIONS = ['v1', 'v2'] as const;

export interface StreamFleetOptions {
  readonly instances: number;
  readonly random: Random;
  /** Share of datagrams that are lost. */
  readonly lossProbability: number;
}

/** A stream that an instance began, with the version that did. */
export interface SimulatedStream {
  readonly callId: string;
  readonly instance: number;
  readonly version: string;
}

export interface ResumedStream {
  /** Version at which it may go on; undefined if nobody knows. */
  readonly version: string | undefined;
  readonly tookMs: number;
}

export interface StreamFleet {
  /** Begins a stream at a random live instance. */
  start(version: string): SimulatedStream;
  /** Ends an instance; the others still hold it for alive. */
  stop(instance: number): void;
  /** Sets whether the other instances are reached and the view of the registry is confirmed. */
  setCut(instance: number, isCut: boolean): void;
  /** Sets which versions are registered. */
  setVersions(versions: readonly string[]): void;
  /** Sets whether the store, or the other instances, are out of reach of an instance. */
  setStoreCut(instance: number, isCut: boolean): void;
  setPeersCut(instance: number, isCut: boolean): void;
  /** Sets whether the store is away for everybody. */
  setStoreAway(isAway: boolean): void;
  /** Sets the longest time of a read of the store. */
  setReadTime(maxMs: number): void;
  /** Sets by how much the view of an instance lags behind what it could know. */
  setLag(instance: number, lagMs: number): void;
  /** Replaces the view of an instance by a list, if the store is in reach. */
  applyList(instance: number): void;
  /** Begins a stream at an endpoint that the instance knows of; undefined if it may not serve. */
  startAt(instance: number): SimulatedStream | undefined;
  /** Time since the simulation began. */
  getNow(): number;
  countLooks(): number;
  runFor(ms: number): void;
  /** Resumes a stream at a random instance other than the one that began it. */
  resume(stream: SimulatedStream, organisation?: string): ResumedStream;
  resumeAt(instance: number, stream: SimulatedStream): ResumedStream;
  countDatagrams(): number;
  countBytes(): number;
}

interface Datagram {
  readonly atMs: number;
  deliver(): void;
}

function countMessageBytes(message: BindingMessage): number {
  switch (message.kind) {
    case 'told':
      return toBinary(TellStreamsSchema, encodeStreams(message.groups)).length;
    case 'query':
      return toBinary(QueryStreamSchema, encodeStreamQuery(message.query)).length;
    case 'reply':
      return toBinary(StreamReplySchema, encodeStreamReply(message.reply)).length;
    default:
      return assertNever(message);
  }
}

function setMember(members: Set<number>, member: number, isMember: boolean): void {
  if (isMember) members.add(member);
  else members.delete(member);
}

export function createStreamFleet(options: StreamFleetOptions): StreamFleet {
  const { random } = options;
  const contacts = buildContacts(options.instances, DATA_CENTRES);
  const indexes = new Map(contacts.map(({ name }, index) => [name, index]));
  const stopped = new Set<number>();
  const cut = new Set<number>();
  const registry = createSimulatedRegistry();
  registry.setVersions(VERSIONS);
  const storeCut = new Set<number>();
  const peersCut = new Set<number>();
  const lags = new Map<number, number>();
  const views = contacts.map(() => createRegistryView(registry));
  const confirmedMs = contacts.map(() => 0);
  const viewedMs = contacts.map(() => 0);
  const contactMs = contacts.map(() => 0);
  let isStoreAway = false;
  let readMaxMs = READ_MAX_MS;
  let looks = 0;
  let inFlight: Datagram[] = [];
  let nowMs = 0;
  let tickedMs = 0;
  let callCount = 0;
  let datagrams = 0;
  let bytes = 0;

  function handleMessage(to: StreamVersions, message: BindingMessage, from: string): void {
    switch (message.kind) {
      case 'told':
        to.handleTold(message.groups, from);
        break;
      case 'query':
        to.handleQuery(message.query, from);
        break;
      case 'reply':
        to.handleReply(message.reply, from);
        break;
      default:
        assertNever(message);
    }
  }

  function send(from: number, message: BindingMessage): void {
    datagrams += 1;
    bytes += countMessageBytes(message);
    const to = indexes.get(message.to) ?? 0;
    const isCut = [from, to].some((index) => cut.has(index) || peersCut.has(index));
    if (random.next() < options.lossProbability || isCut) return;
    const name = contacts[from]?.name ?? '';
    inFlight.push({
      atMs: nowMs + 1 + random.next() * DELAY_MAX_MS,
      deliver() {
        const receiver = instances[to];
        if (receiver !== undefined && !stopped.has(to)) handleMessage(receiver, message, name);
      },
    });
  }

  function isStoreInReach(index: number): boolean {
    return !isStoreAway && !cut.has(index) && !storeCut.has(index);
  }

  /** Whether the registry's state comes to an instance, from the store or from others. */
  function isInTouch(index: number): boolean {
    if (isStoreInReach(index)) return true;
    const isAlone = cut.has(index) || peersCut.has(index);
    return (
      !isAlone &&
      contacts.some(
        (_, other) => isStoreInReach(other) && !peersCut.has(other) && !stopped.has(other),
      )
    );
  }

  function startLook(
    index: number,
    revision: number,
    onEnded: (changes: EndpointChanges | undefined) => void,
  ): void {
    looks += 1;
    const sentMs = nowMs;
    const tookMs = random.next() * readMaxMs;
    const isAnswered = isStoreInReach(index) && tookMs < READ_TIMEOUT_MS;
    let changes: EndpointChanges | undefined;
    const readAtMs = nowMs + tookMs / 2;
    inFlight.push({
      atMs: readAtMs,
      deliver() {
        if (isAnswered) changes = { ...registry.listChanges(revision), sentMs };
      },
    });
    inFlight.push({
      atMs: nowMs + (isAnswered ? tookMs : READ_TIMEOUT_MS),
      deliver: () => onEnded(isStoreInReach(index) ? changes : undefined),
    });
  }

  /** The stored rows are read. */
  function createSimulatedLife(): StreamLife {
    const life = createStreamLife(() => nowMs);
    life.recordStored(0);
    return life;
  }

  const instances = contacts.map(({ name }, index) =>
    createStreamVersions({
      self: name,
      getNow: () => nowMs,
      listAlive: () => contacts,
      listRegistered: () => views[index]?.list() ?? [],
      find: (id) => views[index]?.list().find((endpoint) => endpoint.id === id),
      isViewConfirmed: () =>
        !cut.has(index) && nowMs - (confirmedMs[index] ?? 0) <= CONFIRMED_MAX_MS,
      isViewContinuous: () => !cut.has(index),
      getRegistryRevision: () => views[index]?.getRevision() ?? 0,
      getChangeRevision: () => views[index]?.getRevision() ?? 0,
      startLook: (revision, onEnded) => startLook(index, revision, onEnded),
      life: createSimulatedLife(),
      getCoveredMs: () => STREAM_LIFE_MS + SERVING_MAX_MS,
      resolveStored: () => ({ kind: 'unknown' }),
      send: (message) => send(index, message),
      observer: SILENT_STREAM_OBSERVER,
    }),
  );

  /** A view is confirmed by the watch of the registry, which may lag behind that of the configuration. */
  function advanceView(index: number): void {
    if (stopped.has(index) || !isInTouch(index)) return;
    contactMs[index] = nowMs;
    const isConfirmedNow =
      nowMs - (confirmedMs[index] ?? 0) >= CONFIRMED_PERIOD_MS || random.next() < 0.01;
    if (nowMs - (viewedMs[index] ?? 0) < (lags.get(index) ?? 0)) return;
    if (isConfirmedNow) confirmedMs[index] = nowMs;
    viewedMs[index] = nowMs;
    const before = views[index]?.getRevision();
    if (before === registry.getRevision()) return;
    const isGap = views[index]?.applyChanges() === true;
    instances[index]?.recordRegistry(isGap);
  }

  function takeDue(): Datagram[] {
    const due = inFlight.filter(({ atMs }) => atMs <= nowMs).sort((a, b) => a.atMs - b.atMs);
    inFlight = inFlight.filter(({ atMs }) => atMs > nowMs);
    return due;
  }

  function runFor(ms: number): void {
    const endMs = nowMs + ms;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      contacts.forEach((_, index) => advanceView(index));
      for (const datagram of takeDue()) datagram.deliver();
      instances.forEach((instance, index) => {
        if (!stopped.has(index)) instance.advanceLooks();
      });
      if (nowMs - tickedMs >= TICK_MS) {
        tickedMs = nowMs;
        instances.forEach((instance, index) => {
          if (!stopped.has(index)) instance.advance();
        });
      }
    }
  }

  function chooseInstance(except?: number): number {
    const live = contacts.map((_, index) => index).filter((i) => !stopped.has(i) && i !== except);
    return live[random.nextIndex(live.length)] ?? 0;
  }

  function buildStreamCall(changes: Partial<RoutedCall>): RoutedCall {
    callCount += 1;
    const route = buildSimulatedRoute('stream', {});
    const source = {
      route: { ...route, kind: CALL_KIND.ResumableStream },
      sharedTokens: 1,
      ownTokens: 1,
      outputTokens: 1,
      callsPerSecond: 1,
    };
    const call = buildCall(source, `call-${callCount}`, nowMs, random);
    return { ...call, pool: 'engines', organisation: 'own', ...changes };
  }

  function runResumed(index: number, stream: SimulatedStream, organisation = 'own'): ResumedStream {
    const call = buildStreamCall({
      organisation,
      lastEventId: '1',
      resumedCallId: stream.callId,
    });
    const startedMs = nowMs;
    let choice: StreamChoice | undefined = instances[index]?.resolve(call);
    while (choice?.kind === 'wait') {
      runFor(POLL_MS);
      choice = instances[index]?.resolve(call);
    }
    const tookMs = nowMs - startedMs;
    if (choice?.kind !== 'bound') return { version: undefined, tookMs };
    const { version } = choice;
    return { version: VERSIONS.find((text) => hashVersion(text) === version) ?? 'other', tookMs };
  }

  return {
    start(version) {
      const instance = chooseInstance();
      const call = buildStreamCall({});
      instances[instance]?.recordStarted(call, buildEndpoint(version, `engine-${version}`));
      return { callId: call.callId, instance, version };
    },
    stop: (instance) => stopped.add(instance),
    setCut: (instance, isCut) => setMember(cut, instance, isCut),
    setVersions: (versions) => registry.setVersions(versions),
    setStoreCut: (instance, isCut) => setMember(storeCut, instance, isCut),
    setPeersCut: (instance, isCut) => setMember(peersCut, instance, isCut),
    setStoreAway(isAway) {
      isStoreAway = isAway;
    },
    setReadTime(maxMs) {
      readMaxMs = maxMs;
    },
    setLag: (instance, lagMs) => lags.set(instance, lagMs),
    applyList(instance) {
      if (!isStoreInReach(instance) || stopped.has(instance)) return;
      const isGap = views[instance]?.applyList() === true;
      instances[instance]?.recordRegistry(isGap);
    },
    startAt(instance) {
      const known = views[instance]?.list() ?? [];
      const endpoint = known[random.nextIndex(Math.max(1, known.length))];
      const heardMs = Math.min(contactMs[instance] ?? 0, viewedMs[instance] ?? 0);
      const isServing = nowMs - heardMs <= SERVING_MAX_MS;
      if (endpoint === undefined || !isServing || stopped.has(instance)) return undefined;
      const call = buildStreamCall({});
      instances[instance]?.recordStarted(call, endpoint);
      return { callId: call.callId, instance, version: endpoint.softwareVersion };
    },
    getNow: () => nowMs,
    countLooks: () => looks,
    runFor,
    resume: (stream, organisation) =>
      runResumed(chooseInstance(stream.instance), stream, organisation),
    resumeAt: runResumed,
    countDatagrams: () => datagrams,
    countBytes: () => bytes,
  };
}
