/** Versioned facts about members and endpoints, and their precedence. */
import type { Fact } from '../gen/peer_pb.js';
import { FactKind, FactState } from '../gen/peer_pb.js';
import { hashName } from '../utils/hash.js';

/** Of two facts of the same incarnation, the one with the higher precedence wins. */
const STATE_PRECEDENCE: Readonly<Record<FactState, number>> = {
  [FactState.UNSPECIFIED]: -1,
  [FactState.ALIVE]: 0,
  [FactState.SUSPECT]: 1,
  [FactState.LEAVING]: 2,
  [FactState.DEAD]: 3,
  [FactState.LEFT]: 4,
};

/** Fields of a fact without the wire type name. */
export type FactFields = Omit<Fact, '$typeName' | '$unknown'>;

export function createFact(fields: FactFields): Fact {
  return { $typeName: 'hyssoptally.peer.v1.Fact', ...fields };
}

/** Whether `next` supersedes `known`. */
export function isNewer(next: Fact, known: Fact): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  if (STATE_PRECEDENCE[next.state] !== STATE_PRECEDENCE[known.state])
    return STATE_PRECEDENCE[next.state] > STATE_PRECEDENCE[known.state];
  return next.revision > known.revision;
}

/** Whether a member takes part: alive, suspect or leaving. */
export function isPresent(fact: Fact): boolean {
  switch (fact.state) {
    case FactState.ALIVE:
    case FactState.SUSPECT:
    case FactState.LEAVING:
      return true;
    default:
      return false;
  }
}

/** Whether a member may own shards: present and not leaving. */
export function isServing(fact: Fact): boolean {
  return fact.state === FactState.ALIVE || fact.state === FactState.SUSPECT;
}

/** Digest of the states of all subjects, equal on instances that agree. */
export function hashFacts(facts: Iterable<Fact>): number {
  let digest = 0;
  for (const fact of facts) {
    const text = `${fact.kind}|${fact.subject}|${fact.incarnation}|${fact.state}`;
    digest = (digest + hashName(text)) % 2 ** 32;
  }
  return digest;
}

export { FactKind, FactState };
