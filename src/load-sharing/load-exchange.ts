/**
 * Decides which load updates an instance sends to whom. Performs no I/O.
 *
 * Each instance reports its load to an aggregator of its data centre. Aggregators send each other
 * the sums of their groups and send each reporter the load of all other instances. An instance that
 * receives reports acts as an aggregator even if it did not expect to be one, so that instances
 * need not agree on the membership.
 */
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import { createRemoteLoads, mergeShares } from '../placement/remote-loads.js';
import type { EndpointLoadShare } from '../placement/remote-loads.js';
import { assertNever } from '../utils/assert-never.js';
import { chooseAggregators, listAggregatorsFor } from './choose-aggregators.js';
import type { LoadMember } from './choose-aggregators.js';
import { LOAD_SCOPE } from './load-update.js';
import type { AddressedLoadUpdate, ReceivedLoadUpdate } from './load-update.js';

export const LOAD_UPDATE_PERIOD_MS = 100;
/** Periods after which an unchanged update is repeated, as a heartbeat that shows reachability. */
const HEARTBEAT_PERIODS = 3;
/** Age at which reported loads are removed: three lost heartbeats. */
const REMOTE_LOAD_AGE_MAX_MS = 1000;
/** Time without an update after which an aggregator is skipped. */
const AGGREGATOR_TIMEOUT_MS = 500;
/** Time for which it is skipped; membership detects a failure within this time. */
const AGGREGATOR_BACKOFF_MS = 3000;
/** Time for which a data centre counts as heard after its last update: a heartbeat and one lost datagram. */
const DATA_CENTRE_TIMEOUT_MS = 400;
/**
 * Time after a start, or a change of the role, in which an instance that hears each peer by itself may have
 * heard only some of them, or know none.
 */
const INFORMATION_WAIT_MAX_MS = 1000;
/** Periods between refreshes of the list of instances. */
const FLEET_REFRESH_PERIODS = 5;

export interface LoadExchangeOptions {
  readonly self: LoadMember;
  readonly loads: EndpointLoads;
  /** All live instances that are not leaving, including this one. */
  readonly listFleet: () => readonly LoadMember[];
  /**
   * Instances that are leaving. They still send calls, so they report loads and are told those of the others,
   * but they do not aggregate.
   * @default none
   */
  readonly listLeaving?: () => readonly LoadMember[];
}

interface Reporter {
  readonly heardMs: number;
  readonly sources: ReadonlySet<string>;
}

export interface LoadExchange {
  /** Advances by one period and returns the updates to send. */
  advance(nowMs: number): AddressedLoadUpdate[];
  handle(update: ReceivedLoadUpdate, nowMs: number): void;
  /**
   * Whether the loads of other instances are known as far as they can be. False for a short time after a start
   * and after a change of the role, in which the engines look idle.
   */
  isInformed(nowMs: number): boolean;
}

/** Formats the values whose changes are sent at once; other values wait for a heartbeat. */
function formatShares(shares: readonly EndpointLoadShare[]): string {
  return shares
    .map(({ endpoint, running, unreadTokens }) => `${endpoint}:${running}:${unreadTokens}`)
    .join(' ');
}

export function createLoadExchange(options: LoadExchangeOptions): LoadExchange {
  const { self, loads, listFleet } = options;
  const { remote } = loads;
  /** Loads of the instances that report to this one, which are also part of `remote`. */
  const groupLoads = createRemoteLoads();
  /** Instances that report to this one, and the sources under which their loads are stored. */
  const reporters = new Map<string, Reporter>();
  /** When each aggregator and each data centre was last heard. */
  const aggregatorsHeardMs = new Map<string, number>();
  const dataCentresHeardMs = new Map<string, number>();
  /** Aggregators that do not answer, and until when they are skipped. */
  const skippedUntilMs = new Map<string, number>();
  let addresses = new Map<string, string>();
  let aggregators: string[] = [];
  let localAggregators: string[] = [];
  let periods = 0;
  let isAggregator = true;
  /** Whether the aggregator has told the loads of all others. */
  let isInformed = false;
  /** When the instance started or changed its role. */
  let uninformedSinceMs: number | undefined;
  let aggregator: { readonly name: string; readonly sinceMs: number } | undefined;
  let aggregatorHeardMs = -Infinity;
  /** The aggregator that sent the loads in `remote`. */
  let remoteLoadsSender: string | undefined;
  let lastSent = '';
  let periodsSinceSent = 0;

  function updateFleet(): void {
    const fleet = listFleet();
    const members = [...fleet, ...(options.listLeaving?.() ?? [])];
    addresses = new Map(members.map(({ name, address }) => [name, address]));
    aggregators = chooseAggregators(fleet);
    const localNames = new Set(
      fleet.filter(({ dataCentre }) => dataCentre === self.dataCentre).map(({ name }) => name),
    );
    localAggregators = listAggregatorsFor(
      self.name,
      aggregators.filter((name) => localNames.has(name)),
    );
  }

  function removeExpired(nowMs: number): void {
    for (const [name, { heardMs }] of reporters) {
      if (nowMs - heardMs > REMOTE_LOAD_AGE_MAX_MS) reporters.delete(name);
    }
    for (const [name, heardMs] of aggregatorsHeardMs) {
      if (nowMs - heardMs > REMOTE_LOAD_AGE_MAX_MS) aggregatorsHeardMs.delete(name);
    }
  }

  /**
   * Loads received in the previous role are removed, as they would be counted twice in the new one.
   */
  function updateRole(nowMs: number): void {
    const wasAggregator = isAggregator;
    isAggregator =
      aggregators.includes(self.name) || localAggregators.length === 0 || reporters.size > 0;
    if (isAggregator === wasAggregator) return;
    remote.clear();
    groupLoads.clear();
    aggregator = undefined;
    remoteLoadsSender = undefined;
    isInformed = false;
    uninformedSinceMs = nowMs;
  }

  /**
   * Guards against an aggregator that is down, unreachable or frozen before membership detects it,
   * which would leave this instance with its own load only. The next aggregator takes over.
   */
  function updateAggregator(nowMs: number): void {
    const silentMs = nowMs - Math.max(aggregator?.sinceMs ?? nowMs, aggregatorHeardMs);
    if (aggregator !== undefined && silentMs > AGGREGATOR_TIMEOUT_MS) {
      skippedUntilMs.set(aggregator.name, nowMs + AGGREGATOR_BACKOFF_MS);
    }
    const answering = localAggregators.filter((name) => nowMs >= (skippedUntilMs.get(name) ?? 0));
    const name = answering[0] ?? localAggregators[0];
    if (name === undefined || name === aggregator?.name) return;
    aggregator = { name, sinceMs: nowMs };
  }

  function listHeardDataCentres(nowMs: number): string[] {
    return [...dataCentresHeardMs]
      .filter(([, ms]) => nowMs - ms <= DATA_CENTRE_TIMEOUT_MS)
      .map(([name]) => name);
  }

  function buildUpdate(
    scope: AddressedLoadUpdate['scope'],
    to: readonly string[],
    shares: readonly EndpointLoadShare[],
    nowMs: number,
  ): AddressedLoadUpdate {
    return {
      scope,
      shares,
      addresses: to.map((name) => addresses.get(name)).filter((address) => address !== undefined),
      heardDataCentres: scope === LOAD_SCOPE.Others ? listHeardDataCentres(nowMs) : [],
    };
  }

  /** Subtracts a member's own load from the load of the fleet. */
  function buildOthersShares(
    member: string,
    fleet: readonly EndpointLoadShare[],
  ): EndpointLoadShare[] {
    const sources = [...(reporters.get(member)?.sources ?? [])];
    const reported = sources.flatMap((source) => groupLoads.listFrom(source));
    const ownShares = new Map(reported.map((share) => [share.endpoint, share]));
    return fleet.flatMap((share) => {
      const ownShare = ownShares.get(share.endpoint);
      if (ownShare === undefined) return [share];
      const rest: EndpointLoadShare = {
        endpoint: share.endpoint,
        running: share.running - ownShare.running,
        urgent: share.urgent - ownShare.urgent,
        preemptible: Math.max(0, share.preemptible - ownShare.preemptible),
        preemptibleUnreadTokens: Math.max(
          0,
          share.preemptibleUnreadTokens - ownShare.preemptibleUnreadTokens,
        ),
        unreadTokens: share.unreadTokens - ownShare.unreadTokens,
        answers: Math.max(0, share.answers - ownShare.answers),
        failures: Math.max(0, share.failures - ownShare.failures),
        readTokens: Math.max(0, share.readTokens - ownShare.readTokens),
        readMs: Math.max(0, share.readMs - ownShare.readMs),
        pauses: Math.max(0, share.pauses - ownShare.pauses),
        pauseMs: Math.max(0, share.pauseMs - ownShare.pauseMs),
      };
      return rest.running > 0 || rest.readMs > 0 || rest.answers > 0 ? [rest] : [];
    });
  }

  function buildAggregatorUpdates(nowMs: number): AddressedLoadUpdate[] {
    const others = new Set([...aggregators, ...aggregatorsHeardMs.keys()]);
    others.delete(self.name);
    const groupShares = mergeShares([loads.listOwn(nowMs), groupLoads.list()]);
    const updates = [buildUpdate(LOAD_SCOPE.Group, [...others], groupShares, nowMs)];
    const fleet = reporters.size > 0 ? loads.listFleet(nowMs) : [];
    for (const member of reporters.keys()) {
      updates.push(
        buildUpdate(LOAD_SCOPE.Others, [member], buildOthersShares(member, fleet), nowMs),
      );
    }
    return updates;
  }

  /** Changed updates are due at once, unchanged ones as heartbeats. */
  function isDue(text: string): boolean {
    periodsSinceSent += 1;
    if (text === lastSent && periodsSinceSent < HEARTBEAT_PERIODS) return false;
    lastSent = text;
    periodsSinceSent = 0;
    return true;
  }

  function buildUpdates(nowMs: number): AddressedLoadUpdate[] {
    if (isAggregator) {
      const text = formatShares(reporters.size > 0 ? loads.listFleet(nowMs) : loads.listOwn(nowMs));
      return isDue(text) ? buildAggregatorUpdates(nowMs) : [];
    }
    const own = loads.listOwn(nowMs);
    if (aggregator === undefined || !isDue(formatShares(own))) return [];
    return [buildUpdate(LOAD_SCOPE.Own, [aggregator.name], own, nowMs)];
  }

  function handleReport({ instance, part, shares }: ReceivedLoadUpdate, nowMs: number): void {
    const source = `${instance}/${part}`;
    const sources = new Set([...(reporters.get(instance)?.sources ?? []), source]);
    reporters.set(instance, { heardMs: nowMs, sources });
    updateRole(nowMs);
    remote.set(source, shares, true, nowMs);
    groupLoads.set(source, shares, true, nowMs);
  }

  function handleGroupLoad(
    { instance, dataCentre, part, shares }: ReceivedLoadUpdate,
    nowMs: number,
  ): void {
    aggregatorsHeardMs.set(instance, nowMs);
    if (!isAggregator) return;
    remote.set(`${instance}/${part}`, shares, dataCentre === self.dataCentre, nowMs);
  }

  function handleFleetLoad(update: ReceivedLoadUpdate, nowMs: number): void {
    const { instance, part, shares, heardDataCentres } = update;
    if (isAggregator || instance !== aggregator?.name) return;
    aggregatorHeardMs = nowMs;
    // Loads from the previous aggregator are used until the new one sends its own.
    if (remoteLoadsSender !== instance) remote.clear();
    remoteLoadsSender = instance;
    isInformed = true;
    for (const heard of heardDataCentres) dataCentresHeardMs.set(heard, nowMs);
    remote.set(`${instance}/${part}`, shares, true, nowMs);
  }

  return {
    isInformed(nowMs) {
      const sinceMs = nowMs - (uninformedSinceMs ?? nowMs);
      return isInformed || sinceMs >= INFORMATION_WAIT_MAX_MS;
    },
    advance(nowMs) {
      if (periods % FLEET_REFRESH_PERIODS === 0) updateFleet();
      periods += 1;
      remote.removeExpired(nowMs, REMOTE_LOAD_AGE_MAX_MS);
      groupLoads.removeExpired(nowMs, REMOTE_LOAD_AGE_MAX_MS);
      removeExpired(nowMs);
      uninformedSinceMs ??= nowMs;
      updateRole(nowMs);
      if (!isAggregator) updateAggregator(nowMs);
      return buildUpdates(nowMs);
    },
    handle(update, nowMs) {
      dataCentresHeardMs.set(update.dataCentre, nowMs);
      switch (update.scope) {
        case LOAD_SCOPE.Own:
          handleReport(update, nowMs);
          break;
        case LOAD_SCOPE.Group:
          handleGroupLoad(update, nowMs);
          break;
        case LOAD_SCOPE.Others:
          handleFleetLoad(update, nowMs);
          break;
        default:
          assertNever(update.scope);
      }
    },
  };
}
