/**
 * Datagrams between instances: told loads and gossip. Both are small, frequent, and replaced or
 * repeated where one is lost; as calls over HTTP/2 they take several times the processor time. With
 * gossip in datagrams each of seven idle instances took 23 ms of a core a second instead of 40, by the
 * processes' own statistics.
 */
import { timingSafeEqual } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { DatagramSchema, TellLoadSchema } from '../gen/peer_pb.js';
import type { Datagram, PeerMessage, TellLoad } from '../gen/peer_pb.js';
import type { EndpointShareOfLoad } from '../placement/endpoint-loads.js';
import type { KnownRevisions } from './peer-links.js';

/** Shares in one datagram: about 50 bytes each, so that it fits an Ethernet frame. The largest go first. */
const SHARES_MAX = 26;

/** What one instance tells the others. */
export interface ToldLoads {
  readonly instance: string;
  readonly dataCentre: string;
  readonly shares: readonly EndpointShareOfLoad[];
  /** What the instance has of the source's tables. */
  readonly revisions: KnownRevisions;
}

/** Datagrams to and from peers. */
export interface Datagrams {
  sendLoads(addresses: readonly string[], told: ToldLoads): void;
  sendGossip(address: string, body: PeerMessage['body']): void;
  close(): void;
}

/** What the datagrams are built on. */
export interface DatagramsOptions {
  readonly self: string;
  /** Shared by all instances; datagrams without it are passed over. */
  readonly secret: string;
  readonly host: string;
  readonly port: number;
  readonly onTold: (told: ToldLoads) => void;
  readonly onGossip: (from: string, body: PeerMessage['body']) => void;
  /** A datagram that could not be sent or understood. */
  readonly onError: (reason: string) => void;
}

function encodeLoads({ dataCentre, shares, revisions }: ToldLoads): TellLoad {
  const largest = [...shares].sort((a, b) => b.unreadTokens - a.unreadTokens).slice(0, SHARES_MAX);
  return create(TellLoadSchema, {
    dataCentre,
    configurationVersion: revisions.configurationRevision,
    endpointsRevision: revisions.endpointsRevision,
    endpoints: largest.map(({ endpoint }) => endpoint),
    running: largest.map(({ running }) => running),
    unreadTokens: largest.map(({ unreadTokens }) => unreadTokens),
    answers: largest.map(({ answers }) => answers),
    failures: largest.map(({ failures }) => failures),
    readTokens: largest.map(({ readTokens }) => readTokens),
    readMs: largest.map(({ readMs }) => readMs),
  });
}

function decodeLoads(instance: string, load: TellLoad): ToldLoads {
  return {
    instance,
    dataCentre: load.dataCentre,
    revisions: {
      configurationRevision: load.configurationVersion,
      endpointsRevision: load.endpointsRevision,
    },
    shares: load.endpoints.map((endpoint, index) => ({
      endpoint,
      running: load.running[index] ?? 0,
      unreadTokens: load.unreadTokens[index] ?? 0,
      answers: load.answers[index] ?? 0,
      failures: load.failures[index] ?? 0,
      readTokens: load.readTokens[index] ?? 0,
      readMs: load.readMs[index] ?? 0,
    })),
  };
}

/** Opens the socket. */
export function openDatagrams(options: DatagramsOptions): Datagrams {
  const { self, secret } = options;
  const expected = Buffer.from(secret);
  const socket = createSocket('udp4');

  function handleDatagram({ from, secret: given, body }: Datagram): void {
    const bytes = Buffer.from(given);
    if (bytes.length !== expected.length || !timingSafeEqual(bytes, expected)) {
      options.onError(`${from} sent another secret; set the same one on every instance`);
      return;
    }
    switch (body.case) {
      case 'load':
        options.onTold(decodeLoads(from, body.value));
        break;
      case 'gossip':
        options.onGossip(from, body.value.body);
        break;
      default:
        options.onError(`${from} sent a datagram of another release`);
    }
  }

  function sendBytes(address: string, bytes: Uint8Array): void {
    const separator = address.lastIndexOf(':');
    socket.send(bytes, Number(address.slice(separator + 1)), address.slice(0, separator));
  }

  socket.on('error', (error) => options.onError(String(error)));
  socket.on('message', (bytes) => {
    try {
      handleDatagram(fromBinary(DatagramSchema, bytes));
    } catch (error) {
      options.onError(String(error));
    }
  });
  socket.bind(options.port, options.host);

  return {
    sendLoads(addresses, told) {
      const body = { case: 'load', value: encodeLoads(told) } as const;
      const bytes = toBinary(DatagramSchema, create(DatagramSchema, { from: self, secret, body }));
      for (const address of addresses) sendBytes(address, bytes);
    },
    sendGossip(address, body) {
      const message = create(DatagramSchema, {
        from: self,
        secret,
        body: { case: 'gossip', value: { body } },
      });
      sendBytes(address, toBinary(DatagramSchema, message));
    },
    close: () => socket.close(),
  };
}
