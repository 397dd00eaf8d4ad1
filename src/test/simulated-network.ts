/** Links between simulated instances, with latency and datagram loss. */
import { decodeBrittle, encodeBrittle } from '../peers/encode-brittle.js';
import type { SlotShares } from '../slot-shares/slot-shares.js';
import type { CallForwarding } from '../gateway/call-forwarding.js';
import type { ForwardLinks } from '../forwarding/forward-messages.js';
import { createSimulatedForwardLinks } from './simulated-forward-links.js';
import type { FetchKnowledgeRequest, FetchKnowledgeResponse, PeerMessage } from '../gen/peer_pb.js';
import type { EndpointAvailability } from '../endpoint-availability/endpoint-availability.js';
import type { SendLimits } from '../endpoint-limits/send-limits.js';
import type { Contact } from '../membership/membership-messages.js';
import type { Datagrams } from '../peers/datagrams.js';
import { decodeCases, encodeCases } from '../peers/encode-cases.js';
import {
  decodeLimits,
  decodePermitReplies,
  decodePermitRequests,
  encodeLimits,
  encodePermitReplies,
  encodePermitRequests,
} from '../peers/encode-limits.js';
import {
  decodeStreamQuery,
  decodeStreamReply,
  decodeStreams,
  encodeStreamQuery,
  encodeStreamReply,
  encodeStreams,
} from '../peers/encode-streams.js';
import type { StreamVersions } from '../stream-versions/stream-versions.js';
import { decodeNotices, encodeNotices } from '../peers/encode-notices.js';
import { decodeLoadUpdate, encodeLoadUpdate } from '../peers/encode-load-update.js';
import type { KnownRevisions, PeerLinks } from '../peers/peer-links.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { Random } from '../utils/random.js';
import type { PeerExchange } from '../gateway/peer-exchange.js';

/** One-way latency between data centres of a region, with event loop delay. */
const DELAY_MIN_MS = 1;
const DELAY_SPREAD_MS = 3;
const LOSS_PROBABILITY = 0.01;

/** Time after which a call without a response fails. */
const CALL_TIMEOUT_MS = 1000;
/** Exponent that makes most calls much faster than the slowest. */
const CALL_SKEW = 4;

type BuildKnowledge = (request: FetchKnowledgeRequest) => FetchKnowledgeResponse;

export interface SimulatedNetworkOptions {
  /**
   * Longest time from the sending of a call to its response.
   * @default 10
   */
  readonly callMaxMs?: number;
  /**
   * Share of datagrams that are lost.
   * @default 0.01
   */
  readonly lossProbability?: number;
  /**
   * Time by which a message about a carried call is late, as between instances short of processor time.
   * @default 0
   */
  readonly carriedDelayMs?: number;
}

export interface SimulatedNetwork {
  /** Adds an instance; without `buildKnowledge`, calls that fetch knowledge from it fail. */
  add(address: string, exchange: PeerExchange, buildKnowledge?: BuildKnowledge): void;
  /** Adds the receiver of messages about rate limits at an address. */
  addLimits(address: string, limits: SendLimits): void;
  /** Adds the receiver of messages about endpoints that are leaving or want rest at an address. */
  addAvailability(address: string, availability: EndpointAvailability): void;
  createLinks(self: Contact): PeerLinks;
  addShares(address: string, shares: SlotShares): void;
  /** Adds the receiver of messages about the versions that began streams at an address. */
  addStreams(address: string, streams: StreamVersions): void;
  /** Lets an instance carry calls of others. */
  addCarrier(address: string, runCarried: CallForwarding['runCarried']): void;
  createForwardLinks(): ForwardLinks;
  createDatagrams(self: Contact): Omit<Datagrams, 'close'>;
  /** Counts the datagrams sent so far, including lost ones. */
  countSent(): number;
}

export function createSimulatedNetwork(
  time: VirtualTime,
  random: Random,
  {
    callMaxMs = 10,
    lossProbability = LOSS_PROBABILITY,
    carriedDelayMs = 0,
  }: SimulatedNetworkOptions = {},
): SimulatedNetwork {
  const peers = new Map<string, PeerExchange>();
  const knowledgeBuilders = new Map<string, BuildKnowledge>();
  const limitsByAddress = new Map<string, SendLimits>();
  const availabilityByAddress = new Map<string, EndpointAvailability>();
  const sharesByAddress = new Map<string, SlotShares>();
  const streamsByAddress = new Map<string, StreamVersions>();
  const carriers = new Map<string, CallForwarding['runCarried']>();
  let sent = 0;

  function send(address: string, deliver: (peer: PeerExchange) => void): void {
    time.add(undefined, DELAY_MIN_MS + random.next() * DELAY_SPREAD_MS, () => {
      const peer = peers.get(address);
      if (peer !== undefined) deliver(peer);
    });
  }

  function sendDatagram(address: string, deliver: (peer: PeerExchange) => void): void {
    sent += 1;
    if (random.next() >= lossProbability) send(address, deliver);
  }

  function sendToLimits(address: string, deliver: (limits: SendLimits) => void): void {
    sendDatagram(address, () => {
      const limits = limitsByAddress.get(address);
      if (limits !== undefined) deliver(limits);
    });
  }

  /** The peer reads its knowledge at once; its response may overtake earlier ones or be overtaken. */
  function fetchKnowledge(address: string, known: KnownRevisions): Promise<FetchKnowledgeResponse> {
    return new Promise((resolve, reject) => {
      time.add(undefined, CALL_TIMEOUT_MS, () => reject(new Error('no response in time')));
      send(address, () => {
        const buildKnowledge = knowledgeBuilders.get(address);
        if (buildKnowledge === undefined) return;
        const request = {
          $typeName: 'hyssoptally.peer.v1.FetchKnowledgeRequest',
          ...known,
        } as const;
        const response = buildKnowledge(request);
        time.add(undefined, callMaxMs * random.next() ** CALL_SKEW, () => resolve(response));
      });
    });
  }

  const rejectCall = (): Promise<never> =>
    Promise.reject(new Error('not supported by the simulated network'));

  return {
    add(address, exchange, buildKnowledge) {
      peers.set(address, exchange);
      if (buildKnowledge !== undefined) knowledgeBuilders.set(address, buildKnowledge);
    },
    createLinks: ({ name }) => ({
      send(address, body: PeerMessage['body']) {
        send(address, (peer) => peer.handleMessages(name, [body]));
      },
      fetchConfiguration: rejectCall,
      fetchKnowledge,
      queryAttempt: rejectCall,
    }),
    addLimits(address, limits) {
      limitsByAddress.set(address, limits);
    },
    addAvailability(address, availability) {
      availabilityByAddress.set(address, availability);
    },
    addShares(address, shares) {
      sharesByAddress.set(address, shares);
    },
    addStreams(address, streams) {
      streamsByAddress.set(address, streams);
    },
    addCarrier(address, runCarried) {
      carriers.set(address, runCarried);
    },
    createForwardLinks: () =>
      createSimulatedForwardLinks({
        findCarrier: (address) => carriers.get(address),
        runLater: (run) =>
          time.add(undefined, carriedDelayMs + DELAY_MIN_MS + random.next() * DELAY_SPREAD_MS, run),
      }),
    createDatagrams: ({ name, dataCentre }) => ({
      sendLoads(loads, knowledge, sentTime) {
        for (const datagram of encodeLoadUpdate(loads, dataCentre, knowledge, sentTime)) {
          const status = decodeLoadUpdate(name, datagram);
          for (const address of loads.addresses) {
            if (status !== undefined)
              sendDatagram(address, (peer) => peer.handlePeerStatus(status));
          }
        }
      },
      sendCases(addresses, cases) {
        const decodedCases = decodeCases(encodeCases(cases));
        for (const address of addresses) {
          sendDatagram(address, (peer) => peer.handleCases(name, decodedCases));
        }
      },
      sendUsage: () => undefined,
      sendLimits(addresses, reports) {
        const decodedReports = decodeLimits(encodeLimits(reports));
        for (const address of addresses)
          sendToLimits(address, (limits) => limits.mergeReports(decodedReports, name));
      },
      sendNotices(addresses, reports) {
        const decoded = decodeNotices(encodeNotices(reports));
        for (const address of addresses)
          sendDatagram(address, () => availabilityByAddress.get(address)?.merge(decoded, name));
      },
      sendBrittle(addresses, reports) {
        const decoded = decodeBrittle(encodeBrittle(reports));
        for (const address of addresses)
          sendDatagram(address, () => sharesByAddress.get(address)?.merge(decoded, name));
      },
      sendPermitRequests(address, requests) {
        const decoded = decodePermitRequests(encodePermitRequests(requests));
        sendToLimits(address, (limits) => limits.handleRequests(decoded, name));
      },
      sendPermitReplies(address, replies) {
        const decoded = decodePermitReplies(encodePermitReplies(replies));
        sendToLimits(address, (limits) => limits.handleReplies(decoded));
      },
      sendStreams(address, groups) {
        const decoded = decodeStreams(encodeStreams(groups));
        sendDatagram(address, () => streamsByAddress.get(address)?.handleTold(decoded, name));
      },
      sendStreamQuery(address, query) {
        const decoded = decodeStreamQuery(encodeStreamQuery(query));
        sendDatagram(address, () => streamsByAddress.get(address)?.handleQuery(decoded, name));
      },
      sendStreamReply(address, reply) {
        const decoded = decodeStreamReply(encodeStreamReply(reply));
        sendDatagram(address, () => streamsByAddress.get(address)?.handleReply(decoded, name));
      },
      sendGossip(address, body) {
        sendDatagram(address, (peer) => peer.handleMessages(name, [body]));
      },
    }),
    countSent: () => sent,
  };
}
