/** Chooses which running answers give their slots back to waiting requests of higher tiers. */
import type { ClassState, Grant, ShardState } from './shard-state.js';

/** Part of its first-token target a ticket waits before it may preempt. */
const PREEMPTION_WAIT_SHARE = 0.12;
/** A ticket that asked another shard first waits this many times longer: that owner goes first. */
const SECONDARY_SHARD_WAIT_FACTOR = 2.5;
/** A slot that was asked back and not given back after this long may be asked again. */
const PREEMPTION_RETRY_MS = 1000;
/** Long holds that must be left for a preempted answer to wait, resume and end in time. */
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

/** Whether an answer taken back now still has time to wait, resume and end. */
function isResumable(shardState: ShardState, grant: Grant, nowMs: number): boolean {
  const holdMs = shardState.classes.get(grant.className)?.credit.getTailHoldMs() ?? 0;
  return grant.expiresMs - nowMs > holdMs * RESUMABLE_HOLDS_MIN;
}

/** Grants that tier may take back: lowest tier first, then the resumable, then the latest begun. */
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

/** The grants to ask back now: one for each waiting request that has lost patience, none twice. */
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
    // Slots on their way serve this tier's tickets first; what is left serves the next one's.
    pendingSlots = Math.max(0, pendingSlots + victims.length - classState.queue.count());
  }
  return chosen;
}
