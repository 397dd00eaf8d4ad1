/**
 * What an instance does with the others: membership, telling what it has under way, and asking for
 * knowledge where the source is out of its reach.
 */
import type { EndpointLoads, EndpointShareOfLoad } from '../placement/endpoint-loads.js';
import type { FetchKnowledgeResponse, PeerMessage } from '../gen/peer_pb.js';
import { FactState } from '../membership/facts.js';
import { createReachability } from '../membership/reachability.js';
import type { Contact } from '../membership/membership-messages.js';
import { createFleetView } from '../node/fleet-view.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { KnownRevisions, PeerLinks } from '../peers/peer-links.js';
import type { Invariants } from '../runtime/invariants.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { InstanceListClient } from '../storage/instance-list-client.js';
import type { Random } from '../utils/random.js';

/** A round of membership probes, in milliseconds: nothing waits on the verdict, and each probe costs a millisecond of processor time on both sides. */
const PROBE_PERIOD_MS = 2000;
/** Loads are told this often, in milliseconds: prompts queue for a few hundred. */
const TELL_PERIOD_MS = 100;
/** Loads that did not change are told again after this many periods: it is the heartbeat by which others see that they reach this instance. */
const TELL_REPEAT_PERIODS = 3;
/** Peers that are told directly; in a larger fleet each tells a changing part. */
const TELL_PEERS_MAX = 12;
/** Peers are asked for knowledge this often, in milliseconds, while the own is too old. */
const ASK_PERIOD_MS = 300;
const ASK_PEERS = 2;

/** What the exchange is built on. */
export interface PeerExchangeOptions {
  readonly self: Contact;
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly timers: TimerService;
  readonly random: Random;
  readonly invariants: Invariants;
  readonly log: DecisionLog;
  readonly links: PeerLinks;
  readonly tellLoads: (address: string, shares: readonly EndpointShareOfLoad[]) => void;
  readonly instances: InstanceListClient;
  readonly loads: EndpointLoads;
  readonly isLeaving: () => boolean;
  /** Whether the own knowledge is so old that peers are asked. */
  readonly isKnowledgeOld: () => boolean;
  readonly getRevisions: () => KnownRevisions;
  readonly onKnowledge: (peer: string, response: FetchKnowledgeResponse, sentMs: number) => void;
  readonly getKnowledgeAge: () => number;
}

/** An instance's dealings with the others. */
export interface PeerExchange {
  handleTold(instance: string, dataCentre: string, shares: readonly EndpointShareOfLoad[]): void;
  handleBodies(from: string, bodies: readonly PeerMessage['body'][]): void;
  recordUnreachable(address: string): void;
  /** Whether a data centre is out of reach for now. */
  isCut(dataCentre: string): boolean;
  /** Instances that share the endpoints, this one included. */
  countInstances(): number;
  leave(): void;
  left(): void;
}

/** Starts the exchange. */
export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
  const { self, timers, random, log, links, loads } = options;
  const reachability = createReachability(self.dataCentre);
  let lastTold = '';
  let periodsSinceTold = 0;

  const fleet = createFleetView({
    self,
    incarnation: options.incarnation,
    probePeriodMs: PROBE_PERIOD_MS,
    random,
    invariants: options.invariants,
    timers,
    instances: options.instances,
    seeds: options.seeds,
    isLeaving: options.isLeaving,
    send: (address, body) => links.send(address, body),
    onChanged(fact, before) {
      if (before?.state === fact.state) return;
      log.write({ event: 'peer_changed', peer: fact.subject, state: FactState[fact.state] });
    },
  });

  function listPeers(): { name: string; address: string }[] {
    return fleet
      .listAlive()
      .filter((fact) => fact.subject !== self.name)
      .map((fact) => ({ name: fact.subject, address: fact.address }));
  }

  function choosePeers(count: number): { name: string; address: string }[] {
    const peers = listPeers();
    while (peers.length > count) peers.splice(random.nextIndex(peers.length), 1);
    return peers;
  }

  function sendLoads(): void {
    const shares = loads.listOwn(timers.clock.monotonicMs());
    const told = JSON.stringify(shares);
    periodsSinceTold += 1;
    const isRepeatDue = periodsSinceTold >= TELL_REPEAT_PERIODS;
    if (told === lastTold && !isRepeatDue) return;
    lastTold = told;
    periodsSinceTold = 0;
    for (const { address } of choosePeers(TELL_PEERS_MAX)) options.tellLoads(address, shares);
  }

  async function fetchKnowledge(peer: string, address: string): Promise<void> {
    const sentMs = timers.clock.monotonicMs();
    const knowledgeAgeMs = Math.round(options.getKnowledgeAge());
    try {
      const response = await links.fetchKnowledge(address, options.getRevisions());
      options.onKnowledge(peer, response, sentMs);
      log.write({ event: 'knowledge_asked', peer, outcome: 'answered', knowledgeAgeMs });
    } catch (error) {
      log.write({ event: 'knowledge_asked', peer, outcome: String(error), knowledgeAgeMs });
    }
  }

  timers.subscribe(TELL_PERIOD_MS, () => {
    loads.advance(timers.clock.monotonicMs());
    sendLoads();
  });
  timers.subscribe(ASK_PERIOD_MS, () => {
    if (!options.isKnowledgeOld()) return;
    for (const { name, address } of choosePeers(ASK_PEERS)) {
      fetchKnowledge(name, address).catch(() => undefined);
    }
  });

  return {
    handleTold(instance, dataCentre, shares) {
      const nowMs = timers.clock.monotonicMs();
      reachability.recordHeard(instance, nowMs);
      loads.setTold(instance, shares, dataCentre === self.dataCentre, nowMs);
    },
    isCut(dataCentre) {
      const others = fleet.listPresent().filter((fact) => fact.subject !== self.name);
      const peers = others.map((fact) => ({ name: fact.subject, dataCentre: fact.dataCentre }));
      return reachability.isCut(dataCentre, peers, timers.clock.monotonicMs());
    },
    handleBodies(from, bodies) {
      for (const body of bodies) {
        switch (body.case) {
          case 'ping':
          case 'pingRequest':
          case 'ack':
          case 'syncFacts':
            fleet.handle(from, body);
            break;
          default:
            // Tickets and slots are for routers with declared classes.
            break;
        }
      }
    },
    recordUnreachable: (address) => fleet.recordUnreachable(address),
    countInstances: () => fleet.listAlive().length,
    leave: () => fleet.leave(),
    left: () => fleet.left(),
  };
}
