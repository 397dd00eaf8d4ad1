/**
 * Control tasks of the shards that this instance owns: health checks of their endpoints and, under a
 * lease, orders that make engines load the declared models.
 */
import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { Shard } from '../admission/shard-map.js';
import { createLease } from '../leases/lease.js';
import { applyLeaseDefaults } from '../leases/lease-document.js';
import type { Lease, LeaseCommand, LeaseMessage, ClockReading } from '../leases/lease.js';
import type { LeaseDocument } from '../leases/lease-document.js';
import { ORDER_TIMEOUT_MS, ORDER_LEASE } from '../orders/order-lease.js';
import { createReconciler } from '../orders/reconciler.js';
import type { EngineReport, Reconciler } from '../orders/reconciler.js';
import { PLATFORM_FAILURE } from '../storage/platform-error.js';
import type { ItemKey, TableClient } from '../storage/table-client.js';
import type { Logger } from '../runtime/logger.js';
import { METRIC } from '../runtime/metrics.js';
import type { Metrics } from '../runtime/metrics.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { Declarations, EndpointDeclaration } from '../types/declarations.js';
import { POOL_KIND } from '../types/declarations.js';
import { assertNever } from '../utils/assert-never.js';
import type { EndpointClient } from './endpoint-client.js';

const HEALTH_CHECK_PERIOD_MS = 1000;
const HEALTH_CHECK_TIMEOUT_MS = 800;
const LEASE_TICK_MS = 500;

const reportSchema = z.object({
  isLeaving: z.boolean(),
  models: z.array(z.string()),
});

export interface ControlRunnerOptions {
  readonly self: string;
  readonly table: TableClient;
  readonly endpoints: EndpointClient;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly listOwnedShards: () => readonly Shard[];
  readonly getDeclarations: () => Declarations | undefined;
  /** `sentMs`: when the health check was sent. */
  readonly onEndpointState: (endpoint: string, isLeaving: boolean, sentMs: number) => void;
  readonly onReachability: (endpoint: string, isReachable: boolean) => void;
}

export interface ControlRunner {
  /** Shards for which this instance holds a valid lease. */
  listLeasedShards(): string[];
}

interface ShardControl {
  readonly lease: Lease;
  readonly reconciler: Reconciler;
  reports: EngineReport[];
}

/** Creates a runner and starts its health checks and lease timers. */
export function createControlRunner(options: ControlRunnerOptions): ControlRunner {
  const { self, table, endpoints, timers, metrics, logger } = options;
  const controls = new Map<string, ShardControl>();
  const getClockReading = (): ClockReading => ({
    monotonicMs: timers.clock.monotonicMs(),
    wallMs: timers.clock.wallMs(),
  });

  function getControl(shard: string): ShardControl {
    const existing = controls.get(shard);
    if (existing !== undefined) return existing;
    const control = {
      lease: createLease({ holder: self, timings: ORDER_LEASE, createWriteId: randomUUID }),
      reconciler: createReconciler(),
      reports: [],
    };
    controls.set(shard, control);
    return control;
  }

  function buildLeaseKey(shard: string): ItemKey {
    return { partition: 'lease', sort: shard };
  }

  async function readLease(shard: string): Promise<LeaseMessage | undefined> {
    const item = await table.get<LeaseDocument>(buildLeaseKey(shard));
    if (item.err) return undefined;
    const found = item.val;
    return {
      kind: 'read',
      lease: found === undefined ? undefined : applyLeaseDefaults(found.version, found.document),
      newestVersion: 0,
    };
  }

  async function writeLease(
    shard: string,
    command: Extract<LeaseCommand, { kind: 'write' }>,
  ): Promise<LeaseMessage> {
    const key = buildLeaseKey(shard);
    const { document, expectedVersion } = command;
    const written = await table.transact([
      expectedVersion === 0
        ? { kind: 'insert', key, document }
        : { kind: 'replace', key, document, expectedVersion },
    ]);
    const { writeId } = document;
    if (written.ok) {
      return {
        kind: 'written',
        writeId,
        result: { kind: 'written', version: expectedVersion + 1 },
      };
    }
    const isConflict = written.val.kind === PLATFORM_FAILURE.Conflict;
    const result = isConflict
      ? ({ kind: 'conflict', lease: undefined } as const)
      : ({ kind: 'lost' } as const);
    return { kind: 'written', writeId, result };
  }

  async function runLeaseCommand(shard: string, command: LeaseCommand): Promise<void> {
    switch (command.kind) {
      case 'read': {
        const message = await readLease(shard);
        if (message !== undefined) handleLease(shard, message);
        break;
      }
      case 'write':
        handleLease(shard, await writeLease(shard, command));
        break;
      default:
        assertNever(command);
    }
  }

  function handleLease(shard: string, message: LeaseMessage): void {
    for (const command of getControl(shard).lease.handle(message, getClockReading())) {
      runLeaseCommand(shard, command).catch(() => undefined);
    }
  }

  async function fetchReport(endpoint: EndpointDeclaration): Promise<EngineReport | undefined> {
    const sentMs = timers.clock.monotonicMs();
    const answer = await endpoints.fetchJson(endpoint, '/load', undefined, HEALTH_CHECK_TIMEOUT_MS);
    const parsed = reportSchema.safeParse(answer);
    // The leaving state must be set first: an endpoint that becomes reachable gets work at once, even
    // if it started to leave while it was unreachable.
    if (parsed.success) options.onEndpointState(endpoint.name, parsed.data.isLeaving, sentMs);
    options.onReachability(endpoint.name, answer !== undefined);
    if (!parsed.success) return undefined;
    return { endpoint: endpoint.name, models: parsed.data.models };
  }

  function hasDeclaredModels(shard: Shard): boolean {
    const pool = options.getDeclarations()?.pools.get(shard.pool);
    return pool?.kind === POOL_KIND.Engine && pool.models.length > 0;
  }

  function sendOrders(shard: Shard): void {
    const control = getControl(shard.name);
    const declaredModels = options.getDeclarations()?.pools.get(shard.pool)?.models ?? [];
    const fence = control.lease.getGrant(getClockReading())?.fence;
    if (fence === undefined) return;
    const nowMs = timers.clock.monotonicMs();
    const orders = control.reconciler.handle(control.reports, declaredModels, fence, nowMs);
    for (const order of orders) {
      const endpoint = shard.endpoints.find((candidate) => candidate.name === order.endpoint);
      const isStillHeld = (): boolean =>
        control.lease.getGrant(getClockReading())?.fence === order.fence;
      if (endpoint !== undefined && isStillHeld()) {
        metrics.count(METRIC.OrdersSent);
        logger.info('order sent', { endpoint: order.endpoint, fence, models: order.models });
        const body = { fence: order.fence, models: order.models };
        endpoints
          .fetchJson(endpoint, '/v1/orders', body, ORDER_TIMEOUT_MS, isStillHeld)
          .catch(() => undefined);
      }
    }
  }

  async function checkEndpoints(shard: Shard): Promise<void> {
    const reports = await Promise.all(shard.endpoints.map(fetchReport));
    getControl(shard.name).reports = reports.filter((report) => report !== undefined);
    if (hasDeclaredModels(shard)) sendOrders(shard);
  }

  timers.subscribe(HEALTH_CHECK_PERIOD_MS, () => {
    for (const shard of options.listOwnedShards()) checkEndpoints(shard).catch(() => undefined);
  });
  timers.subscribe(LEASE_TICK_MS, () => {
    const owned = new Map(options.listOwnedShards().map((shard) => [shard.name, shard]));
    for (const name of controls.keys()) if (!owned.has(name)) controls.delete(name);
    for (const shard of owned.values()) {
      if (hasDeclaredModels(shard)) handleLease(shard.name, { kind: 'tick', isWanted: true });
    }
  });
  timers.events.on('pause', () => {
    for (const shard of controls.keys()) handleLease(shard, { kind: 'paused' });
  });

  return {
    listLeasedShards: () =>
      [...controls]
        .filter(([, control]) => control.lease.getGrant(getClockReading())?.fence !== undefined)
        .map(([name]) => name),
  };
}
