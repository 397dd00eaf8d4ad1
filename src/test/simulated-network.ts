/** Links between simulated instances, with latency and datagram loss. */
import type { PeerMessage } from '../gen/peer_pb.js';
import type { Contact } from '../membership/membership-messages.js';
import type { Datagrams } from '../peers/datagrams.js';
import { decodeCases, encodeCases } from '../peers/encode-cases.js';
import { decodeLoadUpdate, encodeLoadUpdate } from '../peers/encode-load-update.js';
import type { PeerLinks } from '../peers/peer-links.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { Random } from '../utils/random.js';
import type { PeerExchange } from '../gateway/peer-exchange.js';

/** One-way latency between data centres of a region, with event loop delay. */
const DELAY_MIN_MS = 1;
const DELAY_SPREAD_MS = 3;
const LOSS_PROBABILITY = 0.01;

export interface SimulatedNetwork {
  add(address: string, exchange: PeerExchange): void;
  createLinks(self: Contact): PeerLinks;
  createDatagrams(
    self: Contact,
  ): Pick<Datagrams, 'sendLoads' | 'sendGossip' | 'sendCases' | 'sendUsage'>;
  /** Counts the datagrams sent so far, including lost ones. */
  countSent(): number;
}

export function createSimulatedNetwork(time: VirtualTime, random: Random): SimulatedNetwork {
  const peers = new Map<string, PeerExchange>();
  let sent = 0;

  function send(address: string, deliver: (peer: PeerExchange) => void): void {
    time.add(undefined, DELAY_MIN_MS + random.next() * DELAY_SPREAD_MS, () => {
      const peer = peers.get(address);
      if (peer !== undefined) deliver(peer);
    });
  }

  function sendDatagram(address: string, deliver: (peer: PeerExchange) => void): void {
    sent += 1;
    if (random.next() >= LOSS_PROBABILITY) send(address, deliver);
  }

  const rejectCall = (): Promise<never> =>
    Promise.reject(new Error('not supported by the simulated network'));

  return {
    add(address, exchange) {
      peers.set(address, exchange);
    },
    createLinks: ({ name }) => ({
      send(address, body: PeerMessage['body']) {
        send(address, (peer) => peer.handleMessages(name, [body]));
      },
      fetchConfiguration: rejectCall,
      fetchKnowledge: rejectCall,
      queryAttempt: rejectCall,
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
      sendGossip(address, body) {
        sendDatagram(address, (peer) => peer.handleMessages(name, [body]));
      },
    }),
    countSent: () => sent,
  };
}
