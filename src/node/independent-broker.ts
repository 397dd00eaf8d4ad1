/**
 * Benchmark baseline: grants every request immediately, by round robin or to the endpoint with the
 * fewest requests in flight from this instance. Endpoints do all the queueing.
 */
import type { SlotBroker, SlotListener } from './slot-broker-types.js';
import type { Declarations } from '../types/declarations.js';

interface HeldSlot {
  readonly endpoint: string;
}

export function createIndependentBroker(choice: 'round_robin' | 'least_in_flight'): SlotBroker {
  const held = new Map<string, HeldSlot>();
  const leavingEndpoints = new Set<string>();
  const restUntilMs = new Map<string, number>();
  let declarations: Declarations | undefined;
  let rotation = 0;

  function countInFlight(endpoint: string): number {
    let inFlight = 0;
    for (const slot of held.values()) if (slot.endpoint === endpoint) inFlight += 1;
    return inFlight;
  }

  function chooseEndpoint(pool: string, excluded: readonly string[]): string | undefined {
    const all = declarations?.pools.get(pool)?.endpoints.map(({ name }) => name) ?? [];
    const available = all.filter(
      (name) =>
        !leavingEndpoints.has(name) &&
        !excluded.includes(name) &&
        performance.now() >= (restUntilMs.get(name) ?? 0),
    );
    const candidates = available.length > 0 ? available : all;
    rotation += 1;
    const rotated = candidates.map(
      (_, index) => candidates[(index + rotation) % candidates.length],
    );
    if (choice === 'round_robin') return rotated[0];
    return rotated.sort((a, b) => countInFlight(a ?? '') - countInFlight(b ?? ''))[0];
  }

  function grantSlot(
    ticketId: string,
    pool: string,
    excluded: readonly string[],
    listener: SlotListener,
  ): void {
    const endpoint = chooseEndpoint(pool, excluded);
    if (endpoint === undefined) {
      listener.onRefusal(ticketId, 'no_endpoint', 1000);
      return;
    }
    held.set(ticketId, { endpoint });
    listener.onGrant({ ticketId, shard: '', endpoint, isFloor: false });
  }

  return {
    request(request, listener) {
      grantSlot(request.ticketId, request.pool, request.excludedEndpoints, listener);
    },
    cancel: () => undefined,
    release(ticketId, { restMs }) {
      const endpoint = held.get(ticketId)?.endpoint;
      if (endpoint !== undefined && restMs > 0)
        restUntilMs.set(endpoint, performance.now() + restMs);
      held.delete(ticketId);
    },
    updateProgress: () => undefined,
    handle: () => undefined,
    setDeclarations(next) {
      declarations = next;
    },
    setLiveInstances: () => undefined,
    removeMember: () => undefined,
    setEndpointLeaving(endpoint, isLeaving) {
      if (isLeaving) leavingEndpoints.add(endpoint);
      else leavingEndpoints.delete(endpoint);
    },
    recordReachability: () => undefined,
    listOwnedShards: () => [],
    listShardViews: () => [],
    countPendingTickets: () => 0,
    countHeldSlots: () => held.size,
  };
}
