/**
 * UDP datagrams between instances, for frequent small messages that are repeated or superseded if
 * lost. They take much less processor time than calls over HTTP/2.
 */
import { timingSafeEqual } from 'node:crypto';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { DatagramSchema, PeerMessageSchema } from '../gen/peer_pb.js';
import type { Datagram, PeerMessage, TellLoad } from '../gen/peer_pb.js';
import type { PeerTime } from '../duties/fleet-time.js';
import type { UsageUpdate } from '../duties/usage-meter.js';
import type { AddressedLoadUpdate } from '../load-sharing/load-update.js';
import type { CaseReport } from '../quarantine/case-ledger.js';
import type { BindingQuery, BindingReply } from '../stream-versions/binding-messages.js';
import type { BindingGroup } from '../stream-versions/stream-binding.js';
import type { BrittleReport } from '../slot-shares/brittle-ledger.js';
import type { NoticeReport } from '../endpoint-availability/availability-ledger.js';
import type { LimitReport } from '../endpoint-limits/limit-ledger.js';
import type { PermitReply, PermitRequest } from '../endpoint-limits/permit-messages.js';
import { decodeCases, encodeCases } from './encode-cases.js';
import {
  decodeLimits,
  decodePermitReplies,
  decodePermitRequests,
  encodeLimits,
  encodePermitReplies,
  encodePermitRequests,
} from './encode-limits.js';
import { decodeLoadUpdate, encodeLoadUpdate } from './encode-load-update.js';
import { decodeBrittle, encodeBrittle } from './encode-brittle.js';
import { decodeNotices, encodeNotices } from './encode-notices.js';
import {
  decodeStreamQuery,
  decodeStreamReply,
  decodeStreams,
  encodeStreamQuery,
  encodeStreamReply,
  encodeStreams,
} from './encode-streams.js';
import { decodeUsage, encodeUsage } from './encode-usage.js';
import type { DatagramSocket } from './datagram-socket.js';
import type { KnowledgeSummary } from './peer-links.js';
import type { PeerStatus } from './peer-status.js';
import { parseAddress } from '../utils/address.js';

export interface Datagrams {
  sendLoads(
    update: AddressedLoadUpdate,
    knowledge: KnowledgeSummary,
    time: PeerTime | undefined,
  ): void;
  sendGossip(address: string, body: PeerMessage['body']): void;
  sendCases(addresses: readonly string[], cases: readonly CaseReport[]): void;
  sendUsage(addresses: readonly string[], update: UsageUpdate): void;
  sendLimits(addresses: readonly string[], reports: readonly LimitReport[]): void;
  sendNotices(addresses: readonly string[], reports: readonly NoticeReport[]): void;
  sendBrittle(addresses: readonly string[], reports: readonly BrittleReport[]): void;
  sendPermitRequests(address: string, requests: readonly PermitRequest[]): void;
  sendPermitReplies(address: string, replies: readonly PermitReply[]): void;
  sendStreams(address: string, groups: readonly BindingGroup[]): void;
  sendStreamQuery(address: string, query: BindingQuery): void;
  sendStreamReply(address: string, reply: BindingReply): void;
}

export interface DatagramsOptions {
  readonly self: string;
  readonly dataCentre: string;
  /** Shared by all instances; datagrams with another secret are reported to `onError` and dropped. */
  readonly secret: string;
  readonly socket: DatagramSocket;
  readonly onPeerStatus: (status: PeerStatus) => void;
  readonly onGossip: (from: string, body: PeerMessage['body']) => void;
  readonly onCases: (from: string, cases: readonly CaseReport[]) => void;
  readonly onUsage: (update: UsageUpdate) => void;
  readonly onLimits: (from: string, reports: readonly LimitReport[]) => void;
  readonly onNotices: (from: string, reports: readonly NoticeReport[]) => void;
  readonly onBrittle: (from: string, reports: readonly BrittleReport[]) => void;
  readonly onPermitRequests: (from: string, requests: readonly PermitRequest[]) => void;
  readonly onPermitReplies: (replies: readonly PermitReply[]) => void;
  readonly onStreams: (from: string, groups: readonly BindingGroup[]) => void;
  readonly onStreamQuery: (from: string, query: BindingQuery) => void;
  readonly onStreamReply: (from: string, reply: BindingReply) => void;
  /** Called for a message kind or value of a newer release, which is ignored. */
  readonly onUnknown: (field: string, value: string) => void;
  /** Called if a datagram cannot be sent, authenticated or decoded. */
  readonly onError: (reason: string) => void;
}

/** Sends and receives over a bound socket. */
export function openDatagrams(options: DatagramsOptions): Datagrams {
  const { self, dataCentre, secret, socket } = options;
  const expected = Buffer.from(secret);

  function handleLoad(from: string, load: TellLoad): void {
    const status = decodeLoadUpdate(from, load);
    if (status === undefined) options.onUnknown('scope', String(load.scope));
    else options.onPeerStatus(status);
  }

  function handleDatagram({ from, secret: given, body }: Datagram): void {
    const bytes = Buffer.from(given);
    if (bytes.length !== expected.length || !timingSafeEqual(bytes, expected)) {
      options.onError(`${from} sent another secret; set the same one on every instance`);
      return;
    }
    switch (body.case) {
      case 'load':
        handleLoad(from, body.value);
        break;
      case 'gossip':
        options.onGossip(from, body.value.body);
        break;
      case 'cases':
        options.onCases(from, decodeCases(body.value));
        break;
      case 'usage':
        options.onUsage(decodeUsage(from, body.value));
        break;
      case 'limits':
        options.onLimits(from, decodeLimits(body.value));
        break;
      case 'notices':
        options.onNotices(from, decodeNotices(body.value));
        break;
      case 'brittle':
        options.onBrittle(from, decodeBrittle(body.value));
        break;
      case 'permitRequests':
        options.onPermitRequests(from, decodePermitRequests(body.value));
        break;
      case 'permitReplies':
        options.onPermitReplies(decodePermitReplies(body.value));
        break;
      case 'streams':
        options.onStreams(from, decodeStreams(body.value));
        break;
      case 'queryStream':
        options.onStreamQuery(from, decodeStreamQuery(body.value));
        break;
      case 'streamReply':
        options.onStreamReply(from, decodeStreamReply(body.value));
        break;
      default:
        options.onUnknown('datagram', `of ${from}`);
    }
  }

  function sendBytes(address: string, bytes: Uint8Array): void {
    const target = parseAddress(address);
    // Guards against one odd address, in an entry or in gossip, that keeps the others from being sent to.
    if (target === undefined) options.onError(`'${address}' is no address; not sent`);
    else socket.send(bytes, target.port, target.host);
  }

  socket.onError(options.onError);
  socket.onMessage((bytes) => {
    try {
      handleDatagram(fromBinary(DatagramSchema, bytes));
    } catch (error) {
      options.onError(String(error));
    }
  });

  function sendBody(addresses: readonly string[], body: Datagram['body']): void {
    const message = create(DatagramSchema, { from: self, secret, body });
    const bytes = toBinary(DatagramSchema, message);
    for (const address of addresses) sendBytes(address, bytes);
  }

  return {
    sendLoads(update, knowledge, time) {
      for (const value of encodeLoadUpdate(update, dataCentre, knowledge, time))
        sendBody(update.addresses, { case: 'load', value });
    },
    sendGossip(address, body) {
      const value = create(PeerMessageSchema, { body });
      sendBody([address], { case: 'gossip', value });
    },
    sendCases(addresses, cases) {
      sendBody(addresses, { case: 'cases', value: encodeCases(cases) });
    },
    sendUsage(addresses, update) {
      for (const value of encodeUsage(update)) sendBody(addresses, { case: 'usage', value });
    },
    sendLimits(addresses, reports) {
      sendBody(addresses, { case: 'limits', value: encodeLimits(reports) });
    },
    sendNotices(addresses, reports) {
      sendBody(addresses, { case: 'notices', value: encodeNotices(reports) });
    },
    sendBrittle(addresses, reports) {
      sendBody(addresses, { case: 'brittle', value: encodeBrittle(reports) });
    },
    sendPermitRequests(address, requests) {
      sendBody([address], { case: 'permitRequests', value: encodePermitRequests(requests) });
    },
    sendPermitReplies(address, replies) {
      sendBody([address], { case: 'permitReplies', value: encodePermitReplies(replies) });
    },
    sendStreams(address, groups) {
      sendBody([address], { case: 'streams', value: encodeStreams(groups) });
    },
    sendStreamQuery(address, query) {
      sendBody([address], { case: 'queryStream', value: encodeStreamQuery(query) });
    },
    sendStreamReply(address, reply) {
      sendBody([address], { case: 'streamReply', value: encodeStreamReply(reply) });
    },
  };
}
