/** Simulated links between instances, with latency, message loss and partitions. */
import type { AttemptVerdict } from '../claims/claim.js';
import type { FetchConfigurationResponse, PeerMessage } from '../gen/peer_pb.js';
import type { PeerLinks } from '../peers/peer-links.js';
import type { Random } from '../utils/random.js';
import type { Actor, VirtualTime } from './virtual-time.js';

/** Injected faults; all are off initially. */
export interface NetworkTroubles {
  /** Share of messages that are lost. */
  loss: number;
  /** Pairs `from>to` of data centres between which nothing passes. */
  readonly cuts: Set<string>;
  /** Names of instances that no endpoint can be reached from; all else reaches them. */
  readonly withoutEndpoints: Set<string>;
}

/** An instance on the network. */
export interface NetworkPeer {
  readonly actor: Actor;
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  handleBodies(from: string, bodies: readonly PeerMessage['body'][]): void;
  buildConfigurationResponse(hashes: readonly string[]): FetchConfigurationResponse;
  getAttemptVerdict(attemptId: string): AttemptVerdict;
}

/** Called when a connection to an address is refused. */
export type UnreachableListener = (address: string) => void;

export interface FakeNetwork {
  readonly troubles: NetworkTroubles;
  add(peer: NetworkPeer): void;
  /** Whether messages currently pass from one data centre to another. */
  isOpen(from: string, to: string): boolean;
  createLinks(
    self: Pick<NetworkPeer, 'actor' | 'name' | 'dataCentre'>,
    onUnreachable: UnreachableListener,
  ): PeerLinks;
}

const DELAY_MS = 0.5;
const JITTER_MS = 1.5;
const CALL_TIMEOUT_MS = 1000;

export function createFakeNetwork(time: VirtualTime, random: Random): FakeNetwork {
  const troubles: NetworkTroubles = { loss: 0, cuts: new Set(), withoutEndpoints: new Set() };
  const peers = new Map<string, NetworkPeer>();

  function isOpen(from: string, to: string): boolean {
    return !troubles.cuts.has(`${from}>${to}`);
  }

  function computeDelay(): number {
    return DELAY_MS + random.next() * JITTER_MS;
  }

  return {
    troubles,
    add(peer) {
      peers.set(peer.address, peer);
    },
    isOpen,
    createLinks(self, onUnreachable) {
      /** Runs a call at a peer; rejects if the request or the response is cut off. */
      function runCall<T>(address: string, answer: (peer: NetworkPeer) => T): Promise<T> {
        return new Promise((resolve, reject) => {
          let isAnswered = false;
          time.add(self.actor, CALL_TIMEOUT_MS, () => {
            if (!isAnswered) reject(new Error('no answer'));
          });
          const peer = peers.get(address);
          if (peer === undefined || !isOpen(self.dataCentre, peer.dataCentre)) return;
          time.add(peer.actor, computeDelay(), () => {
            const result = answer(peer);
            if (!isOpen(peer.dataCentre, self.dataCentre)) return;
            time.add(self.actor, computeDelay(), () => {
              isAnswered = true;
              resolve(result);
            });
          });
        });
      }

      return {
        send(address, body) {
          const peer = peers.get(address);
          if (peer === undefined) return;
          if (peer.actor.isDead) {
            // A dead process refuses connections, which is reported without a timeout.
            time.add(self.actor, computeDelay(), () => onUnreachable(address));
            return;
          }
          const isLost = random.next() < troubles.loss;
          if (isLost || !isOpen(self.dataCentre, peer.dataCentre)) return;
          time.add(peer.actor, computeDelay(), () => peer.handleBodies(self.name, [body]));
        },
        fetchConfiguration: (address, hashes) =>
          runCall(address, (peer) => peer.buildConfigurationResponse(hashes)),
        // Routers of the soak have no source tables.
        fetchKnowledge: () => Promise.reject(new Error('not supported by the fake network')),
        queryAttempt: (address, attemptId) =>
          runCall(address, (peer) => peer.getAttemptVerdict(attemptId)),
      };
    },
  };
}
