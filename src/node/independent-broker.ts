/**
 * A baseline for the bench: grants at once, by turns or to the endpoint with least in flight from
 * this entry, and leaves all queueing to the endpoints. Not for use.
 */
import type { SlotBroker, SlotListener } from './slot-broker-types.js';
import type { Declarations } from '../types/declarations.js';

interface HeldEndpoint {
  readonly endpoint: string;
}

/** Builds the baseline. */
export function createIndependentBroker(choice: 'round_robin' | 'least_in_flight'): SlotBroker {
  const held = new Map<string, HeldEndpoint>();
  const leaving = new Set<string>();
  let declarations: Declarations | undefined;
  let turn = 0;

  function countInFlight(endpoint: string): number {
    let inFlight = 0;
    for (const slot of held.values()) if (slot.endpoint === endpoint) inFlight += 1;
    return inFlight;
  }

  function chooseEndpoint(pool: string, excluded: readonly string[]): string | undefined {
    const all = declarations?.pools.get(pool)?.endpoints.map(({ name }) => name) ?? [];
    const open = all.filter((name) => !leaving.has(name) && !excluded.includes(name));
    const candidates = open.length > 0 ? open : all;
    turn += 1;
    const rotated = candidates.map((_, index) => candidates[(index + turn) % candidates.length]);
    if (choice === 'round_robin') return rotated[0];
    return rotated.sort((a, b) => countInFlight(a ?? '') - countInFlight(b ?? ''))[0];
  }

  function grantAtOnce(
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
      grantAtOnce(request.ticketId, request.pool, request.excludedEndpoints, listener);
    },
    cancel: () => undefined,
    release(ticketId) {
      held.delete(ticketId);
    },
    update: () => undefined,
    handle: () => undefined,
    setDeclarations(next) {
      declarations = next;
    },
    setLive: () => undefined,
    removeMember: () => undefined,
    setLeaving(endpoint, isLeaving) {
      if (isLeaving) leaving.add(endpoint);
      else leaving.delete(endpoint);
    },
    recordSeen: () => undefined,
    listOwned: () => [],
    list: () => [],
    countPending: () => 0,
    countHeld: () => held.size,
  };
}
