/**
 * Connects this instance's ticket client with the owners of shards. Messages to shards that this
 * instance owns are handled directly; others are sent to peers.
 */
import { buildShardRoutes, buildShards } from '../admission/shard-map.js';
import type { LiveInstance, Shard } from '../admission/shard-map.js';
import { createShardOwner } from '../admission/shard-owner.js';
import type { OwnerMessage, ShardOwner } from '../admission/owner-messages.js';
import { createTicketClient } from '../admission/ticket-client.js';
import type {
  TicketClientCommand,
  TicketClientMessage,
} from '../admission/ticket-client-messages.js';
import { METRIC } from '../runtime/metrics.js';
import type { Metrics } from '../runtime/metrics.js';
import type { Invariants } from '../runtime/invariants.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { AdmissionPolicy } from '../admission/policy.js';
import type { Declarations } from '../types/declarations.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import type { AdmissionBody, SlotBroker, SlotListener } from './slot-broker-types.js';

const CLIENT_TICK_MS = 5;
const OWNER_TICK_MS = 25;
const REPORT_PERIOD_MS = 500;
/** Time that a new owner waits for instances to report the slots they hold. */
const TAKEOVER_GRACE_MS = 250;

export interface SlotBrokerOptions {
  readonly self: LiveInstance;
  readonly timers: TimerService;
  readonly random: Random;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
  readonly policy: Exclude<AdmissionPolicy, { kind: 'independent' }>;
  readonly send: (message: AddressedMessage) => void;
}

/** Creates a broker; it grants slots once declarations are set. */
export function createSlotBroker(options: SlotBrokerOptions): SlotBroker {
  const { self, timers, random, invariants, metrics } = options;
  const ticketClient = createTicketClient(random);
  const owners = new Map<string, ShardOwner>();
  const listeners = new Map<string, SlotListener>();
  const leavingEndpoints = new Set<string>();
  let declarations: Declarations | undefined;
  let liveInstances: readonly LiveInstance[] = [self];
  let shards: readonly Shard[] = [];
  let hasBuiltShards = false;

  const getNow = (): number => timers.clock.monotonicMs();

  function sendAll(messages: readonly AddressedMessage[]): void {
    for (const message of messages) {
      if (message.to === self.name) handleBody(self.name, message.body as AdmissionBody);
      else options.send(message);
    }
  }

  function runOwner(shard: string, message: OwnerMessage): void {
    const owner = owners.get(shard);
    if (owner !== undefined) sendAll(owner.handle(message, getNow()));
  }

  function applyCommand(command: TicketClientCommand): void {
    switch (command.kind) {
      case 'send':
        sendAll([command.message]);
        break;
      case 'settle_grant':
        listeners.get(command.grant.ticketId)?.onGrant(command.grant);
        break;
      case 'settle_refusal':
        metrics.count(METRIC.TicketsShed);
        listeners
          .get(command.ticketId)
          ?.onRefusal(command.ticketId, command.reason, command.retryAfterMs);
        listeners.delete(command.ticketId);
        break;
      case 'preempt':
        metrics.count(METRIC.Preempted);
        listeners.get(command.ticketId)?.onPreempt(command.ticketId);
        break;
      default:
        assertNever(command);
    }
  }

  function runTicketClient(message: TicketClientMessage): void {
    for (const command of ticketClient.handle(message, getNow())) applyCommand(command);
  }

  function handleBody(from: string, body: AdmissionBody): void {
    switch (body.case) {
      case 'postTicket':
        runOwner(body.value.shard, { kind: 'post', from, ticket: body.value });
        break;
      case 'withdrawTicket':
        runOwner(body.value.shard, { kind: 'withdraw', from, ticketId: body.value.ticketId });
        break;
      case 'releaseSlot':
        runOwner(body.value.shard, { kind: 'release', from, release: body.value });
        break;
      case 'reportHoldings':
        runOwner(body.value.shard, { kind: 'holdings', from, held: body.value.held });
        break;
      case 'grantSlot': {
        const { ticketId, shard, endpoint, floor } = body.value;
        runTicketClient({ kind: 'granted', grant: { ticketId, shard, endpoint, isFloor: floor } });
        break;
      }
      case 'refuseTicket': {
        const { ticketId, shard, reason, retryAfterMs } = body.value;
        runTicketClient({ kind: 'refused', ticketId, shard, reason, retryAfterMs });
        break;
      }
      case 'preemptSlot':
        runTicketClient({ kind: 'preempt', ticketId: body.value.ticketId });
        break;
      default:
        assertNever(body);
    }
  }

  function createOwner(shard: Shard): ShardOwner {
    return createShardOwner({
      shard: shard.name,
      random,
      invariants,
      grantsFromMs: hasBuiltShards ? getNow() + TAKEOVER_GRACE_MS : 0,
      ...(options.policy.kind === 'owners' ? options.policy : {}),
    });
  }

  /** Under the even-share baseline, every instance owns every shard with an equal part of its slots. */
  function buildPolicyShards(current: Declarations): readonly Shard[] {
    const all = buildShards(current, liveInstances);
    if (options.policy.kind === 'owners') return all;
    return all.map((shard) => ({
      ...shard,
      owner: self.name,
      endpoints: shard.endpoints.map((endpoint) => ({
        ...endpoint,
        slots: Math.max(1, Math.floor(endpoint.slots / liveInstances.length)),
      })),
    }));
  }

  /** Data centres with endpoints of the shard but no live instance. */
  function listUnreachableDataCentres(shard: Shard): ReadonlySet<string> {
    const seen = new Set(liveInstances.map((instance) => instance.dataCentre));
    const declared = shard.endpoints.map((endpoint) => endpoint.dataCentre);
    return new Set(declared.filter((dataCentre) => !seen.has(dataCentre)));
  }

  function updateShards(): void {
    if (declarations === undefined) return;
    const current = declarations;
    shards = buildPolicyShards(current);
    const owned = shards.filter((shard) => shard.owner === self.name);
    const names = new Set(owned.map((shard) => shard.name));
    for (const name of owners.keys()) if (!names.has(name)) owners.delete(name);
    for (const shard of owned) {
      if (!owners.has(shard.name)) owners.set(shard.name, createOwner(shard));
      runOwner(shard.name, {
        kind: 'configure',
        classes: current.classes,
        weights: (organisation) => current.organisations.get(organisation)?.weight ?? 1,
        endpoints: shard.endpoints,
      });
      runOwner(shard.name, { kind: 'cut_off', dataCentres: listUnreachableDataCentres(shard) });
      for (const endpoint of leavingEndpoints) {
        runOwner(shard.name, { kind: 'endpoint_leaving', endpoint, isLeaving: true });
      }
    }
    hasBuiltShards = true;
    runTicketClient({ kind: 'routes', routes: buildShardRoutes(shards) });
  }

  timers.subscribe(CLIENT_TICK_MS, () => {
    if (ticketClient.countPending() > 0) runTicketClient({ kind: 'tick' });
  });
  timers.subscribe(OWNER_TICK_MS, () => {
    for (const shard of owners.keys()) runOwner(shard, { kind: 'tick' });
  });
  timers.subscribe(REPORT_PERIOD_MS, () => {
    runTicketClient({ kind: 'report' });
    metrics.set(METRIC.TicketsWaiting, ticketClient.countPending());
  });

  return {
    request(request, listener) {
      listeners.set(request.ticketId, listener);
      runTicketClient({ kind: 'request', request });
    },
    cancel(ticketId) {
      listeners.delete(ticketId);
      runTicketClient({ kind: 'cancel', ticketId });
    },
    release(ticketId, use) {
      listeners.delete(ticketId);
      runTicketClient({ kind: 'release', ticketId, use });
    },
    updateProgress(ticketId, tokens, stepMs) {
      runTicketClient({ kind: 'progress', ticketId, tokens, stepMs });
    },
    handle: handleBody,
    setDeclarations(next) {
      declarations = next;
      updateShards();
    },
    setLiveInstances(instances) {
      liveInstances = instances;
      updateShards();
    },
    removeMember(member) {
      for (const shard of owners.keys()) runOwner(shard, { kind: 'member_gone', member });
    },
    setEndpointLeaving(endpoint, isLeaving) {
      if (isLeaving) leavingEndpoints.add(endpoint);
      else leavingEndpoints.delete(endpoint);
      for (const shard of owners.keys()) {
        runOwner(shard, { kind: 'endpoint_leaving', endpoint, isLeaving });
      }
    },
    recordReachability(endpoint, isReachable) {
      for (const shard of owners.keys()) {
        runOwner(shard, { kind: 'endpoint_seen', endpoint, isReachable });
      }
    },
    listOwnedShards: () => shards.filter((shard) => shard.owner === self.name),
    listShardViews: () => [...owners.values()].map((owner) => owner.getView()),
    countPendingTickets: () => ticketClient.countPending(),
    countHeldSlots: () => ticketClient.countHeld(),
  };
}
