/**
 * Tells loads to peers in datagrams. A lost one is replaced by the next within a tenth of a second,
 * and at this rate a call over HTTP/2 would take ten times the processor time of a datagram.
 */
import { createSocket } from 'node:dgram';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { EndpointShareSchema, TellLoadSchema } from '../gen/peer_pb.js';
import type { EndpointShareOfLoad } from '../placement/endpoint-loads.js';

/** Shares in one datagram: up to 30 bytes each, so that it fits an Ethernet frame. The largest go first. */
const SHARES_MAX = 45;

/** Datagrams to and from peers. */
export interface LoadDatagrams {
  send(address: string, shares: readonly EndpointShareOfLoad[]): void;
  close(): void;
}

/** What the datagrams are built on. */
export interface LoadDatagramsOptions {
  readonly self: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
  readonly onTold: (
    instance: string,
    dataCentre: string,
    shares: readonly EndpointShareOfLoad[],
  ) => void;
  /** A datagram that could not be sent or understood. */
  readonly onError: (reason: string) => void;
}

/** Opens the socket. */
export function openLoadDatagrams(options: LoadDatagramsOptions): LoadDatagrams {
  const socket = createSocket('udp4');
  socket.on('error', (error) => options.onError(String(error)));
  socket.on('message', (bytes) => {
    try {
      const told = fromBinary(TellLoadSchema, bytes);
      options.onTold(told.from, told.dataCentre, told.shares);
    } catch (error) {
      options.onError(String(error));
    }
  });
  socket.bind(options.port, options.host);

  return {
    send(address, shares) {
      const largest = [...shares]
        .sort((a, b) => b.unreadTokens - a.unreadTokens)
        .slice(0, SHARES_MAX)
        .map((share) => create(EndpointShareSchema, share));
      const bytes = toBinary(
        TellLoadSchema,
        create(TellLoadSchema, {
          from: options.self,
          dataCentre: options.dataCentre,
          shares: largest,
        }),
      );
      const separator = address.lastIndexOf(':');
      socket.send(bytes, Number(address.slice(separator + 1)), address.slice(0, separator));
    },
    close: () => socket.close(),
  };
}
