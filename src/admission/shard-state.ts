/** State of a shard: classes with their queues and floor credit, and granted slots. */
import type { ClassDeclaration } from '../types/declarations.js';
import { createClassQueue } from './class-queue.js';
import type { ClassQueue } from './class-queue.js';
import { createDepartureRate } from './departure-rate.js';
import type { DepartureRate } from './departure-rate.js';
import { createFloorCredit } from './floor-credit.js';
import type { FloorCredit } from './floor-credit.js';
import type { Ticket } from './ticket.js';

/** A slot held by an instance. */
export interface Grant {
  readonly ticketId: string;
  readonly from: string;
  readonly endpoint: string;
  readonly className: string;
  readonly tier: number;
  readonly organisation: string;
  readonly weight: number;
  readonly isFloor: boolean;
  readonly preemptible: boolean;
  readonly chargedTokens: number;
  readonly grantedMs: number;
  readonly expiresMs: number;
  readonly isResumed: boolean;
  /** When the holder last reported the slot. */
  reportedMs: number;
  /** When preemption was last requested. */
  preemptedMs: number | undefined;
}

/** State of one class in the shard. */
export interface ClassState {
  declaration: ClassDeclaration;
  readonly queue: ClassQueue;
  readonly credit: FloorCredit;
  readonly departures: DepartureRate;
  /** Slots held by priority, without floor slots. */
  priorityHeld: number;
  /** Since when the class has had queued tickets without receiving a grant. */
  unservedSinceMs: number | undefined;
}

export interface ShardState {
  readonly classes: ReadonlyMap<string, ClassState>;
  readonly grants: Map<string, Grant>;
  /** Updates the classes; removes and returns the tickets of deleted classes. */
  setClasses(declarations: ReadonlyMap<string, ClassDeclaration>): Ticket[];
  listByTier(): ClassState[];
  addTicket(ticket: Ticket, classState: ClassState, nowMs: number): void;
  removeTicket(ticketId: string): Ticket | undefined;
  hasTicket(ticketId: string): boolean;
  findClassOf(ticketId: string): ClassState | undefined;
  countWaiting(): number;
  countWaitingAtOrAbove(tier: number): number;
  /** Preemptible priority slots of lower tiers for which no preemption was requested yet. */
  countPreemptibleBelow(tier: number): number;
  /** Held slots for which preemption was requested. */
  countPreempted(): number;
}

/** Creates an empty shard without classes. */
export function createShardState(): ShardState {
  const classes = new Map<string, ClassState>();
  const grants = new Map<string, Grant>();
  const classOfTicket = new Map<string, ClassState>();

  function addClass(name: string, declaration: ClassDeclaration): void {
    const known = classes.get(name);
    if (known !== undefined) {
      known.declaration = declaration;
      return;
    }
    classes.set(name, {
      declaration,
      queue: createClassQueue(),
      credit: createFloorCredit(),
      departures: createDepartureRate(),
      priorityHeld: 0,
      unservedSinceMs: undefined,
    });
  }

  function removeTicket(ticketId: string): Ticket | undefined {
    const classState = classOfTicket.get(ticketId);
    if (classState === undefined) return undefined;
    classOfTicket.delete(ticketId);
    const ticket = classState.queue.remove(ticketId);
    if (classState.queue.count() === 0) classState.unservedSinceMs = undefined;
    return ticket;
  }

  return {
    classes,
    grants,
    setClasses(declarations) {
      for (const [name, declaration] of declarations) addClass(name, declaration);
      const orphans: Ticket[] = [];
      for (const [name, classState] of classes) {
        if (!declarations.has(name)) {
          orphans.push(...classState.queue.list());
          classes.delete(name);
        }
      }
      for (const ticket of orphans) removeTicket(ticket.ticketId);
      return orphans;
    },
    listByTier: () => [...classes.values()].sort((a, b) => a.declaration.tier - b.declaration.tier),
    addTicket(ticket, classState, nowMs) {
      classState.unservedSinceMs ??= nowMs;
      classState.queue.add(ticket);
      classOfTicket.set(ticket.ticketId, classState);
    },
    removeTicket,
    hasTicket: (ticketId) => classOfTicket.has(ticketId),
    findClassOf: (ticketId) => classOfTicket.get(ticketId),
    countWaiting: () => classOfTicket.size,
    countWaitingAtOrAbove(tier) {
      let waiting = 0;
      for (const classState of classes.values()) {
        if (classState.declaration.tier <= tier) waiting += classState.queue.count();
      }
      return waiting;
    },
    countPreempted: () =>
      [...grants.values()].filter((grant) => grant.preemptedMs !== undefined).length,
    countPreemptibleBelow(tier) {
      let open = 0;
      for (const grant of grants.values()) {
        const isOpen = !grant.isFloor && grant.preemptible && grant.preemptedMs === undefined;
        if (grant.tier > tier && isOpen) open += 1;
      }
      return open;
    },
  };
}
