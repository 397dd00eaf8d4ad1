/**
 * The soft owner of one shard: some endpoints of one pool. It queues small
 * tickets and grants a slot when one frees, so tier order and fair shares hold across entries.
 *
 * How the two promises fit. A grant is either *contest* (strictly by tier) or *floor* (paid from a
 * class's credit). Whenever a ticket of tier h is shed here, (1) if the queue was full, no
 * ticket of a lower tier is queued beyond its class's floor of places, and (2) contest slots of lower tiers, open to preemption and not asked back yet, are no
 * more than the tickets waiting at tier h or above: all of them are already spoken for; or (3) a slot was
 * free and h could not have been in time even with it. Floor slots are
 * outside the contest and never count against h. Both are asserted at each shed.
 *
 * It owns nothing that lasts: when it dies its successor learns of waiting tickets and held slots
 * from the entries. Two owners at once grant too much for a moment; the engines queue the excess by
 * priority. That costs time, never safety.
 */
import type { AddressedMessage } from '../types/peer-messages.js';
import type { ClassDeclaration, EndpointDeclaration } from '../types/declarations.js';
import type { HeldSlot, PostTicket, ReleaseSlot } from '../gen/peer_pb.js';
import { SlotEnding } from '../gen/peer_pb.js';
import { createEndpointTable } from '../routing/endpoint-table.js';
import type { EndpointView } from '../routing/endpoint-table.js';
import { createPrefixIndex } from '../routing/prefix-index.js';
import type { Invariants } from '../runtime/invariants.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import { createClassQueue } from './class-queue.js';
import type { ClassQueue } from './class-queue.js';
import { createDepartureRate } from './departure-rate.js';
import type { DepartureRate } from './departure-rate.js';
import { createFloorCredit } from './floor-credit.js';
import type { FloorCredit } from './floor-credit.js';
import { REFUSAL } from './ticket.js';
import type { Refusal, Ticket } from './ticket.js';

/** Tickets one shard queues for each of its slots. */
const QUEUE_PER_SLOT = 8;
const QUEUE_MIN = 32;
/** Part of its first-token target a ticket waits before it may preempt. */
const PREEMPT_PATIENCE = 0.12;
/** A ticket that asked another shard first waits this many times longer: that owner goes first. */
const PREEMPT_LATER_FACTOR = 2.5;
/** A held slot that its entry no longer reports is taken back after this long, in milliseconds. */
const HOLD_GRACE_MS = 2500;
/** A preempted slot that was not given back after this long may be preempted again. */
const PREEMPT_RETRY_MS = 1000;
/** Part of a usual hold that an answer broken off in the middle still needs. */
const RESUMED_HOLD_SHARE = 0.5;
/** Long holds that must be left for a preempted answer to wait, resume and end in time. */
const RESUMABLE_HOLDS = 1.5;
const RETRY_AFTER_MIN_MS = 250;
const RETRY_AFTER_MAX_MS = 30_000;
/** Slot endings that say the endpoint failed. */
const FAILED_ENDINGS: readonly SlotEnding[] = [SlotEnding.FAILED, SlotEnding.STALLED];

/** Everything a shard owner is told. */
export type OwnerMessage =
  | {
      readonly kind: 'configure';
      readonly classes: ReadonlyMap<string, ClassDeclaration>;
      readonly weights: (organisation: string) => number;
      readonly endpoints: readonly EndpointDeclaration[];
    }
  | { readonly kind: 'post'; readonly from: string; readonly ticket: PostTicket }
  | { readonly kind: 'withdraw'; readonly from: string; readonly ticketId: string }
  | { readonly kind: 'release'; readonly from: string; readonly release: ReleaseSlot }
  | { readonly kind: 'holdings'; readonly from: string; readonly held: readonly HeldSlot[] }
  | { readonly kind: 'member_gone'; readonly member: string }
  | { readonly kind: 'endpoint_leaving'; readonly endpoint: string; readonly isLeaving: boolean }
  /** What looking at an endpoint brought, apart from requests. */
  | { readonly kind: 'endpoint_seen'; readonly endpoint: string; readonly isReachable: boolean }
  /** Data centres without a live entry in sight: their endpoints may be behind a cut. */
  | { readonly kind: 'cut_off'; readonly dataCentres: ReadonlySet<string> }
  | { readonly kind: 'tick' };

/** What operators see of a shard. */
export interface ShardView {
  readonly shard: string;
  readonly endpoints: readonly EndpointView[];
  readonly waiting: Readonly<Record<string, number>>;
  readonly granted: number;
  readonly floorGranted: number;
  readonly shed: number;
  readonly preempted: number;
  readonly longestUnservedMs: number;
}

/** Settings of an owner; the switches exist for the bench's baselines. */
export interface ShardOwnerOptions {
  readonly shard: string;
  readonly random: Random;
  readonly invariants: Invariants;
  /** No grants before this moment: time for entries to report what they hold. @default 0 */
  readonly grantsFromMs?: number;
  /** @default true */
  readonly hasFloors?: boolean;
  /** @default true */
  readonly hasPreemption?: boolean;
}

interface Grant {
  readonly ticketId: string;
  readonly from: string;
  readonly endpoint: string;
  readonly className: string;
  readonly tier: number;
  readonly organisation: string;
  readonly isFloor: boolean;
  readonly preemptible: boolean;
  readonly chargedTokens: number;
  readonly grantedMs: number;
  readonly expiresMs: number;
  readonly isResumed: boolean;
  seenMs: number;
  preemptedMs: number | undefined;
}

interface ClassState {
  declaration: ClassDeclaration;
  readonly queue: ClassQueue;
  readonly credit: FloorCredit;
  readonly departures: DepartureRate;
  contestHeld: number;
  /** Since when the class has had waiting work without a grant. */
  unservedSinceMs: number | undefined;
}

/** The owner of one shard. */
export interface ShardOwner {
  handle(message: OwnerMessage, nowMs: number): AddressedMessage[];
  list(): ShardView;
}

/** Builds an owner with an empty queue. */
export function createShardOwner(options: ShardOwnerOptions): ShardOwner {
  const { shard, random, invariants } = options;
  const { grantsFromMs = 0, hasFloors = true, hasPreemption = true } = options;
  const classes = new Map<string, ClassState>();
  const grants = new Map<string, Grant>();
  const classOfTicket = new Map<string, string>();
  const table = createEndpointTable(random);
  const prefixes = createPrefixIndex();
  let resolveWeight: (organisation: string) => number = () => 1;
  let advancedMs: number | undefined;
  const totals = { granted: 0, floorGranted: 0, shed: 0, preempted: 0, longestUnservedMs: 0 };
  let outbox: AddressedMessage[] = [];

  function listByTier(): ClassState[] {
    return [...classes.values()].sort((a, b) => a.declaration.tier - b.declaration.tier);
  }

  function countWaiting(): number {
    return classOfTicket.size;
  }

  function countWaitingAtOrAbove(tier: number): number {
    let waiting = 0;
    for (const state of classes.values()) {
      if (state.declaration.tier <= tier) waiting += state.queue.count();
    }
    return waiting;
  }

  function countPreemptibleBelow(tier: number): number {
    if (!hasPreemption) return 0;
    let open = 0;
    for (const grant of grants.values()) {
      const isOpen = !grant.isFloor && grant.preemptible && grant.preemptedMs === undefined;
      if (grant.tier > tier && isOpen) open += 1;
    }
    return open;
  }

  function computeQueueCapacity(): number {
    return Math.max(QUEUE_MIN, table.countSlots() * QUEUE_PER_SLOT);
  }

  /** Places in the queue that are the class's by its floor, outside the contest. */
  function countReserved(state: ClassState): number {
    return hasFloors ? Math.ceil(state.declaration.floor * computeQueueCapacity()) : 0;
  }

  /** Tickets of lower tiers that wait in places of the contest. */
  function countContestWaitingBelow(tier: number): number {
    let waiting = 0;
    for (const state of classes.values()) {
      const isBelow = state.declaration.tier > tier;
      if (isBelow) waiting += Math.max(0, state.queue.count() - countReserved(state));
    }
    return waiting;
  }

  /** Expected wait of a ticket behind `ahead` others of its class, in milliseconds. */
  function predictWait(state: ClassState, ahead: number, nowMs: number): number {
    if (ahead === 0) return 0;
    const slots = Math.max(1, table.countSlots());
    // Never below what the floor alone would give: a bad second must not shut a class out.
    const floorRate = (state.declaration.floor * slots) / state.credit.getQuantum();
    const rate = state.departures.compute(nowMs);
    if (rate === undefined) return 0;
    return ahead / Math.max(rate, floorRate, Number.EPSILON);
  }

  function computeRetryAfter(state: ClassState, nowMs: number): number {
    const wait = predictWait(state, state.queue.count(), nowMs);
    const jittered = Math.max(RETRY_AFTER_MIN_MS, wait) * (0.75 + random.next() / 2);
    return Math.round(Math.min(RETRY_AFTER_MAX_MS, jittered));
  }

  function postRefusal(to: string, ticketId: string, reason: Refusal, retryAfterMs: number): void {
    outbox.push({
      to,
      body: {
        case: 'refuseTicket',
        value: {
          $typeName: 'hyssoptally.peer.v1.RefuseTicket',
          ticketId,
          shard,
          reason,
          retryAfterMs,
        },
      },
    });
  }

  function checkShedOrder(tier: number, reason: Refusal, nowMs: number): void {
    // Too late with a free slot at hand: lower tiers hold nothing that could have helped.
    invariants.check(
      'slot_at_hand_when_too_late',
      reason !== REFUSAL.TooLate || table.countUsable(nowMs) > 0,
      () => `${shard}: tier ${tier} refused as too late without a free slot`,
    );
    invariants.check(
      'tier_order_at_shed',
      reason === REFUSAL.TooLate ||
        countPreemptibleBelow(tier) <= Math.max(1, countWaitingAtOrAbove(tier)),
      () => `${shard}: tier ${tier} shed while lower tiers hold contest slots nobody waits for`,
    );
    invariants.check(
      'tier_order_in_queue',
      reason !== REFUSAL.Shed || countContestWaitingBelow(tier) === 0,
      () =>
        `${shard}: tier ${tier} shed from a full queue in which lower tiers hold contest places`,
    );
  }

  function removeTicket(ticketId: string): Ticket | undefined {
    const className = classOfTicket.get(ticketId);
    const state = className === undefined ? undefined : classes.get(className);
    if (state === undefined) return undefined;
    classOfTicket.delete(ticketId);
    const ticket = state.queue.remove(ticketId);
    if (state.queue.count() === 0) state.unservedSinceMs = undefined;
    return ticket;
  }

  function refuseWaiting(ticket: Ticket, reason: Refusal, nowMs: number): void {
    const state = classes.get(ticket.className);
    const retryAfterMs = state === undefined ? RETRY_AFTER_MIN_MS : computeRetryAfter(state, nowMs);
    removeTicket(ticket.ticketId);
    totals.shed += 1;
    checkShedOrder(ticket.tier, reason, nowMs);
    postRefusal(ticket.from, ticket.ticketId, reason, retryAfterMs);
  }

  /**
   * The ticket a full queue gives up: of the lowest tier that has more than its floor's places, from
   * who queues most. Without such places a long burst of a high tier would push every low ticket
   * out before its floor's slot comes: the class would starve with its floor intact.
   */
  function findVictim(): Ticket | undefined {
    const lowest = listByTier()
      .reverse()
      .find((state) => state.queue.count() > countReserved(state));
    return lowest?.queue.findMostQueued();
  }

  /** Whether an answer that starts now may well not be whole before its deadline. */
  function isTooLate(ticket: Ticket, state: ClassState, startsMs: number): boolean {
    const holdMs = state.credit.getLongHold() * (ticket.isResumed ? RESUMED_HOLD_SHARE : 1);
    return startsMs + holdMs > ticket.expiresMs;
  }

  /**
   * Tickets of its class that go before an organisation's next one by fair turns: for each of its own
   * that waits, one of every other organisation; not the whole queue of whoever floods it.
   */
  function countAhead(organisation: string, state: ClassState): number {
    const own = state.queue.countOf(organisation);
    const turns = own * Math.max(1, state.queue.countOrganisations()) + 1;
    return Math.min(state.queue.count(), turns);
  }

  function isUnreachable(ticket: Ticket, state: ClassState, nowMs: number): boolean {
    const aheadAndMe = countWaitingAtOrAbove(ticket.tier) + 1;
    if (countPreemptibleBelow(ticket.tier) >= aheadAndMe) return false;
    const ahead = ticket.isResumed ? 0 : countAhead(ticket.organisation, state);
    // Where nobody waits a try costs nobody anything, and shows whether the estimate still holds.
    if (ahead === 0) return false;
    return isTooLate(ticket, state, nowMs + predictWait(state, ahead, nowMs));
  }

  function grantTicket(
    state: ClassState,
    ticket: Ticket,
    isFloor: boolean,
    nowMs: number,
  ): boolean {
    const cached = prefixes.find(ticket.organisation, ticket.prefixHash);
    const endpoint = table.choose(ticket, cached, nowMs);
    if (endpoint === undefined) return false;
    removeTicket(ticket.ticketId);
    state.unservedSinceMs = state.queue.count() > 0 ? nowMs : undefined;
    state.departures.record(nowMs);
    state.queue.record(ticket.organisation, ticket.expectedTokens);
    prefixes.record(ticket.organisation, ticket.prefixHash, endpoint);
    table.take(endpoint);
    if (isFloor) state.credit.take();
    else state.contestHeld += 1;
    grants.set(ticket.ticketId, {
      ticketId: ticket.ticketId,
      from: ticket.from,
      endpoint,
      className: ticket.className,
      tier: ticket.tier,
      organisation: ticket.organisation,
      isFloor,
      preemptible: ticket.preemptible,
      chargedTokens: ticket.expectedTokens,
      grantedMs: nowMs,
      expiresMs: ticket.expiresMs,
      isResumed: ticket.isResumed,
      seenMs: nowMs,
      preemptedMs: undefined,
    });
    totals.granted += 1;
    if (isFloor) totals.floorGranted += 1;
    outbox.push({
      to: ticket.from,
      body: {
        case: 'grantSlot',
        value: {
          $typeName: 'hyssoptally.peer.v1.GrantSlot',
          ticketId: ticket.ticketId,
          shard,
          endpoint,
          floor: isFloor,
        },
      },
    });
    return true;
  }

  function findDueFloor(ordered: readonly ClassState[]): ClassState | undefined {
    if (!hasFloors) return undefined;
    return ordered.find((state) => state.queue.count() > 0 && state.credit.isDue());
  }

  function grantNext(nowMs: number): boolean {
    const ordered = listByTier();
    const due = findDueFloor(ordered);
    const state = due ?? ordered.find((candidate) => candidate.queue.count() > 0);
    const ticket = state?.queue.find();
    if (state === undefined || ticket === undefined) return false;
    if (state.queue.count() > 1 && isTooLate(ticket, state, nowMs)) {
      // Others of its class wait who can still be in time: the slot is theirs, and this caller
      // hears at once instead of being cut off half way.
      refuseWaiting(ticket, REFUSAL.TooLate, nowMs);
      return true;
    }
    if (due === undefined) {
      invariants.check(
        'contest_by_tier',
        countWaitingAtOrAbove(ticket.tier - 1) === 0,
        () => `${shard}: contest slot for tier ${ticket.tier} while a higher tier waits`,
      );
    }
    return grantTicket(state, ticket, due !== undefined, nowMs);
  }

  function grantFreeSlots(nowMs: number): void {
    if (nowMs < grantsFromMs) return;
    while (countWaiting() > 0 && table.countUsable(nowMs) > 0 && grantNext(nowMs));
  }

  /** Whether an answer taken back now still has time to wait, resume and end. */
  function isResumable(grant: Grant, nowMs: number): boolean {
    const holdMs = classes.get(grant.className)?.credit.getLongHold() ?? 0;
    return grant.expiresMs - nowMs > holdMs * RESUMABLE_HOLDS;
  }

  /** Lowest tier first, then whoever can still end in time after a break, then who began last. */
  function compareVictims(a: Grant, b: Grant, nowMs: number): number {
    const resumable = Number(isResumable(b, nowMs)) - Number(isResumable(a, nowMs));
    return b.tier - a.tier || resumable || b.grantedMs - a.grantedMs;
  }

  function countImpatient(state: ClassState, nowMs: number): number {
    const patienceMs = state.declaration.firstTokenMs * PREEMPT_PATIENCE;
    return state.queue.list().filter((ticket) => {
      const waitedMs = nowMs - ticket.postedMs + ticket.waitedMs;
      const isPatient = waitedMs < patienceMs * (ticket.isFirst ? 1 : PREEMPT_LATER_FACTOR);
      return !isPatient || nowMs >= ticket.expiresMs;
    }).length;
  }

  function preemptForWaiting(nowMs: number): void {
    if (!hasPreemption || nowMs < grantsFromMs || countWaiting() === 0) return;
    const isPending = (grant: Grant): boolean =>
      grant.preemptedMs !== undefined && nowMs - grant.preemptedMs < PREEMPT_RETRY_MS;
    let pending = [...grants.values()].filter(isPending).length;
    for (const state of listByTier()) {
      const { tier } = state.declaration;
      const wanted = countImpatient(state, nowMs) - pending;
      const victims = [...grants.values()]
        .filter(
          (grant) => grant.tier > tier && !grant.isFloor && grant.preemptible && !isPending(grant),
        )
        .sort((a, b) => compareVictims(a, b, nowMs))
        .slice(0, Math.max(0, wanted));
      for (const victim of victims) {
        victim.preemptedMs = nowMs;
        totals.preempted += 1;
        outbox.push({
          to: victim.from,
          body: {
            case: 'preemptSlot',
            value: {
              $typeName: 'hyssoptally.peer.v1.PreemptSlot',
              ticketId: victim.ticketId,
              shard,
            },
          },
        });
      }
      pending = Math.max(0, pending + victims.length - state.queue.count());
    }
  }

  function refuseExpired(nowMs: number): void {
    for (const state of classes.values()) {
      for (const ticket of state.queue.list()) {
        if (nowMs >= ticket.expiresMs) refuseWaiting(ticket, REFUSAL.Expired, nowMs);
      }
    }
  }

  function advanceCredits(nowMs: number): void {
    const elapsedMs = nowMs - (advancedMs ?? nowMs);
    advancedMs = nowMs;
    const slots = table.countSlots();
    for (const state of classes.values()) {
      if (state.queue.count() > 0) {
        const floorSlots = state.declaration.floor * slots;
        state.credit.advance(elapsedMs, floorSlots, state.contestHeld);
        const unservedMs = nowMs - (state.unservedSinceMs ?? nowMs);
        totals.longestUnservedMs = Math.max(totals.longestUnservedMs, unservedMs);
      }
    }
  }

  function handlePost(from: string, post: PostTicket, nowMs: number): void {
    const state = classes.get(post.className);
    if (state === undefined) {
      postRefusal(from, post.ticketId, REFUSAL.UnknownClass, RETRY_AFTER_MIN_MS);
      return;
    }
    if (classOfTicket.has(post.ticketId) || grants.has(post.ticketId)) return;
    const ticket: Ticket = {
      ticketId: post.ticketId,
      from,
      className: post.className,
      tier: state.declaration.tier,
      organisation: post.organisation,
      weight: resolveWeight(post.organisation),
      expectedTokens: post.expectedTokens,
      postedMs: nowMs,
      waitedMs: post.waitedMs,
      expiresMs: nowMs + post.remainingMs,
      prefixHash: post.prefixHash,
      preemptible: post.preemptible,
      excluded: post.excludedEndpoints,
      isResumed: post.resumed,
      isFirst: post.first,
    };
    const isUnreachableNow = isUnreachable(ticket, state, nowMs);
    state.unservedSinceMs ??= nowMs;
    state.queue.add(ticket);
    classOfTicket.set(ticket.ticketId, ticket.className);
    if (isUnreachableNow) refuseWaiting(ticket, REFUSAL.DeadlineUnreachable, nowMs);
    const victim = countWaiting() > computeQueueCapacity() ? findVictim() : undefined;
    if (victim !== undefined) refuseWaiting(victim, REFUSAL.Shed, nowMs);
  }

  function handleRelease(release: ReleaseSlot, nowMs: number): void {
    const grant = grants.get(release.ticketId);
    if (grant === undefined) return;
    grants.delete(release.ticketId);
    table.release(grant.endpoint);
    const state = classes.get(grant.className);
    if (state !== undefined) {
      if (!grant.isFloor) state.contestHeld = Math.max(0, state.contestHeld - 1);
      if (release.ending === SlotEnding.UNUSED) {
        if (grant.isFloor) state.credit.record(0, true, false);
      } else {
        const isWhole = release.ending === SlotEnding.COMPLETED && !grant.isResumed;
        state.credit.record(nowMs - grant.grantedMs, grant.isFloor, isWhole);
      }
      state.queue.record(grant.organisation, release.tokens - grant.chargedTokens);
    }
    if (release.stepMs > 0) table.recordStep(grant.endpoint, release.stepMs, nowMs);
    if (release.ending === SlotEnding.COMPLETED) table.recordSuccess(grant.endpoint);
    if (FAILED_ENDINGS.includes(release.ending)) table.recordFailure(grant.endpoint, nowMs);
    if (release.ending === SlotEnding.LEAVING) table.setLeaving(grant.endpoint, true);
  }

  function handleReturned(grant: Grant, nowMs: number): void {
    handleRelease(
      {
        $typeName: 'hyssoptally.peer.v1.ReleaseSlot',
        ticketId: grant.ticketId,
        shard,
        endpoint: grant.endpoint,
        tokens: grant.chargedTokens,
        stepMs: 0,
        firstTokenMs: 0,
        ending: SlotEnding.UNUSED,
      },
      nowMs,
    );
  }

  function handleHoldings(from: string, held: readonly HeldSlot[], nowMs: number): void {
    const reported = new Set<string>();
    for (const slot of held) {
      reported.add(slot.ticketId);
      table.recordStep(slot.endpoint, slot.stepMs, nowMs);
      const grant = grants.get(slot.ticketId);
      const state = classes.get(slot.className);
      if (grant !== undefined) {
        grant.seenMs = nowMs;
      } else if (state !== undefined) {
        // Granted by an earlier owner of this shard: counted, or the slot would be granted twice.
        table.take(slot.endpoint);
        if (!slot.floor) state.contestHeld += 1;
        grants.set(slot.ticketId, {
          ticketId: slot.ticketId,
          from,
          endpoint: slot.endpoint,
          className: slot.className,
          tier: state.declaration.tier,
          organisation: slot.organisation,
          isFloor: slot.floor,
          preemptible: slot.preemptible,
          chargedTokens: 0,
          grantedMs: nowMs,
          expiresMs: Infinity,
          // When it began is not known here, so its length must teach nothing.
          isResumed: true,
          seenMs: nowMs,
          preemptedMs: undefined,
        });
      }
    }
    for (const grant of grants.values()) {
      const isLost = grant.from === from && !reported.has(grant.ticketId);
      // The release was lost on the way: without this the slot would stay taken for good.
      if (isLost && nowMs - grant.seenMs > HOLD_GRACE_MS) handleReturned(grant, nowMs);
    }
  }

  function handleMemberGone(member: string, nowMs: number): void {
    for (const state of classes.values()) {
      for (const ticket of state.queue.list()) {
        if (ticket.from === member) removeTicket(ticket.ticketId);
      }
    }
    for (const grant of grants.values()) {
      if (grant.from === member) handleReturned(grant, nowMs);
    }
  }

  function handleConfigure(message: Extract<OwnerMessage, { kind: 'configure' }>, nowMs: number) {
    resolveWeight = message.weights;
    table.set(message.endpoints, nowMs);
    for (const [name, declaration] of message.classes) {
      const known = classes.get(name);
      if (known === undefined) {
        classes.set(name, {
          declaration,
          queue: createClassQueue(),
          credit: createFloorCredit(),
          departures: createDepartureRate(),
          contestHeld: 0,
          unservedSinceMs: undefined,
        });
      } else {
        known.declaration = declaration;
      }
    }
    for (const [name, state] of classes) {
      if (!message.classes.has(name)) {
        for (const ticket of state.queue.list()) {
          removeTicket(ticket.ticketId);
          postRefusal(ticket.from, ticket.ticketId, REFUSAL.UnknownClass, RETRY_AFTER_MIN_MS);
        }
        classes.delete(name);
      }
    }
  }

  function handleWithdraw(ticketId: string, nowMs: number): void {
    const className = classOfTicket.get(ticketId);
    if (className === undefined) return;
    removeTicket(ticketId);
    classes.get(className)?.departures.record(nowMs);
  }

  function applyMessage(message: OwnerMessage, nowMs: number): void {
    switch (message.kind) {
      case 'configure':
        handleConfigure(message, nowMs);
        break;
      case 'post':
        handlePost(message.from, message.ticket, nowMs);
        break;
      case 'withdraw':
        handleWithdraw(message.ticketId, nowMs);
        break;
      case 'release':
        handleRelease(message.release, nowMs);
        break;
      case 'holdings':
        handleHoldings(message.from, message.held, nowMs);
        break;
      case 'member_gone':
        handleMemberGone(message.member, nowMs);
        break;
      case 'endpoint_leaving':
        table.setLeaving(message.endpoint, message.isLeaving);
        break;
      case 'endpoint_seen':
        table.recordSeen(message.endpoint, message.isReachable);
        break;
      case 'cut_off':
        table.setCutOff(message.dataCentres);
        break;
      case 'tick':
        preemptForWaiting(nowMs);
        refuseExpired(nowMs);
        break;
      default:
        assertNever(message);
    }
  }

  return {
    handle(message, nowMs) {
      outbox = [];
      advanceCredits(nowMs);
      applyMessage(message, nowMs);
      grantFreeSlots(nowMs);
      return outbox;
    },
    list: () => ({
      shard,
      endpoints: table.list(),
      waiting: Object.fromEntries(
        [...classes].map(([name, state]) => [name, state.queue.count()] as const),
      ),
      ...totals,
    }),
  };
}
