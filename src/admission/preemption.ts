/** Selects running responses to preempt for waiting requests of higher tiers. */
import type { ClassState, Grant, ShardState } from './shard-state.js';

/** Share of its first-token target that a ticket waits before it may preempt. */
const PREEMPTION_WAIT_SHARE = 0.12;
/** Lets the primary shard's owner preempt first. */
const SECONDARY_SHARD_WAIT_FACTOR = 2.5;
/** An unanswered preemption is requested again after this time. */
const PREEMPTION_RETRY_MS = 1000;
/** Time that a preempted response needs to wait, resume and finish, in tail hold times. */
const RESUMABLE_HOLDS_MIN = 1.5;

function countPreemptionDue(classState: ClassState, nowMs: number): number {
  const thresholdMs = classState.declaration.firstTokenMs * PREEMPTION_WAIT_SHARE;
  return classState.queue.list().filter((ticket) => {
    const waitedMs = nowMs - ticket.postedMs + ticket.waitedMs;
    const isBelowThreshold =
      waitedMs < thresholdMs * (ticket.isPrimaryShard ? 1 : SECONDARY_SHARD_WAIT_FACTOR);
    return !isBelowThreshold || nowMs >= ticket.expiresMs;
  }).length;
}

function isPreemptionPending(grant: Grant, nowMs: number): boolean {
  return grant.preemptedMs !== undefined && nowMs - grant.preemptedMs < PREEMPTION_RETRY_MS;
}

/** Whether a response preempted now can still finish before its deadline. */
function isResumable(shardState: ShardState, grant: Grant, nowMs: number): boolean {
  const holdMs = shardState.classes.get(grant.className)?.credit.getTailHoldMs() ?? 0;
  return grant.expiresMs - nowMs > holdMs * RESUMABLE_HOLDS_MIN;
}

/** Grants that `tier` may preempt: lowest tier first, then resumable ones, then the newest. */
function listVictims(shardState: ShardState, tier: number, nowMs: number): Grant[] {
  const preemptible = [...shardState.grants.values()].filter(
    (grant) =>
      grant.tier > tier &&
      !grant.isFloor &&
      grant.preemptible &&
      !isPreemptionPending(grant, nowMs),
  );
  return preemptible.sort(
    (a, b) =>
      b.tier - a.tier ||
      Number(isResumable(shardState, b, nowMs)) - Number(isResumable(shardState, a, nowMs)) ||
      b.grantedMs - a.grantedMs,
  );
}

/** Selects one grant for each ticket that has waited past its threshold, and marks it preempted. */
export function chooseVictims(shardState: ShardState, nowMs: number): Grant[] {
  if (shardState.countWaiting() === 0) return [];
  const chosen: Grant[] = [];
  let pendingSlots = [...shardState.grants.values()].filter((grant) =>
    isPreemptionPending(grant, nowMs),
  ).length;
  for (const classState of shardState.listByTier()) {
    const wanted = Math.max(0, countPreemptionDue(classState, nowMs) - pendingSlots);
    const victims = listVictims(shardState, classState.declaration.tier, nowMs).slice(0, wanted);
    for (const victim of victims) victim.preemptedMs = nowMs;
    chosen.push(...victims);
    // Slots being preempted serve this tier's tickets first; the surplus serves lower tiers.
    pendingSlots = Math.max(0, pendingSlots + victims.length - classState.queue.count());
  }
  return chosen;
}
