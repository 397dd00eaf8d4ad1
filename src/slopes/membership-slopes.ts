/** Measures how the cost of membership for one node grows with the number of members. */
import { toBinary, create } from '@bufbuild/protobuf';
import { DeliverRequestSchema } from '../gen/peer_pb.js';
import type { PeerMessage } from '../gen/peer_pb.js';
import { createMembership } from '../membership/membership.js';
import type { Membership } from '../membership/membership.js';
import type { GossipBody, MembershipCommand } from '../membership/membership-messages.js';
import { createInvariants } from '../runtime/invariants.js';
import { createRandom } from '../utils/random.js';
import { buildSlope, computeMebibytes } from './measure.js';
import type { Slope } from './measure.js';

const SIZES = [8, 50, 200, 410] as const;
const TICK_MS = 50;
const SETTLE_MS = 30_000;
const MEASURED_MS = 20_000;
/** Restarts and failures on a day of the target size, spread evenly: one in about five minutes. */
const CHANGES_PER_MS = (280 + 16) / 86_400_000;

interface Flight {
  readonly from: string;
  readonly to: string;
  readonly body: PeerMessage['body'];
}

interface NodeCost {
  readonly processorShare: number;
  readonly bytesPerSecond: number;
}

function createMember(index: number, size: number): Membership {
  const membership = createMembership({
    self: { name: `m-${index}`, address: `m-${index}`, dataCentre: `dc-${index % 5}` },
    incarnation: 1000,
    random: createRandom(index + 1),
    invariants: createInvariants(() => undefined),
  });
  const contacts = Array.from({ length: Math.min(size, 5) }, (_, other) => ({
    name: `m-${other}`,
    address: `m-${other}`,
    dataCentre: '',
  }));
  membership.handle({ kind: 'contacts', contacts }, 0);
  return membership;
}

function countBytes(from: string, body: PeerMessage['body']): number {
  const request = create(DeliverRequestSchema, { from, incarnation: 1000, messages: [{ body }] });
  return toBinary(DeliverRequestSchema, request).length;
}

/** Runs a fleet in memory and measures the processor time and bytes of one member. */
function runFleet(size: number): NodeCost {
  const members = Array.from({ length: size }, (_, index) => createMember(index, size));
  const byName = new Map(members.map((member, index) => [`m-${index}`, member]));
  const watched = 'm-1';
  let flights: Flight[] = [];
  let usedMs = 0;
  let bytes = 0;
  let isMeasured = false;

  function runMember(name: string, run: (member: Membership) => MembershipCommand[]): void {
    const member = byName.get(name);
    if (member === undefined) return;
    const startedMs = performance.now();
    const commands = run(member);
    if (isMeasured && name === watched) usedMs += performance.now() - startedMs;
    for (const command of commands) {
      if (command.kind === 'send') {
        if (isMeasured && name === watched) bytes += countBytes(name, command.body);
        flights.push({ from: name, to: command.address, body: command.body });
      }
    }
  }

  for (let nowMs = 0; nowMs < SETTLE_MS + MEASURED_MS; nowMs += TICK_MS) {
    isMeasured = nowMs >= SETTLE_MS;
    const due = flights;
    flights = [];
    for (const { from, to, body } of due) {
      const received = { kind: 'received' as const, from, body: body as GossipBody };
      runMember(to, (member) => member.handle(received, nowMs));
    }
    for (const name of byName.keys()) {
      runMember(name, (member) => member.handle({ kind: 'tick' }, nowMs));
    }
    const changes =
      Math.floor((nowMs + TICK_MS) * CHANGES_PER_MS) - Math.floor(nowMs * CHANGES_PER_MS);
    if (changes > 0 || nowMs === SETTLE_MS) {
      // A new configuration version counts too, since each member then publishes a new fact.
      for (const name of byName.keys()) {
        runMember(name, (member) =>
          member.handle({ kind: 'configuration', version: nowMs }, nowMs),
        );
      }
    }
  }
  return {
    processorShare: (usedMs / MEASURED_MS) * 100,
    bytesPerSecond: (bytes * 1000) / MEASURED_MS,
  };
}

function computeMemory(size: number): number {
  return computeMebibytes(() => {
    const member = createMember(0, size);
    const fleet = Array.from({ length: size }, (_, index) => createMember(index, 0).listMembers());
    const facts = fleet.flat();
    const body: GossipBody = {
      case: 'syncFacts',
      value: { $typeName: 'hyssoptally.peer.v1.SyncFacts', facts, replyWanted: false },
    };
    member.handle({ kind: 'received', from: 'm-1', body }, 0);
    return member;
  });
}

/** Measures membership. */
export function buildMembershipSlopes(): Slope[] {
  const costs = SIZES.map((size) => ({ size, ...runFleet(size) }));
  const against = 'members';
  return [
    buildSlope(
      'membership',
      '% of a core, one change of version in 20 s',
      against,
      costs.map(({ size, processorShare }) => ({ size, value: processorShare })),
    ),
    buildSlope(
      'membership',
      'bytes/s sent by a node',
      against,
      costs.map(({ size, bytesPerSecond }) => ({ size, value: bytesPerSecond })),
    ),
    buildSlope(
      'membership',
      'MiB',
      against,
      SIZES.map((size) => ({ size, value: computeMemory(size) })),
    ),
  ];
}
