/**
 * Tells loads to peers in datagrams. A lost one is replaced by the next within a tenth of a second,
 * and at this rate a call over HTTP/2 would take ten times the processor time of a datagram.
 */
import { createSocket } from 'node:dgram';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { EndpointShareSchema, TellLoadSchema } from '../gen/peer_pb.js';
import type { TellLoad } from '../gen/peer_pb.js';
import type { EndpointShareOfLoad } from '../placement/endpoint-loads.js';
import type { KnownRevisions } from './peer-links.js';

/** Shares in one datagram: up to 40 bytes each, so that it fits an Ethernet frame. The largest go first. */
const SHARES_MAX = 34;

/** What one instance tells the others. */
export interface ToldLoads {
  readonly instance: string;
  readonly dataCentre: string;
  readonly shares: readonly EndpointShareOfLoad[];
  /** What the instance has of the source's tables. */
  readonly revisions: KnownRevisions;
}

/** Datagrams to and from peers. */
export interface LoadDatagrams {
  send(address: string, told: ToldLoads): void;
  close(): void;
}

/** What the datagrams are built on. */
export interface LoadDatagramsOptions {
  readonly host: string;
  readonly port: number;
  readonly onTold: (told: ToldLoads) => void;
  /** A datagram that could not be sent or understood. */
  readonly onError: (reason: string) => void;
}

function parseTold(message: TellLoad): ToldLoads {
  return {
    instance: message.from,
    dataCentre: message.dataCentre,
    shares: message.shares,
    revisions: {
      configurationRevision: message.configurationVersion,
      endpointsRevision: message.endpointsRevision,
    },
  };
}

/** Opens the socket. */
export function openLoadDatagrams(options: LoadDatagramsOptions): LoadDatagrams {
  const socket = createSocket('udp4');
  socket.on('error', (error) => options.onError(String(error)));
  socket.on('message', (bytes) => {
    try {
      options.onTold(parseTold(fromBinary(TellLoadSchema, bytes)));
    } catch (error) {
      options.onError(String(error));
    }
  });
  socket.bind(options.port, options.host);

  return {
    send(address, { instance, dataCentre, shares, revisions }) {
      const largest = [...shares]
        .sort((a, b) => b.unreadTokens - a.unreadTokens)
        .slice(0, SHARES_MAX)
        .map((share) => create(EndpointShareSchema, share));
      const message = create(TellLoadSchema, {
        from: instance,
        dataCentre,
        shares: largest,
        configurationVersion: revisions.configurationRevision,
        endpointsRevision: revisions.endpointsRevision,
      });
      const bytes = toBinary(TellLoadSchema, message);
      const separator = address.lastIndexOf(':');
      socket.send(bytes, Number(address.slice(separator + 1)), address.slice(0, separator));
    },
    close: () => socket.close(),
  };
}
