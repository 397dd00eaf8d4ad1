/** Simulates the stream bindings of a fleet alone: instances, datagrams that are late or lost, two versions of endpoints. */
import { toBinary } from '@bufbuild/protobuf';
import { SILENT_STREAM_OBSERVER } from './simulated-stream-store.js';
import { QueryStreamSchema, StreamReplySchema, TellStreamsSchema } from '../gen/peer_pb.js';
import { encodeStreamQuery, encodeStreamReply, encodeStreams } from '../peers/encode-streams.js';
import type { BindingMessage } from '../stream-versions/binding-messages.js';
import { hashVersion } from '../stream-versions/stream-binding.js';
import { createStreamVersions } from '../stream-versions/stream-versions.js';
import type { StreamChoice, StreamVersions } from '../stream-versions/stream-versions.js';
import { CALL_KIND } from '../types/traffic.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import { buildContacts } from './simulated-contacts.js';
import { buildCall, buildSimulatedRoute } from './simulated-routes.js';
import type { RoutedCall } from '../calls/call-messages.js';

const STEP_MS = 5;
const TICK_MS = 100;
const DELAY_MAX_MS = 8;
const STREAM_LIFE_MS = 10_000;
const POLL_MS = 25;
const DATA_CENTRES = 5;

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

function buildEndpoint(softwareVersion: string): RegisteredEndpoint {
  return {
    id: `engine-${softwareVersion}`,
    startId: `engine-${softwareVersion}`,
    pool: 'engines',
    address: softwareVersion,
    dataCentre: 'd',
    slots: 8,
    isLeaving: false,
    isSpot: false,
    softwareVersion,
  };
}

export function createStreamFleet(options: StreamFleetOptions): StreamFleet {
  const { random } = options;
  const contacts = buildContacts(options.instances, DATA_CENTRES);
  const indexes = new Map(contacts.map(({ name }, index) => [name, index]));
  const stopped = new Set<number>();
  const cut = new Set<number>();
  let endpoints = VERSIONS.map(buildEndpoint);
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
    if (random.next() < options.lossProbability || cut.has(from) || cut.has(to)) return;
    const name = contacts[from]?.name ?? '';
    inFlight.push({
      atMs: nowMs + 1 + random.next() * DELAY_MAX_MS,
      deliver() {
        const receiver = instances[to];
        if (receiver !== undefined && !stopped.has(to)) handleMessage(receiver, message, name);
      },
    });
  }

  const instances = contacts.map(({ name }, index) =>
    createStreamVersions({
      self: name,
      getNow: () => nowMs,
      listAlive: () => contacts,
      listRegistered: () => endpoints,
      find: (id) => endpoints.find((endpoint) => endpoint.id === id),
      isViewConfirmed: () => !cut.has(index),
      isViewContinuous: () => !cut.has(index),
      getRegistryRevision: () => 1,
      getStreamLifeMs: () => STREAM_LIFE_MS,
      resolveStored: () => ({ kind: 'unknown' }),
      onLimit: () => undefined,
      send: (message) => send(index, message),
      observer: SILENT_STREAM_OBSERVER,
    }),
  );

  function takeDue(): Datagram[] {
    const due = inFlight.filter(({ atMs }) => atMs <= nowMs);
    inFlight = inFlight.filter(({ atMs }) => atMs > nowMs);
    return due;
  }

  function runFor(ms: number): void {
    const endMs = nowMs + ms;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      for (const datagram of takeDue()) datagram.deliver();
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
      instances[instance]?.recordStarted(call, buildEndpoint(version));
      return { callId: call.callId, instance, version };
    },
    stop: (instance) => stopped.add(instance),
    setCut(instance, isCut) {
      if (isCut) cut.add(instance);
      else cut.delete(instance);
    },
    setVersions(versions) {
      endpoints = versions.map(buildEndpoint);
    },
    runFor,
    resume: (stream, organisation) =>
      runResumed(chooseInstance(stream.instance), stream, organisation),
    resumeAt: runResumed,
    countDatagrams: () => datagrams,
    countBytes: () => bytes,
  };
}
