/**
 * Joins this entry's ticket desk with the shards it owns for the moment, and moves their messages:
 * to itself by a call, to peers by the outbox.
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

const DESK_TICK_MS = 5;
const OWNER_TICK_MS = 25;
const REPORT_MS = 500;
/** A new owner waits this long for entries to say what they hold, in milliseconds. */
const TAKEOVER_GRACE_MS = 250;

/** Settings of a broker. */
export interface SlotBrokerOptions {
  readonly self: LiveInstance;
  readonly timers: TimerService;
  readonly random: Random;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
  readonly policy: Exclude<AdmissionPolicy, { kind: 'independent' }>;
  readonly send: (message: AddressedMessage) => void;
}

/** Builds a broker without a configuration. */
export function createSlotBroker(options: SlotBrokerOptions): SlotBroker {
  const { self, timers, random, invariants, metrics } = options;
  const desk = createTicketClient(random);
  const owners = new Map<string, ShardOwner>();
  const listeners = new Map<string, SlotListener>();
  const leaving = new Set<string>();
  let declarations: Declarations | undefined;
  let live: readonly LiveInstance[] = [self];
  let shards: readonly Shard[] = [];
  let hasOwnedBefore = false;

  const getNow = (): number => timers.clock.monotonicMs();

  function sendAll(messages: readonly AddressedMessage[]): void {
    for (const message of messages) {
      if (message.to === self.name) applyBody(self.name, message.body as AdmissionBody);
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

  function runDesk(message: TicketClientMessage): void {
    for (const command of desk.handle(message, getNow())) applyCommand(command);
  }

  function applyBody(from: string, body: AdmissionBody): void {
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
        runDesk({ kind: 'granted', grant: { ticketId, shard, endpoint, isFloor: floor } });
        break;
      }
      case 'refuseTicket': {
        const { ticketId, shard, reason, retryAfterMs } = body.value;
        runDesk({ kind: 'refused', ticketId, shard, reason, retryAfterMs });
        break;
      }
      case 'preemptSlot':
        runDesk({ kind: 'preempt', ticketId: body.value.ticketId });
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
      grantsFromMs: hasOwnedBefore ? getNow() + TAKEOVER_GRACE_MS : 0,
      ...(options.policy.kind === 'owners' ? options.policy : {}),
    });
  }

  /** The baseline of even shares: every entry owns every shard, with its part of the slots. */
  function listShards(current: Declarations): readonly Shard[] {
    const all = buildShards(current, live);
    if (options.policy.kind === 'owners') return all;
    return all.map((shard) => ({
      ...shard,
      owner: self.name,
      endpoints: shard.endpoints.map((endpoint) => ({
        ...endpoint,
        slots: Math.max(1, Math.floor(endpoint.slots / live.length)),
      })),
    }));
  }

  /** Data centres of a shard that have no live entry in sight. */
  function listCutOff(shard: Shard): ReadonlySet<string> {
    const seen = new Set(live.map((entry) => entry.dataCentre));
    const declared = shard.endpoints.map((endpoint) => endpoint.dataCentre);
    return new Set(declared.filter((dataCentre) => !seen.has(dataCentre)));
  }

  function updateShards(): void {
    if (declarations === undefined) return;
    const current = declarations;
    shards = listShards(current);
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
      runOwner(shard.name, { kind: 'cut_off', dataCentres: listCutOff(shard) });
      for (const endpoint of leaving) {
        runOwner(shard.name, { kind: 'endpoint_leaving', endpoint, isLeaving: true });
      }
    }
    hasOwnedBefore = true;
    runDesk({ kind: 'routes', routes: buildShardRoutes(shards) });
  }

  timers.subscribe(DESK_TICK_MS, () => {
    if (desk.countPending() > 0) runDesk({ kind: 'tick' });
  });
  timers.subscribe(OWNER_TICK_MS, () => {
    for (const shard of owners.keys()) runOwner(shard, { kind: 'tick' });
  });
  timers.subscribe(REPORT_MS, () => {
    runDesk({ kind: 'report' });
    metrics.set(METRIC.TicketsWaiting, desk.countPending());
  });

  return {
    request(request, listener) {
      listeners.set(request.ticketId, listener);
      runDesk({ kind: 'request', request });
    },
    cancel(ticketId) {
      listeners.delete(ticketId);
      runDesk({ kind: 'cancel', ticketId });
    },
    release(ticketId, use) {
      listeners.delete(ticketId);
      runDesk({ kind: 'release', ticketId, use });
    },
    update(ticketId, tokens, stepMs) {
      runDesk({ kind: 'progress', ticketId, tokens, stepMs });
    },
    handle: applyBody,
    setDeclarations(next) {
      declarations = next;
      updateShards();
    },
    setLive(entries) {
      live = entries;
      updateShards();
    },
    removeMember(member) {
      for (const shard of owners.keys()) runOwner(shard, { kind: 'member_gone', member });
    },
    setLeaving(endpoint, isLeaving) {
      if (isLeaving) leaving.add(endpoint);
      else leaving.delete(endpoint);
      for (const shard of owners.keys()) {
        runOwner(shard, { kind: 'endpoint_leaving', endpoint, isLeaving });
      }
    },
    recordSeen(endpoint, isReachable) {
      for (const shard of owners.keys()) {
        runOwner(shard, { kind: 'endpoint_seen', endpoint, isReachable });
      }
    },
    listOwned: () => shards.filter((shard) => shard.owner === self.name),
    list: () => [...owners.values()].map((owner) => owner.getView()),
    countPending: () => desk.countPending(),
    countHeld: () => desk.countHeld(),
  };
}
