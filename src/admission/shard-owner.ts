/**
 * Admission for one shard, a group of endpoints of one pool: queues tickets and grants free slots, so
 * that tiers and fair shares hold across instances.
 *
 * A grant is either a priority grant, strictly by tier, or a floor grant, paid from the class's credit.
 * Names of invariants call priority grants *contest*. A ticket of tier h is shed only if
 * (1) the queue was full, and no lower tier queued more tickets than its floor reserves;
 * (2) fewer preemptible priority slots of lower tiers remain than tickets of tier h or above wait, or a
 *     preemption was requested for each of these tickets;
 * (3) or a slot was free, but the ticket would have missed its deadline with it.
 * Floor grants and reserved queue places are exempt from tier order. Invariants check this at each shed.
 *
 * State is kept in memory only: a new owner rebuilds it from the tickets and held slots that instances
 * report. Two concurrent owners may grant too many slots for a short time; the endpoints then queue the
 * excess by priority.
 */
import type { HeldSlot, PostTicket, ReleaseSlot } from '../gen/peer_pb.js';
import { SlotEnding } from '../gen/peer_pb.js';
import { createEndpointTable } from '../routing/endpoint-table.js';
import { createPrefixIndex } from '../routing/prefix-index.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import { assertNever } from '../utils/assert-never.js';
import type { OwnerMessage, ShardOwner, ShardOwnerOptions } from './owner-messages.js';
import { buildGrant, buildPreemption, buildRefusal } from './owner-replies.js';
import { chooseVictims } from './preemption.js';
import { createShardState } from './shard-state.js';
import type { ClassState, Grant } from './shard-state.js';
import { REFUSAL } from './ticket.js';
import type { Refusal, Ticket } from './ticket.js';
import {
  RETRY_AFTER_MIN_MS,
  computeRetryAfter,
  countAhead,
  isDeadlineSafe,
  isLikelyLate,
  predictWait,
} from './wait-prediction.js';

const QUEUE_PLACES_PER_SLOT = 8;
const QUEUE_PLACES_MIN = 32;
/** Frees a slot whose release message was lost. */
const UNREPORTED_GRANT_TIMEOUT_MS = 2500;
const ENDPOINT_FAILURE_ENDINGS: readonly SlotEnding[] = [SlotEnding.FAILED, SlotEnding.STALLED];

/** Creates an owner without classes or endpoints; both arrive in a `configure` message. */
export function createShardOwner(options: ShardOwnerOptions): ShardOwner {
  const { shard, random, invariants } = options;
  const { grantsFromMs = 0, hasFloors = true, hasPreemption = true } = options;
  const shardState = createShardState();
  const { classes, grants } = shardState;
  const table = createEndpointTable(random);
  const prefixes = createPrefixIndex();
  let resolveWeight: (organisation: string) => number = () => 1;
  let creditsAdvancedMs: number | undefined;
  const totals = { granted: 0, floorGranted: 0, shed: 0, preempted: 0, longestUnservedMs: 0 };
  let outbox: AddressedMessage[] = [];

  function countPreemptibleBelow(tier: number): number {
    return hasPreemption ? shardState.countPreemptibleBelow(tier) : 0;
  }

  function computeQueueCapacity(): number {
    return Math.max(QUEUE_PLACES_MIN, table.countSlots() * QUEUE_PLACES_PER_SLOT);
  }

  /** Queue places that the class's floor reserves. */
  function countReservedPlaces(classState: ClassState): number {
    return hasFloors ? Math.ceil(classState.declaration.floor * computeQueueCapacity()) : 0;
  }

  /** Tickets of lower tiers queued beyond the places that their floors reserve. */
  function countUnreservedWaitingBelow(tier: number): number {
    let waiting = 0;
    for (const classState of classes.values()) {
      const isBelow = classState.declaration.tier > tier;
      if (isBelow)
        waiting += Math.max(0, classState.queue.count() - countReservedPlaces(classState));
    }
    return waiting;
  }

  function checkShedOrder(tier: number, reason: Refusal, nowMs: number): void {
    // A free slot means that no slot held by a lower tier could have helped.
    invariants.check(
      'slot_at_hand_when_too_late',
      reason !== REFUSAL.TooLate || table.countFreeSlots(nowMs) > 0,
      () => `${shard}: tier ${tier} refused as too late without a free slot`,
    );
    const slotsWanted = shardState.countWaitingAtOrAbove(tier) + 1;
    invariants.check(
      'tier_order_at_shed',
      reason === REFUSAL.TooLate ||
        countPreemptibleBelow(tier) < slotsWanted ||
        shardState.countPreempted() >= slotsWanted,
      () => `${shard}: tier ${tier} shed while lower tiers hold contest slots nobody waits for`,
    );
    invariants.check(
      'tier_order_in_queue',
      reason !== REFUSAL.Shed || countUnreservedWaitingBelow(tier) === 0,
      () =>
        `${shard}: tier ${tier} shed from a full queue in which lower tiers hold contest places`,
    );
  }

  function refuseWaiting(ticket: Ticket, reason: Refusal, nowMs: number): void {
    const classState = shardState.findClassOf(ticket.ticketId);
    const retryAfterMs =
      classState === undefined
        ? RETRY_AFTER_MIN_MS
        : computeRetryAfter(classState, table.countSlots(), random, nowMs) +
          Math.round(table.computeRestLeft(nowMs));
    shardState.removeTicket(ticket.ticketId);
    totals.shed += 1;
    checkShedOrder(ticket.tier, reason, nowMs);
    outbox.push(buildRefusal(ticket.from, shard, ticket.ticketId, reason, retryAfterMs));
  }

  /**
   * The ticket that a full queue sheds: from the lowest tier that uses more than its reserved places.
   * Guards against starvation when a burst of a high tier evicts low tickets before their floor grants.
   */
  function findTicketToShed(): Ticket | undefined {
    const lowestTier = shardState
      .listByTier()
      .reverse()
      .find((classState) => classState.queue.count() > countReservedPlaces(classState));
    return lowestTier?.queue.findShedCandidate();
  }

  function isDeadlineUnreachable(ticket: Ticket, classState: ClassState, nowMs: number): boolean {
    const slotsWanted = shardState.countWaitingAtOrAbove(ticket.tier) + 1;
    if (countPreemptibleBelow(ticket.tier) >= slotsWanted) return false;
    const restLeftMs = table.computeRestLeft(nowMs);
    if (restLeftMs > 0 && isLikelyLate(ticket, classState, nowMs + restLeftMs)) return true;
    const ticketsAhead = countAhead(ticket, classState);
    // Without a ticket ahead it is queued regardless, so that new samples correct the estimate.
    if (ticketsAhead === 0) return false;
    return isLikelyLate(
      ticket,
      classState,
      nowMs + predictWait(classState, ticketsAhead, table.countSlots(), nowMs),
    );
  }

  function grantTicket(
    classState: ClassState,
    ticket: Ticket,
    isFloor: boolean,
    nowMs: number,
  ): boolean {
    const { ticketId, from, className, tier, organisation, weight, preemptible } = ticket;
    const cached = prefixes.find(organisation, ticket.prefixHash);
    const endpoint = table.choose(ticket, cached, nowMs);
    if (endpoint === undefined) return false;
    shardState.removeTicket(ticketId);
    classState.unservedSinceMs = classState.queue.count() > 0 ? nowMs : undefined;
    classState.departures.record(nowMs);
    classState.queue.addTokens(organisation, ticket.expectedTokens / weight);
    prefixes.record(organisation, ticket.prefixHash, endpoint);
    table.take(endpoint);
    if (isFloor) classState.credit.take();
    else classState.priorityHeld += 1;
    grants.set(ticketId, {
      ticketId,
      from,
      endpoint,
      className,
      tier,
      organisation,
      weight,
      isFloor,
      preemptible,
      chargedTokens: ticket.expectedTokens,
      grantedMs: nowMs,
      expiresMs: ticket.expiresMs,
      isResumed: ticket.isResumed,
      reportedMs: nowMs,
      preemptedMs: undefined,
    });
    totals.granted += 1;
    if (isFloor) totals.floorGranted += 1;
    outbox.push(buildGrant(from, shard, ticketId, endpoint, isFloor));
    return true;
  }

  function findDueFloor(ordered: readonly ClassState[]): ClassState | undefined {
    if (!hasFloors) return undefined;
    return ordered.find((classState) => classState.queue.count() > 0 && classState.credit.isDue());
  }

  function grantNext(nowMs: number): boolean {
    const ordered = shardState.listByTier();
    const dueFloor = findDueFloor(ordered);
    const classState = dueFloor ?? ordered.find((candidate) => candidate.queue.count() > 0);
    const ticket = classState?.queue.findNext((waiting) =>
      isDeadlineSafe(waiting, classState, nowMs),
    );
    if (classState === undefined || ticket === undefined) return false;
    if (classState.queue.count() > 1 && isLikelyLate(ticket, classState, nowMs)) {
      // Refuse now, instead of interrupting the response at its deadline.
      refuseWaiting(ticket, REFUSAL.TooLate, nowMs);
      return true;
    }
    if (dueFloor === undefined) {
      invariants.check(
        'contest_by_tier',
        shardState.countWaitingAtOrAbove(ticket.tier - 1) === 0,
        () => `${shard}: contest slot for tier ${ticket.tier} while a higher tier waits`,
      );
    }
    return grantTicket(classState, ticket, dueFloor !== undefined, nowMs);
  }

  function grantFreeSlots(nowMs: number): void {
    if (nowMs < grantsFromMs) return;
    while (shardState.countWaiting() > 0 && table.countFreeSlots(nowMs) > 0 && grantNext(nowMs));
  }

  function preemptForWaiting(nowMs: number): void {
    if (!hasPreemption || nowMs < grantsFromMs) return;
    for (const victim of chooseVictims(shardState, nowMs)) {
      totals.preempted += 1;
      outbox.push(buildPreemption(victim.from, shard, victim.ticketId));
    }
  }

  function refuseExpired(nowMs: number): void {
    for (const classState of classes.values()) {
      for (const ticket of classState.queue.list()) {
        if (nowMs >= ticket.expiresMs) refuseWaiting(ticket, REFUSAL.Expired, nowMs);
      }
    }
  }

  function advanceCredits(nowMs: number): void {
    const elapsedMs = nowMs - (creditsAdvancedMs ?? nowMs);
    creditsAdvancedMs = nowMs;
    const slots = table.countSlots();
    for (const classState of classes.values()) {
      if (classState.queue.count() > 0) {
        classState.credit.advance(
          elapsedMs,
          classState.declaration.floor * slots,
          classState.priorityHeld,
        );
        const unservedMs = nowMs - (classState.unservedSinceMs ?? nowMs);
        totals.longestUnservedMs = Math.max(totals.longestUnservedMs, unservedMs);
      }
    }
  }

  function buildTicket(
    from: string,
    post: PostTicket,
    classState: ClassState,
    nowMs: number,
  ): Ticket {
    return {
      ticketId: post.ticketId,
      from,
      className: post.className,
      tier: classState.declaration.tier,
      organisation: post.organisation,
      weight: resolveWeight(post.organisation),
      expectedTokens: post.expectedTokens,
      postedMs: nowMs,
      waitedMs: post.waitedMs,
      expiresMs: nowMs + post.remainingMs,
      prefixHash: post.prefixHash,
      preemptible: post.preemptible,
      excludedEndpoints: post.excludedEndpoints,
      isResumed: post.resumed,
      isPrimaryShard: post.first,
    };
  }

  function handlePost(from: string, post: PostTicket, nowMs: number): void {
    const classState = classes.get(post.className);
    if (classState === undefined) {
      const { ticketId } = post;
      outbox.push(buildRefusal(from, shard, ticketId, REFUSAL.UnknownClass, RETRY_AFTER_MIN_MS));
      return;
    }
    // Reposted: the reply was lost, or the client saw a change of owner.
    if (shardState.hasTicket(post.ticketId) || grants.has(post.ticketId)) return;
    const ticket = buildTicket(from, post, classState, nowMs);
    const isRefusedOnArrival = isDeadlineUnreachable(ticket, classState, nowMs);
    shardState.addTicket(ticket, classState, nowMs);
    if (isRefusedOnArrival) refuseWaiting(ticket, REFUSAL.DeadlineUnreachable, nowMs);
    const victim =
      shardState.countWaiting() > computeQueueCapacity() ? findTicketToShed() : undefined;
    if (victim !== undefined) refuseWaiting(victim, REFUSAL.Shed, nowMs);
  }

  function recordRelease(grant: Grant, release: ReleaseSlot, nowMs: number): void {
    const classState = classes.get(grant.className);
    if (classState === undefined) return;
    if (!grant.isFloor) classState.priorityHeld = Math.max(0, classState.priorityHeld - 1);
    classState.queue.addTokens(
      grant.organisation,
      (release.tokens - grant.chargedTokens) / grant.weight,
    );
    const isUnused = release.ending === SlotEnding.UNUSED;
    const isComplete = release.ending === SlotEnding.COMPLETED && !grant.isResumed;
    // An unused slot is refunded and left out of the statistics.
    if (!isUnused) classState.credit.record(nowMs - grant.grantedMs, grant.isFloor, isComplete);
    else if (grant.isFloor) classState.credit.record(0, true, false);
  }

  function handleRelease(release: ReleaseSlot, nowMs: number): void {
    const grant = grants.get(release.ticketId);
    if (grant === undefined) return;
    grants.delete(release.ticketId);
    table.release(grant.endpoint);
    recordRelease(grant, release, nowMs);
    if (release.stepMs > 0) table.recordStep(grant.endpoint, release.stepMs, nowMs);
    if (release.ending === SlotEnding.COMPLETED) table.recordSuccess(grant.endpoint);
    if (ENDPOINT_FAILURE_ENDINGS.includes(release.ending))
      table.recordFailure(grant.endpoint, nowMs);
    if (release.ending === SlotEnding.LEAVING) table.setLeaving(grant.endpoint, true);
    if (release.restMs > 0) table.recordRest(grant.endpoint, release.restMs, nowMs);
  }

  function releaseUnused(grant: Grant, nowMs: number): void {
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
        restMs: 0,
      },
      nowMs,
    );
  }

  /** Adopts a slot granted by a previous owner, so that it is not granted twice. */
  function addReportedGrant(
    from: string,
    slot: HeldSlot,
    classState: ClassState,
    nowMs: number,
  ): void {
    table.take(slot.endpoint);
    if (!slot.floor) classState.priorityHeld += 1;
    grants.set(slot.ticketId, {
      ticketId: slot.ticketId,
      from,
      endpoint: slot.endpoint,
      className: slot.className,
      tier: classState.declaration.tier,
      organisation: slot.organisation,
      weight: resolveWeight(slot.organisation),
      isFloor: slot.floor,
      preemptible: slot.preemptible,
      chargedTokens: 0,
      grantedMs: nowMs,
      expiresMs: Infinity,
      // Its start is unknown, so its hold time must not count as that of a complete response.
      isResumed: true,
      reportedMs: nowMs,
      preemptedMs: undefined,
    });
  }

  function handleHoldings(from: string, held: readonly HeldSlot[], nowMs: number): void {
    const reported = new Set<string>();
    for (const slot of held) {
      reported.add(slot.ticketId);
      table.recordStep(slot.endpoint, slot.stepMs, nowMs);
      const grant = grants.get(slot.ticketId);
      const classState = classes.get(slot.className);
      if (grant !== undefined) grant.reportedMs = nowMs;
      else if (classState !== undefined) addReportedGrant(from, slot, classState, nowMs);
    }
    for (const grant of grants.values()) {
      const isUnreported = grant.from === from && !reported.has(grant.ticketId);
      if (isUnreported && nowMs - grant.reportedMs > UNREPORTED_GRANT_TIMEOUT_MS)
        releaseUnused(grant, nowMs);
    }
  }

  function handleMemberGone(member: string, nowMs: number): void {
    for (const classState of classes.values()) {
      for (const ticket of classState.queue.list()) {
        if (ticket.from === member) shardState.removeTicket(ticket.ticketId);
      }
    }
    for (const grant of grants.values()) {
      if (grant.from === member) releaseUnused(grant, nowMs);
    }
  }

  function handleConfigure(
    message: Extract<OwnerMessage, { kind: 'configure' }>,
    nowMs: number,
  ): void {
    resolveWeight = message.weights;
    table.set(message.endpoints, nowMs);
    for (const { from, ticketId } of shardState.setClasses(message.classes)) {
      outbox.push(buildRefusal(from, shard, ticketId, REFUSAL.UnknownClass, RETRY_AFTER_MIN_MS));
    }
  }

  function handleWithdraw(ticketId: string, nowMs: number): void {
    // Tickets granted elsewhere or cancelled also count as departures.
    shardState.findClassOf(ticketId)?.departures.record(nowMs);
    shardState.removeTicket(ticketId);
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
        table.recordProbe(message.endpoint, message.isReachable);
        break;
      case 'cut_off':
        table.setPartitioned(message.dataCentres);
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
    getView: () => ({
      shard,
      endpoints: table.list(creditsAdvancedMs ?? 0),
      waiting: Object.fromEntries(
        [...classes].map(([name, classState]) => [name, classState.queue.count()] as const),
      ),
      ...totals,
    }),
  };
}
