/** Chooses which running answers give their slots back to waiting requests of higher tiers. */
import type { ClassState, Grant, ShardState } from './shard-state.js';

/** Part of its first-token target a ticket waits before it may preempt. */
const PATIENCE = 0.12;
/** A ticket that asked another shard first waits this many times longer: that owner goes first. */
const LATER_FACTOR = 2.5;
/** A slot that was asked back and not given back after this long may be asked again. */
const RETRY_MS = 1000;
/** Long holds that must be left for a preempted answer to wait, resume and end in time. */
const RESUMABLE_HOLDS = 1.5;

function countImpatient(state: ClassState, nowMs: number): number {
  const patienceMs = state.declaration.firstTokenMs * PATIENCE;
  return state.queue.list().filter((ticket) => {
    const waitedMs = nowMs - ticket.postedMs + ticket.waitedMs;
    const isPatient = waitedMs < patienceMs * (ticket.isFirst ? 1 : LATER_FACTOR);
    return !isPatient || nowMs >= ticket.expiresMs;
  }).length;
}

function isPending(grant: Grant, nowMs: number): boolean {
  return grant.preemptedMs !== undefined && nowMs - grant.preemptedMs < RETRY_MS;
}

/** Whether an answer taken back now still has time to wait, resume and end. */
function isResumable(shard: ShardState, grant: Grant, nowMs: number): boolean {
  const holdMs = shard.classes.get(grant.className)?.credit.getLongHold() ?? 0;
  return grant.expiresMs - nowMs > holdMs * RESUMABLE_HOLDS;
}

/** Grants that tier may take back: lowest tier first, then the resumable, then the latest begun. */
function listVictims(shard: ShardState, tier: number, nowMs: number): Grant[] {
  const open = [...shard.grants.values()].filter(
    (grant) => grant.tier > tier && !grant.isFloor && grant.preemptible && !isPending(grant, nowMs),
  );
  return open.sort(
    (a, b) =>
      b.tier - a.tier ||
      Number(isResumable(shard, b, nowMs)) - Number(isResumable(shard, a, nowMs)) ||
      b.grantedMs - a.grantedMs,
  );
}

/** The grants to ask back now: one for each waiting request that has lost patience, none twice. */
export function chooseVictims(shard: ShardState, nowMs: number): Grant[] {
  if (shard.countWaiting() === 0) return [];
  const chosen: Grant[] = [];
  let pending = [...shard.grants.values()].filter((grant) => isPending(grant, nowMs)).length;
  for (const state of shard.listByTier()) {
    const wanted = Math.max(0, countImpatient(state, nowMs) - pending);
    const victims = listVictims(shard, state.declaration.tier, nowMs).slice(0, wanted);
    for (const victim of victims) victim.preemptedMs = nowMs;
    chosen.push(...victims);
    // Slots on their way serve this tier's tickets first; what is left serves the next one's.
    pending = Math.max(0, pending + victims.length - state.queue.count());
  }
  return chosen;
}
