/**
 * What an instance does with the others: membership, telling what it has under way, and asking for
 * knowledge where the source is out of its reach.
 */
import { WATCHERS_PER_DATA_CENTRE, createWatchDuty } from '../knowledge/watch-duty.js';
import type { WatchDuty } from '../knowledge/watch-duty.js';
import type { Datagrams, ToldLoads } from '../peers/datagrams.js';
import type { EndpointLoads } from '../placement/endpoint-loads.js';
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
/** Probes are looked at this often, in milliseconds: the shortest bound on them is 200. */
const FLEET_TICK_MS = 100;
/** Loads are told this often, in milliseconds: prompts queue for a few hundred. */
const TELL_PERIOD_MS = 100;
/** Loads that did not change are told again after this many periods: it is the heartbeat by which others see that they reach this instance. */
const TELL_REPEAT_PERIODS = 3;
/** Up to this many peers are all told each time. */
const TELL_ALL_MAX = 12;
/** In a larger fleet this many are told each time, drawn anew: at 68 instances each hears 60 datagrams a second, and each other one about once in 1.1 s (computed). */
const TELL_SOME = 6;
/** What was told counts until this long, in milliseconds, at least. */
const TOLD_AGE_MIN_MS = 1000;
/** And until this many times the mean pause between two tellings of one peer to another: nine in ten are heard again by then. */
const TOLD_AGE_PAUSES = 2.3;
/** Peers are asked for knowledge this often, in milliseconds, while the own is too old. */
const ASK_PERIOD_MS = 300;
const ASK_PEERS = 2;
/** An instance that does not follow the source asks one that does this often, in milliseconds: with the longest wait of a feed, 1.5 s, its knowledge is at most 1.9 s old, and 2.2 s count as recent. News is asked for at once. */
const FOLLOW_PERIOD_MS = 400;
/** An instance whose knowledge is older than this, in milliseconds, follows the source itself: two askings have failed. */
const FOLLOW_AGE_MAX_MS = 2800;

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
  readonly datagrams: Pick<Datagrams, 'sendLoads' | 'sendGossip'>;
  readonly instances: InstanceListClient;
  readonly loads: EndpointLoads;
  readonly isLeaving: () => boolean;
  /** Whether the own knowledge is so old that peers are asked. */
  readonly isKnowledgeOld: () => boolean;
  readonly getRevisions: () => KnownRevisions;
  readonly onKnowledge: (peer: string, response: FetchKnowledgeResponse, sentMs: number) => void;
  readonly getKnowledgeAge: () => number;
  /** Whether this instance is to follow the source itself. */
  readonly onWatching: (isWatching: boolean) => void;
}

/** An instance's dealings with the others. */
export interface PeerExchange {
  handleTold(told: ToldLoads): void;
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
  const watchDuty = createWatchDuty();
  let duty: WatchDuty = { kind: 'watch' };
  let turn = random.nextIndex(WATCHERS_PER_DATA_CENTRE);
  let isAskingForNews = false;
  let cut: ReadonlySet<string> = new Set();
  let lastTold = '';
  let periodsSinceTold = 0;

  /** Full exchanges outgrow a datagram; all other gossip fits one. */
  function postGossip(address: string, body: PeerMessage['body']): void {
    if (body.case === 'syncFacts') links.send(address, body);
    else options.datagrams.sendGossip(address, body);
  }

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
    tickMs: FLEET_TICK_MS,
    send: postGossip,
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
    const told: ToldLoads = {
      instance: self.name,
      dataCentre: self.dataCentre,
      shares: loads.listOwn(timers.clock.monotonicMs()),
      revisions: options.getRevisions(),
    };
    const text = JSON.stringify(told);
    periodsSinceTold += 1;
    const isRepeatDue = periodsSinceTold >= TELL_REPEAT_PERIODS;
    if (text === lastTold && !isRepeatDue) return;
    lastTold = text;
    periodsSinceTold = 0;
    const peers = listPeers();
    const chosen = peers.length <= TELL_ALL_MAX ? peers : choosePeers(TELL_SOME);
    options.datagrams.sendLoads(
      chosen.map(({ address }) => address),
      told,
    );
  }

  async function fetchKnowledge(peer: string, address: string): Promise<void> {
    const sentMs = timers.clock.monotonicMs();
    const knowledgeAgeMs = Math.round(options.getKnowledgeAge());
    try {
      const response = await links.fetchKnowledge(address, options.getRevisions());
      options.onKnowledge(peer, response, sentMs);
      // What a follower is told again and again changes no belief and needs no line.
      if (duty.kind === 'watch') {
        log.write({ event: 'knowledge_asked', peer, outcome: 'answered', knowledgeAgeMs });
      }
    } catch (error) {
      log.write({ event: 'knowledge_asked', peer, outcome: String(error), knowledgeAgeMs });
    }
  }

  /** How long what a peer told counts, in milliseconds. */
  function computeToldAge(): number {
    const peers = fleet.listAlive().length - 1;
    if (peers <= TELL_ALL_MAX) return TOLD_AGE_MIN_MS;
    return Math.max(TOLD_AGE_MIN_MS, ((TELL_PERIOD_MS * peers) / TELL_SOME) * TOLD_AGE_PAUSES);
  }

  /** Looked at here rather than at each choice: it walks the whole fleet. */
  function updateCut(): void {
    const others = fleet.listPresent().filter((fact) => fact.subject !== self.name);
    const peers = others.map((fact) => ({ name: fact.subject, dataCentre: fact.dataCentre }));
    const dataCentres = [...new Set(peers.map(({ dataCentre }) => dataCentre))];
    const nowMs = timers.clock.monotonicMs();
    cut = new Set(dataCentres.filter((dataCentre) => reachability.isCut(dataCentre, peers, nowMs)));
  }

  timers.subscribe(TELL_PERIOD_MS, () => {
    loads.advance(timers.clock.monotonicMs(), computeToldAge());
    updateCut();
    sendLoads();
  });
  function advanceDuty(): void {
    const alive = fleet.listAlive().filter((fact) => fact.dataCentre === self.dataCentre);
    duty = watchDuty.advance(
      {
        self: self.name,
        alive: alive.map((fact) => fact.subject),
        isKnowledgeOld: options.getKnowledgeAge() > FOLLOW_AGE_MAX_MS,
      },
      timers.clock.monotonicMs(),
    );
    options.onWatching(duty.kind === 'watch');
  }

  function postQuestion(peer: string): Promise<void> {
    const address = fleet.findAddress(peer);
    return address === undefined ? Promise.resolve() : fetchKnowledge(peer, address);
  }

  /** Asks at once where somebody has more than this instance, which does not follow the source. */
  function checkNews({ instance, revisions }: ToldLoads): void {
    if (duty.kind === 'watch' || isAskingForNews) return;
    const own = options.getRevisions();
    const isNews =
      revisions.configurationRevision > own.configurationRevision ||
      revisions.endpointsRevision > own.endpointsRevision;
    if (!isNews) return;
    isAskingForNews = true;
    postQuestion(instance)
      .catch(() => undefined)
      .finally(() => {
        isAskingForNews = false;
      });
  }

  timers.subscribe(ASK_PERIOD_MS, () => {
    advanceDuty();
    if (!options.isKnowledgeOld()) return;
    for (const { name, address } of choosePeers(ASK_PEERS)) {
      fetchKnowledge(name, address).catch(() => undefined);
    }
  });
  timers.subscribe(FOLLOW_PERIOD_MS, () => {
    if (duty.kind === 'watch') return;
    turn += 1;
    const watcher = duty.watchers[turn % duty.watchers.length];
    if (watcher !== undefined) postQuestion(watcher).catch(() => undefined);
  });

  return {
    handleTold(told) {
      const { instance, dataCentre, shares } = told;
      const nowMs = timers.clock.monotonicMs();
      checkNews(told);
      reachability.recordHeard(instance, nowMs);
      loads.setTold(instance, shares, dataCentre === self.dataCentre, nowMs);
    },
    isCut: (dataCentre) => cut.has(dataCentre),
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
