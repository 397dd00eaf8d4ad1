/**
 * Gossip membership (SWIM with suspicion); does no I/O. Each round probes a fixed number of
 * members. A member that does not answer is probed through others, then suspected, then declared
 * dead unless it refutes with a higher incarnation. Facts are piggybacked on probes, so a member's
 * traffic does not grow with the fleet. Endpoints that are leaving are gossiped too, since the
 * platform's list lags.
 */
import type { Fact } from '../gen/peer_pb.js';
import type { Invariants } from '../runtime/invariants.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import type {
  Contact,
  GossipBody,
  MembershipCommand,
  MembershipMessage,
} from './membership-messages.js';
import { FactKind, FactState, createFact, hashFacts, isNewer, isPresent } from './facts.js';

export const PROBE_PERIOD_MS = 400;
/** Members probed per round, whatever the fleet's size. */
export const PROBE_FANOUT = 3;
/** Members that relay an indirect probe. */
const INDIRECT_FANOUT = 2;
/** Time after which an unanswered probe is repeated through relays. */
const DIRECT_PROBE_TIMEOUT_MS = 200;
/** Time after which an unanswered probe makes its target suspect. */
const PROBE_TIMEOUT_MS = 700;
/** Time in which a suspect can refute before it is declared dead. */
export const SUSPICION_TIMEOUT_MS = 2000;
/** Time for which dead members are kept and probed, so that a partitioned fleet can merge. */
const TOMBSTONE_RETENTION_MS = 600_000;
const FACTS_PER_MESSAGE_MAX = 12;
/** Each fact is sent this many times log2 of the fleet's size. */
const RETRANSMIT_FACTOR = 4;
/** Minimum interval between full exchanges started by this member. */
const SYNC_PERIOD_MS = 2000;
/** Members notified directly when this member leaves. */
const LEAVE_FANOUT = 12;
/** Interval of rounds while no other member is known: seeds that start at the same time may be late. */
const BOOTSTRAP_PERIOD_MS = 300;
const DEAD_PROBE_INTERVAL_ROUNDS = 5;

export interface MembershipOptions {
  readonly self: Contact;
  /** Higher than any earlier start under the same name: the wall clock at start. */
  readonly incarnation: number;
  readonly random: Random;
  readonly invariants: Invariants;
  /**
   * Interval of probe rounds.
   * @default PROBE_PERIOD_MS
   */
  readonly probePeriodMs?: number;
}

interface Probe {
  readonly sequence: number;
  readonly target: string;
  readonly sentMs: number;
  /** The member that requested this probe and its sequence number; undefined for own probes. */
  readonly requester: { readonly name: string; readonly sequence: number } | undefined;
  isIndirect: boolean;
}

interface Rumour {
  readonly fact: Fact;
  sent: number;
}

export interface Membership {
  handle(message: MembershipMessage, nowMs: number): MembershipCommand[];
  /** All known members, including this one. */
  listMembers(): Fact[];
  listEndpoints(): Fact[];
  findMember(name: string): Fact | undefined;
}

export function createMembership(options: MembershipOptions): Membership {
  const { self, random, invariants, probePeriodMs = PROBE_PERIOD_MS } = options;
  const facts = new Map<string, Fact>();
  const rumours = new Map<string, Rumour>();
  const probes = new Map<number, Probe>();
  const suspectSinceMs = new Map<string, number>();
  const deadSinceMs = new Map<string, number>();
  const contacts = new Map<string, Contact>();
  let probeOrder: string[] = [];
  let sequence = 0;
  let roundNumber = 0;
  let lastRoundMs = -Infinity;
  let lastSyncMs = -Infinity;
  let commands: MembershipCommand[] = [];

  function buildFactKey(fact: Pick<Fact, 'kind' | 'subject'>): string {
    return `${fact.kind}|${fact.subject}`;
  }

  const selfKey = buildFactKey({ kind: FactKind.MEMBER, subject: self.name });
  facts.set(
    selfKey,
    createFact({
      subject: self.name,
      kind: FactKind.MEMBER,
      incarnation: options.incarnation,
      state: FactState.ALIVE,
      address: self.address,
      dataCentre: self.dataCentre,
      configurationVersion: 0,
      revision: 0,
      demand: [],
    }),
  );

  function getSelf(): Fact {
    return facts.get(selfKey) as Fact;
  }

  function findMember(name: string): Fact | undefined {
    return facts.get(buildFactKey({ kind: FactKind.MEMBER, subject: name }));
  }

  function listMembers(): Fact[] {
    return [...facts.values()].filter((fact) => fact.kind === FactKind.MEMBER);
  }

  function listOthers(): Fact[] {
    return listMembers().filter((fact) => fact.subject !== self.name && isPresent(fact));
  }

  function recordRumour(fact: Fact): void {
    rumours.set(buildFactKey(fact), { fact, sent: 0 });
  }

  function storeFact(fact: Fact, nowMs: number): void {
    const key = buildFactKey(fact);
    const before = facts.get(key);
    facts.set(key, fact);
    recordRumour(fact);
    if (fact.state === FactState.SUSPECT) suspectSinceMs.set(fact.subject, nowMs);
    else suspectSinceMs.delete(fact.subject);
    if (fact.kind === FactKind.MEMBER && !isPresent(fact)) deadSinceMs.set(fact.subject, nowMs);
    else deadSinceMs.delete(fact.subject);
    commands.push({ kind: 'changed', fact, before });
  }

  /** Updates this member's own fact; a new incarnation overrides facts from others. */
  function updateSelf(change: Partial<Fact>, isNewIncarnation: boolean, nowMs: number): void {
    const known = getSelf();
    storeFact(
      createFact({
        ...known,
        ...change,
        incarnation: known.incarnation + (isNewIncarnation ? 1 : 0),
        revision: known.revision + 1,
      }),
      nowMs,
    );
  }

  /** Refutes, with a higher incarnation, that this member is suspect or dead. */
  function applyRefutation(fact: Fact, nowMs: number): void {
    const known = getSelf();
    const isRefutationNeeded = fact.incarnation > known.incarnation || isNewer(fact, known);
    if (!isRefutationNeeded) return;
    storeFact(
      createFact({
        ...known,
        incarnation: Math.max(known.incarnation, fact.incarnation) + 1,
        revision: known.revision + 1,
      }),
      nowMs,
    );
  }

  function applyFact(fact: Fact, nowMs: number): void {
    if (fact.kind === FactKind.MEMBER && fact.subject === self.name) {
      applyRefutation(fact, nowMs);
      return;
    }
    const known = facts.get(buildFactKey(fact));
    if (known !== undefined && !isNewer(fact, known)) return;
    invariants.check(
      'membership_incarnation_grows',
      known === undefined || fact.incarnation >= known.incarnation,
      () => `${fact.subject}: incarnation ${fact.incarnation} after ${known?.incarnation ?? 0}`,
    );
    storeFact(fact, nowMs);
  }

  function computeRetransmits(): number {
    return RETRANSMIT_FACTOR * Math.ceil(Math.log2(listMembers().length + 2));
  }

  /** The least-sent rumours, after this member's own fact, which identifies the sender. */
  function takeRumours(): Fact[] {
    const limit = computeRetransmits();
    const selected = [...rumours.values()]
      .filter((rumour) => rumour.fact.subject !== self.name)
      .sort((a, b) => a.sent - b.sent)
      .slice(0, FACTS_PER_MESSAGE_MAX - 1);
    for (const rumour of selected) {
      rumour.sent += 1;
      if (rumour.sent >= limit) rumours.delete(buildFactKey(rumour.fact));
    }
    return [getSelf(), ...selected.map((rumour) => rumour.fact)];
  }

  function findAddress(name: string): string {
    return findMember(name)?.address ?? contacts.get(name)?.address ?? '';
  }

  function postBody(to: string, body: GossipBody): void {
    const address = findAddress(to);
    if (address !== '') commands.push({ kind: 'send', to, address, body });
  }

  function postPing(target: string, asker: Probe['requester'], nowMs: number): void {
    sequence += 1;
    probes.set(sequence, { sequence, target, sentMs: nowMs, requester: asker, isIndirect: false });
    // The target is sent the fact about itself, or it could not refute a suspicion.
    const targetFact = findMember(target);
    const isRefutable = targetFact !== undefined && targetFact.state !== FactState.ALIVE;
    postBody(target, {
      case: 'ping',
      value: {
        $typeName: 'hyssoptally.peer.v1.Ping',
        sequence,
        facts: isRefutable ? [...takeRumours(), targetFact] : takeRumours(),
        factsHash: hashFacts(facts.values()),
      },
    });
  }

  function postSync(to: string, isReplyWanted: boolean): void {
    postBody(to, {
      case: 'syncFacts',
      value: {
        $typeName: 'hyssoptally.peer.v1.SyncFacts',
        facts: [...facts.values()],
        replyWanted: isReplyWanted,
      },
    });
  }

  function chooseOthers(count: number, except: readonly string[]): Fact[] {
    const pool = listOthers().filter((fact) => !except.includes(fact.subject));
    const chosen: Fact[] = [];
    while (chosen.length < count && pool.length > 0) {
      const [taken] = pool.splice(random.nextIndex(pool.length), 1);
      if (taken !== undefined) chosen.push(taken);
    }
    return chosen;
  }

  /** Takes the next members of a shuffled order, so that each is probed within a bounded time. */
  function takeProbeTargets(): string[] {
    const present = new Set(listOthers().map((fact) => fact.subject));
    probeOrder = probeOrder.filter((name) => present.has(name));
    if (probeOrder.length < PROBE_FANOUT) {
      const rest = [...present].filter((name) => !probeOrder.includes(name));
      for (let index = rest.length - 1; index > 0; index -= 1) {
        const other = random.nextIndex(index + 1);
        [rest[index], rest[other]] = [rest[other] as string, rest[index] as string];
      }
      probeOrder = [...probeOrder, ...rest];
    }
    return probeOrder.splice(0, PROBE_FANOUT);
  }

  function listUnknownContacts(): Contact[] {
    return [...contacts.values()].filter((contact) => findMember(contact.name) === undefined);
  }

  /** Probes contacts while no member is known. */
  function sendBootstrapProbes(nowMs: number): void {
    const unknown = listUnknownContacts().filter(({ name }) => name !== self.name);
    while (unknown.length > PROBE_FANOUT) unknown.splice(random.nextIndex(unknown.length), 1);
    for (const { name } of unknown) postPing(name, undefined, nowMs);
  }

  function sendAbsentProbe(nowMs: number): void {
    const unknown = listUnknownContacts();
    const dead = listMembers().filter((fact) => !isPresent(fact) && fact.state !== FactState.LEFT);
    const absent = [...unknown.map((contact) => contact.name), ...dead.map((fact) => fact.subject)];
    const isDue = unknown.length > 0 || roundNumber % DEAD_PROBE_INTERVAL_ROUNDS === 0;
    const target = absent[random.nextIndex(absent.length)];
    if (isDue && target !== undefined && target !== self.name) postPing(target, undefined, nowMs);
  }

  function startRound(nowMs: number): void {
    roundNumber += 1;
    lastRoundMs = nowMs;
    const targets = takeProbeTargets();
    for (const target of targets) postPing(target, undefined, nowMs);
    if (targets.length === 0) sendBootstrapProbes(nowMs);
    else sendAbsentProbe(nowMs);
  }

  function computeRoundPeriodMs(): number {
    return listOthers().length === 0 ? Math.min(BOOTSTRAP_PERIOD_MS, probePeriodMs) : probePeriodMs;
  }

  function setSuspect(target: string, nowMs: number): void {
    const known = findMember(target);
    if (known === undefined || !isPresent(known)) return;
    if (known.state === FactState.ALIVE) {
      storeFact(createFact({ ...known, state: FactState.SUSPECT }), nowMs);
    } else if (known.state === FactState.LEAVING && !suspectSinceMs.has(target)) {
      suspectSinceMs.set(target, nowMs);
    }
  }

  function checkProbes(nowMs: number): void {
    for (const probe of probes.values()) {
      const ageMs = nowMs - probe.sentMs;
      if (ageMs >= PROBE_TIMEOUT_MS) {
        probes.delete(probe.sequence);
        if (probe.requester === undefined) setSuspect(probe.target, nowMs);
      } else if (
        ageMs >= DIRECT_PROBE_TIMEOUT_MS &&
        !probe.isIndirect &&
        probe.requester === undefined
      ) {
        probe.isIndirect = true;
        // Guards against one bad link: a member would suspect another that all others reach.
        for (const relay of chooseOthers(INDIRECT_FANOUT, [probe.target])) {
          postBody(relay.subject, {
            case: 'pingRequest',
            value: {
              $typeName: 'hyssoptally.peer.v1.PingRequest',
              sequence: probe.sequence,
              target: probe.target,
              facts: takeRumours(),
            },
          });
        }
      }
    }
  }

  function checkSuspects(nowMs: number): void {
    for (const [name, sinceMs] of suspectSinceMs) {
      const known = findMember(name);
      if (nowMs - sinceMs >= SUSPICION_TIMEOUT_MS && known !== undefined) {
        storeFact(createFact({ ...known, state: FactState.DEAD }), nowMs);
      }
    }
    for (const [name, sinceMs] of deadSinceMs) {
      if (nowMs - sinceMs >= TOMBSTONE_RETENTION_MS) {
        deadSinceMs.delete(name);
        facts.delete(buildFactKey({ kind: FactKind.MEMBER, subject: name }));
      }
    }
  }

  function checkFactsHash(from: string, peerHash: number, nowMs: number): void {
    const isDue = nowMs - lastSyncMs >= SYNC_PERIOD_MS;
    if (!isDue || peerHash === hashFacts(facts.values())) return;
    lastSyncMs = nowMs;
    postSync(from, true);
  }

  /** A seed is probed by its address, before its name is known. */
  function isProbeTarget(target: string, subject: string): boolean {
    return target === subject || contacts.get(target)?.address === findMember(subject)?.address;
  }

  function handleAck(
    from: string,
    body: Extract<GossipBody, { case: 'ack' }>,
    nowMs: number,
  ): void {
    const { sequence: answeredSequence, subject, factsHash } = body.value;
    const probe = probes.get(answeredSequence);
    if (probe === undefined || !isProbeTarget(probe.target, subject)) return;
    probes.delete(answeredSequence);
    suspectSinceMs.delete(subject);
    if (probe.requester !== undefined) {
      postBody(probe.requester.name, {
        case: 'ack',
        value: { ...body.value, sequence: probe.requester.sequence },
      });
      return;
    }
    if (from === subject) checkFactsHash(from, factsHash, nowMs);
  }

  function handleReceived(from: string, body: GossipBody, nowMs: number): void {
    for (const fact of body.value.facts) applyFact(fact, nowMs);
    switch (body.case) {
      case 'ping':
        postBody(from, {
          case: 'ack',
          value: {
            $typeName: 'hyssoptally.peer.v1.Ack',
            sequence: body.value.sequence,
            subject: self.name,
            facts: takeRumours(),
            factsHash: hashFacts(facts.values()),
          },
        });
        checkFactsHash(from, body.value.factsHash, nowMs);
        break;
      case 'pingRequest':
        postPing(body.value.target, { name: from, sequence: body.value.sequence }, nowMs);
        break;
      case 'ack':
        handleAck(from, body, nowMs);
        break;
      case 'syncFacts':
        if (body.value.replyWanted) postSync(from, false);
        break;
      default:
        assertNever(body);
    }
  }

  function handleEndpoint(
    message: Extract<MembershipMessage, { kind: 'endpoint' }>,
    nowMs: number,
  ): void {
    const key = buildFactKey({ kind: FactKind.ENDPOINT, subject: message.endpoint });
    const known = facts.get(key);
    const state = message.isLeaving ? FactState.LEAVING : FactState.ALIVE;
    if (known?.state === state || (known === undefined && !message.isLeaving)) return;
    storeFact(
      createFact({
        subject: message.endpoint,
        kind: FactKind.ENDPOINT,
        incarnation: Math.max(message.wallMs, (known?.incarnation ?? 0) + 1),
        state,
        address: '',
        dataCentre: '',
        configurationVersion: 0,
        revision: 0,
        demand: [],
      }),
      nowMs,
    );
  }

  function handleLeave(state: FactState, nowMs: number): void {
    updateSelf({ state }, false, nowMs);
    for (const other of chooseOthers(LEAVE_FANOUT, [])) postPing(other.subject, undefined, nowMs);
  }

  function applyMessage(message: MembershipMessage, nowMs: number): void {
    switch (message.kind) {
      case 'received':
        handleReceived(message.from, message.body, nowMs);
        break;
      case 'contacts':
        contacts.clear();
        for (const contact of message.contacts) {
          if (contact.name !== self.name) contacts.set(contact.name, contact);
        }
        break;
      case 'configuration':
        updateSelf({ configurationVersion: message.version }, false, nowMs);
        break;
      case 'demand':
        updateSelf({ demand: [...message.shares] }, false, nowMs);
        break;
      case 'endpoint':
        handleEndpoint(message, nowMs);
        break;
      case 'unreachable':
        for (const fact of listOthers()) {
          if (fact.address === message.address) setSuspect(fact.subject, nowMs);
        }
        break;
      case 'leave':
        handleLeave(FactState.LEAVING, nowMs);
        break;
      case 'left':
        handleLeave(FactState.LEFT, nowMs);
        break;
      case 'tick':
        if (nowMs - lastRoundMs >= computeRoundPeriodMs()) startRound(nowMs);
        checkProbes(nowMs);
        checkSuspects(nowMs);
        break;
      default:
        assertNever(message);
    }
  }

  return {
    handle(message, nowMs) {
      commands = [];
      applyMessage(message, nowMs);
      return commands;
    },
    listMembers,
    listEndpoints: () => [...facts.values()].filter((fact) => fact.kind === FactKind.ENDPOINT),
    findMember,
  };
}
