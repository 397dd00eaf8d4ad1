import type { PeerMessage } from '../gen/peer_pb.js';
import { createInvariants } from '../runtime/invariants.js';
import { describe } from '../test/describe.js';
import { createRandom } from '../utils/random.js';
import { FactState } from './facts.js';
import {
  PROBE_FANOUT,
  PROBE_PERIOD_MS,
  SUSPICION_TIMEOUT_MS,
  createMembership,
} from './membership.js';
import type { Membership } from './membership.js';
import type { GossipBody, MembershipCommand } from './membership-messages.js';

const TICK_MS = 50;
const DELAY_MS = 5;

interface InFlightMessage {
  readonly atMs: number;
  readonly from: string;
  readonly to: string;
  readonly body: PeerMessage['body'];
}

/** Members that exchange messages over links that a test can close. */
function createFleet(names: readonly string[]) {
  const members = new Map<string, Membership>();
  const closedLinks = new Set<string>();
  const dead = new Set<string>();
  const sentBytes = new Map<string, number>();
  let inFlight: InFlightMessage[] = [];
  let nowMs = 0;
  const contacts = names.map((name) => ({ name, address: name, dataCentre: 'one' }));

  function startMember(name: string, incarnation: number): void {
    const membership = createMembership({
      self: { name, address: name, dataCentre: 'one' },
      incarnation,
      random: createRandom(incarnation + name.length + name.charCodeAt(name.length - 1)),
      invariants: createInvariants((breach) => {
        throw new Error(breach.detail);
      }),
    });
    members.set(name, membership);
    membership.handle({ kind: 'contacts', contacts }, nowMs);
  }

  function sendAll(from: string, commands: readonly MembershipCommand[]): void {
    for (const command of commands) {
      if (command.kind === 'send') {
        sentBytes.set(from, (sentBytes.get(from) ?? 0) + JSON.stringify(command.body).length);
        inFlight.push({ atMs: nowMs + DELAY_MS, from, to: command.address, body: command.body });
      }
    }
  }

  function takeDue(): InFlightMessage[] {
    const due = inFlight.filter((flight) => flight.atMs <= nowMs);
    inFlight = inFlight.filter((flight) => flight.atMs > nowMs);
    return due;
  }

  function runUntil(untilMs: number): void {
    while (nowMs < untilMs) {
      nowMs += TICK_MS;
      for (const flight of takeDue()) {
        const isLost = closedLinks.has(`${flight.from}>${flight.to}`) || dead.has(flight.to);
        const target = members.get(flight.to);
        if (!isLost && target !== undefined) {
          const body = flight.body as GossipBody;
          sendAll(flight.to, target.handle({ kind: 'received', from: flight.from, body }, nowMs));
        }
      }
      for (const [name, member] of members) {
        if (!dead.has(name)) sendAll(name, member.handle({ kind: 'tick' }, nowMs));
      }
    }
  }

  for (const name of names) startMember(name, 1000);
  return {
    members,
    closedLinks,
    dead,
    startMember,
    getNow: () => nowMs,
    runFor: (ms: number) => runUntil(nowMs + ms),
    handle(name: string, message: Parameters<Membership['handle']>[0]) {
      const member = members.get(name);
      if (member !== undefined) sendAll(name, member.handle(message, nowMs));
    },
    getState: (observer: string, subject: string) =>
      members.get(observer)?.findMember(subject)?.state,
    countBytes: (name: string) => sentBytes.get(name) ?? 0,
    clearBytes: () => sentBytes.clear(),
  };
}

const NAMES = Array.from({ length: 8 }, (_, index) => `entry-${index + 1}`);

describe('membership', ({ it }) => {
  it('discovers all members', (t) => {
    const fleet = createFleet(NAMES);
    fleet.runFor(5000);
    for (const member of fleet.members.values()) t.is(member.listMembers().length, NAMES.length);
  });

  // Guards against a large fleet calling the platform's store at once because each new instance
  // believes for too long that the fleet is small.
  it('discovers all members from a few seeds within 1.6 seconds', (t) => {
    const names = Array.from({ length: 60 }, (_, index) => `entry-${index + 1}`);
    const fleet = createFleet(names);
    const contacts = names
      .slice(0, 3)
      .map((address) => ({ name: address, address, dataCentre: '' }));
    for (const name of names) fleet.handle(name, { kind: 'contacts', contacts });
    fleet.runFor(1600);
    for (const member of fleet.members.values()) t.is(member.listMembers().length, names.length);
  });

  it('keeps a member that only one other member cannot reach', (t) => {
    // Guards against dropping a healthy member because of one bad link.
    const fleet = createFleet(NAMES);
    fleet.runFor(5000);
    fleet.closedLinks.add('entry-1>entry-2').add('entry-2>entry-1');
    for (let look = 0; look < 120; look += 1) {
      fleet.runFor(250);
      // A suspect would lose its shards.
      t.is(fleet.getState('entry-3', 'entry-2'), FactState.ALIVE);
    }
  });

  it('declares a dead member dead and accepts its next incarnation', (t) => {
    const fleet = createFleet(NAMES);
    fleet.runFor(5000);
    fleet.dead.add('entry-4');
    fleet.runFor(PROBE_PERIOD_MS * NAMES.length + SUSPICION_TIMEOUT_MS + 3000);
    for (const name of NAMES.filter((other) => other !== 'entry-4')) {
      t.is(fleet.getState(name, 'entry-4'), FactState.DEAD);
    }
    fleet.dead.delete('entry-4');
    fleet.startMember('entry-4', 5000);
    fleet.runFor(8000);
    for (const name of NAMES) t.is(fleet.getState(name, 'entry-4'), FactState.ALIVE);
  });

  // Guards against ignoring a restarted member whose wall clock stepped back, so that its
  // incarnation is below the one declared dead.
  it('accepts a restarted member whose clock stepped back', (t) => {
    const fleet = createFleet(NAMES);
    fleet.runFor(5000);
    fleet.dead.add('entry-4');
    fleet.runFor(PROBE_PERIOD_MS * NAMES.length + SUSPICION_TIMEOUT_MS + 3000);
    fleet.dead.delete('entry-4');
    fleet.startMember('entry-4', 500);
    fleet.runFor(8000);
    for (const name of NAMES) t.is(fleet.getState(name, 'entry-4'), FactState.ALIVE);
  });

  it('merges after a partition into two halves', (t) => {
    // Guards against a fleet that stays split because each half holds the other for dead.
    const fleet = createFleet(NAMES);
    fleet.runFor(5000);
    for (const [index, a] of NAMES.entries()) {
      for (const [other, b] of NAMES.entries()) {
        if (index % 2 !== other % 2) fleet.closedLinks.add(`${a}>${b}`);
      }
    }
    fleet.runFor(15_000);
    t.is(fleet.getState('entry-1', 'entry-2'), FactState.DEAD);
    fleet.closedLinks.clear();
    fleet.runFor(20_000);
    for (const seer of NAMES) {
      for (const seen of NAMES) t.is(fleet.getState(seer, seen), FactState.ALIVE);
    }
  });

  it('announces a leaving endpoint to all members within three seconds', (t) => {
    // Guards against new work for a leaving endpoint from instances that read only the platform's
    // lagging list.
    const fleet = createFleet(NAMES);
    fleet.runFor(5000);
    fleet.handle('entry-1', { kind: 'endpoint', endpoint: 'engine-1', isLeaving: true, wallMs: 1 });
    fleet.runFor(3000);
    for (const member of fleet.members.values()) {
      t.is(member.listEndpoints()[0]?.state, FactState.LEAVING);
    }
  });

  it('announces a leaving member to all members within a second', (t) => {
    const fleet = createFleet(NAMES);
    fleet.runFor(5000);
    fleet.handle('entry-1', { kind: 'leave' });
    fleet.runFor(1000);
    for (const name of NAMES) t.is(fleet.getState(name, 'entry-1'), FactState.LEAVING);
  });

  it('keeps the bytes sent per member bounded as the fleet grows tenfold', (t) => {
    const countQuietBytes = (size: number): number => {
      const fleet = createFleet(Array.from({ length: size }, (_, index) => `m-${index}`));
      fleet.runFor(20_000);
      fleet.clearBytes();
      fleet.runFor(10_000);
      return fleet.countBytes('m-1');
    };
    const small = countQuietBytes(8);
    const large = countQuietBytes(80);
    t.true(
      large < small * 2,
      `${PROBE_FANOUT} probes a round: ${small} bytes at 8, ${large} at 80`,
    );
  });
});
