/**
 * Communication between instances: membership, exchange of endpoint loads and usage counts, and fetches
 * of table contents that other instances have and this one lacks.
 */
import type { FleetTime } from '../duties/fleet-time.js';
import type { UsageUpdate } from '../duties/usage-meter.js';
import { DEFAULT_WATCH_PACE } from '../knowledge/watch-pace.js';
import type { WatchPace } from '../knowledge/watch-pace.js';
import { createWatchRoleSelector, listWatchers } from '../knowledge/watch-role.js';
import { LOAD_UPDATE_PERIOD_MS, createLoadExchange } from '../load-sharing/load-exchange.js';
import type { EndpointAvailability } from '../endpoint-availability/endpoint-availability.js';
import type { SendLimits } from '../endpoint-limits/send-limits.js';
import type { AddressedLoadUpdate } from '../load-sharing/load-update.js';
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import type { Fact, PeerMessage } from '../gen/peer_pb.js';
import { FactState } from '../membership/facts.js';
import { createReachability } from '../membership/reachability.js';
import type { Contact } from '../membership/membership-messages.js';
import { createFleetView } from '../node/fleet-view.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { Datagrams } from '../peers/datagrams.js';
import type { PeerLinks } from '../peers/peer-links.js';
import type { PeerStatus } from '../peers/peer-status.js';
import type { CaseReport } from '../quarantine/case-ledger.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import type { Invariants } from '../runtime/invariants.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { SlotShares } from '../slot-shares/slot-shares.js';
import type { InstanceListClient } from '../storage/instance-list-client.js';
import type { Random } from '../utils/random.js';
import type { KnowledgeStore } from './knowledge-store.js';
import { createKnowledgeFetcher } from './knowledge-fetcher.js';
import type { KnowledgePeer } from './knowledge-fetcher.js';

const PROBE_PERIOD_MS = 2000;
/** Interval at which the timeouts of membership probes are checked. */
const MEMBERSHIP_TICK_MS = 100;
/** Interval at which the watch role is updated and outdated knowledge is fetched from peers. */
const WATCH_ROLE_PERIOD_MS = 300;
const FETCH_PEERS_COUNT = 2;

export interface PeerExchangeOptions {
  readonly self: Contact;
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly timers: TimerService;
  readonly random: Random;
  readonly invariants: Invariants;
  readonly log: DecisionLog;
  readonly links: PeerLinks;
  readonly datagrams: Pick<
    Datagrams,
    | 'sendLoads'
    | 'sendGossip'
    | 'sendCases'
    | 'sendUsage'
    | 'sendLimits'
    | 'sendNotices'
    | 'sendBrittle'
  >;
  readonly time: FleetTime;
  readonly instances: InstanceListClient;
  readonly loads: EndpointLoads;
  readonly quarantine: Pick<Quarantine, 'takeReports' | 'merge'>;
  readonly limits: Pick<SendLimits, 'takeReports'>;
  readonly availability: Pick<EndpointAvailability, 'takeReports'>;
  readonly shares: Pick<SlotShares, 'takeReports'>;
  readonly knowledge: Pick<
    KnowledgeStore,
    | 'applyResponse'
    | 'applySummary'
    | 'computeAge'
    | 'computeEndpointsAge'
    | 'getSummary'
    | 'setRole'
  >;
  /** @default that of a deployment without bounds */
  readonly watchPace?: WatchPace;
  readonly isLeaving: () => boolean;
}

export interface PeerExchange {
  handlePeerStatus(status: PeerStatus): void;
  handleCases(from: string, cases: readonly CaseReport[]): void;
  handleMessages(from: string, bodies: readonly PeerMessage['body'][]): void;
  recordUnreachable(address: string): void;
  /** Whether the loads that other instances put on the endpoints are known. */
  knowsFleetLoad(): boolean;
  /** Fetches knowledge from peers, whatever the age of this instance's knowledge. */
  startKnowledgeFetches(): void;
  isDataCentreUnreachable(dataCentre: string): boolean;
  /** Whether this instance may hold the fleet's duties and therefore keeps the usage counts. */
  isDutyCandidate(): boolean;
  /** Names of the other duty candidates. */
  listDutyCandidates(): readonly string[];
  /** Sends usage counts to the other duty candidates. */
  sendUsage(usage: UsageUpdate): void;
  /** Number of instances that share the endpoints, including this one. */
  countInstances(): number;
  /** Live instances other than this one. */
  listPeers(): readonly Contact[];
  /** Names of the live instances, including this one. */
  listAliveNames(): readonly string[];
  findAddress(name: string): string | undefined;
  /** Announces that this instance is leaving. */
  leave(): void;
  /** Announces that this instance has left. */
  announceLeft(): void;
}

function buildContact({ subject, address, dataCentre }: Fact): Contact {
  return { name: subject, address, dataCentre };
}

export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
  const { self, timers, random, log, links, loads, knowledge, seeds } = options;
  const { watchPace = DEFAULT_WATCH_PACE } = options;
  const getNow = (): number => timers.clock.monotonicMs();
  const reachability = createReachability(self.dataCentre);
  const roleSelector = createWatchRoleSelector(getNow(), watchPace);
  const hasContacts = seeds.length > 0 && !seeds.includes(self.address);
  let isListed = false;
  let unreachableDataCentres: ReadonlySet<string> = new Set();
  /** Duty candidates other than this instance. */
  let otherCandidates: readonly Contact[] = [];
  let isCandidate = false;

  /** Full synchronisations exceed the size of a datagram; all other gossip fits. */
  function sendGossip(address: string, body: PeerMessage['body']): void {
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
    // Only watchers are listed; other instances are found through them.
    usesInstanceList: () => isListed,
    seeds,
    isLeaving: options.isLeaving,
    tickMs: MEMBERSHIP_TICK_MS,
    send: sendGossip,
    onFactChanged(fact, previous) {
      if (previous?.state === fact.state) return;
      log.write({ event: 'peer_changed', peer: fact.subject, state: FactState[fact.state] });
    },
  });

  const listAlive = (): Contact[] => fleet.listAlive().map(buildContact);

  const loadExchange = createLoadExchange({
    self,
    loads,
    listFleet: listAlive,
    listLeaving: () => fleet.listLeaving().map(buildContact),
  });
  const knowledgeFetcher = createKnowledgeFetcher({
    timers,
    log,
    links,
    getRevisions: () => knowledge.getSummary(),
    getKnowledgeAge: () => knowledge.computeAge(),
    onKnowledge: (peer, response, sentMs) => knowledge.applyResponse(peer, response, sentMs),
  });

  function chooseRandomPeers(peers: readonly KnowledgePeer[], count: number): KnowledgePeer[] {
    const chosen = [...peers];
    while (chosen.length > count) chosen.splice(random.nextIndex(chosen.length), 1);
    return chosen;
  }

  function startKnowledgeFetches(): void {
    if (
      Number.isFinite(knowledge.computeAge()) ||
      knowledge.getSummary().configurationRevision > 0
    ) {
      const others = listAlive().filter(({ name }) => name !== self.name);
      for (const peer of chooseRandomPeers(others, FETCH_PEERS_COUNT))
        knowledgeFetcher.startFetch(peer);
      return;
    }
    // Without any knowledge, ask the seeds.
    const contacts = seeds
      .filter((address) => address !== self.address)
      .map((address) => ({ name: address, address }));
    for (const seed of chooseRandomPeers(contacts, 1)) knowledgeFetcher.startFetch(seed);
  }

  /** Cached, since it iterates over all instances and is read for each placement. */
  function updateUnreachable(): void {
    const nowMs = getNow();
    const dataCentres = new Set(fleet.listNotLeaving().map((fact) => fact.dataCentre));
    unreachableDataCentres = new Set(
      [...dataCentres].filter((name) => reachability.isDataCentreUnreachable(name, nowMs)),
    );
  }

  /** Sends other reports to the recipients of the loads, so that they spread as fast. */
  function sendReports(updates: readonly AddressedLoadUpdate[]): void {
    const addresses = [...new Set(updates.flatMap((update) => update.addresses))];
    if (addresses.length === 0) return;
    const cases = options.quarantine.takeReports();
    if (cases.length > 0) options.datagrams.sendCases(addresses, cases);
    const limits = options.limits.takeReports();
    if (limits.length > 0) options.datagrams.sendLimits(addresses, limits);
    const notices = options.availability.takeReports();
    if (notices.length > 0) options.datagrams.sendNotices(addresses, notices);
    const brittle = options.shares.takeReports();
    if (brittle.length > 0) options.datagrams.sendBrittle(addresses, brittle);
  }

  /** Duty candidates are the instances that watch the source, which duties depend on. */
  function updateDutyCandidates(alive: readonly Contact[]): void {
    const names = new Set(listWatchers(alive));
    otherCandidates = alive.filter(({ name }) => names.has(name) && name !== self.name);
  }

  function advanceWatchRole(): void {
    const alive = listAlive().filter(({ dataCentre }) => !unreachableDataCentres.has(dataCentre));
    updateDutyCandidates(alive);
    const role = roleSelector.advance(
      {
        self: self.name,
        alive,
        knowledgeAgeMs: knowledge.computeAge(),
        hasContacts,
      },
      getNow(),
    );
    isListed = role.kind === 'watch' && role.isListed;
    // Not derived from the live instances: a starting instance knows none and would choose itself.
    isCandidate = isListed;
    knowledge.setRole(role);
  }

  timers.subscribe(LOAD_UPDATE_PERIOD_MS, () => {
    updateUnreachable();
    const summary = knowledge.getSummary();
    const updates = loadExchange.advance(getNow());
    const time = options.time.buildPeerTime(getNow());
    for (const update of updates) options.datagrams.sendLoads(update, summary, time);
    sendReports(updates);
  });
  timers.subscribe(WATCH_ROLE_PERIOD_MS, () => {
    advanceWatchRole();
    const ageMs = Math.max(knowledge.computeAge(), knowledge.computeEndpointsAge());
    if (ageMs > watchPace.recentMaxMs) startKnowledgeFetches();
  });
  timers.subscribeOnce(0, advanceWatchRole);

  return {
    handlePeerStatus(status) {
      const nowMs = getNow();
      for (const name of [status.dataCentre, ...status.heardDataCentres]) {
        reachability.recordHeard(name, nowMs);
      }
      if (status.time !== undefined) options.time.recordPeerTime(status.time, nowMs);
      loadExchange.handle(status, nowMs);
      const isPeerAhead = knowledge.applySummary(status.knowledge);
      const address = isPeerAhead ? fleet.findAddress(status.instance) : undefined;
      if (address !== undefined)
        knowledgeFetcher.startUpdateFetch({ name: status.instance, address });
    },
    handleCases: (from, cases) => options.quarantine.merge(cases, from),
    isDataCentreUnreachable: (dataCentre) => unreachableDataCentres.has(dataCentre),
    handleMessages(from, bodies) {
      for (const body of bodies) {
        switch (body.case) {
          case 'ping':
          case 'pingRequest':
          case 'ack':
          case 'syncFacts':
            fleet.handle(from, body);
            break;
          default:
            // Tickets and slots are used only by routers with declared classes.
            break;
        }
      }
    },
    recordUnreachable: (address) => fleet.recordUnreachable(address),
    knowsFleetLoad: () => loadExchange.isInformed(getNow()),
    startKnowledgeFetches,
    isDutyCandidate: () => isCandidate,
    listDutyCandidates: () => otherCandidates.map(({ name }) => name),
    sendUsage(usage) {
      const addresses = otherCandidates.map(({ address }) => address);
      if (addresses.length > 0) options.datagrams.sendUsage(addresses, usage);
    },
    countInstances: () => fleet.listAlive().length,
    listPeers: () => listAlive().filter(({ name }) => name !== self.name),
    listAliveNames: () => fleet.listAlive().map(({ subject }) => subject),
    findAddress: (name) => fleet.findAddress(name),
    leave: () => fleet.leave(),
    announceLeft: () => fleet.announceLeft(),
  };
}
