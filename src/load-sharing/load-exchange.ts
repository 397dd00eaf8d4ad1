/**
 * Who tells whom of the load at endpoints, free of I/O. Each instance reports what it has under way to
 * a head of its data centre, heads tell each other the sums of their groups, and each head tells those
 * that report to it what all others have. Whoever is reported to is a head, whatever it thinks of the
 * fleet itself, so that nothing has to be agreed on: a wrong choice costs one more telling.
 */
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import { createRemoteLoads, mergeShares } from '../placement/told-loads.js';
import type { EndpointShareOfLoad } from '../placement/told-loads.js';
import { assertNever } from '../utils/assert-never.js';
import { chooseAggregators, listAggregatorsFor } from './choose-heads.js';
import type { LoadMember } from './choose-heads.js';
import { LOAD_SCOPE } from './load-telling.js';
import type { AddressedTelling, ReceivedTelling } from './load-telling.js';

/** What changed is told this often, in milliseconds: prompts queue for a few hundred. */
export const TELL_PERIOD_MS = 100;
/** What did not change is told again after this many periods: it is the heartbeat by which others see that they reach this instance. */
const HEARTBEAT_PERIODS = 3;
/** What was told counts this long, in milliseconds: three repeats lost, or a busy machine's late timers. */
const REMOTE_LOAD_AGE_MAX_MS = 1000;
/** A head that answers no report for this long, in milliseconds, is passed over: it answers ten times a second. */
const AGGREGATOR_TIMEOUT_MS = 500;
/** And for this long, in milliseconds, by when membership knows whether it is dead. */
const AGGREGATOR_BACKOFF_MS = 3000;
/** A data centre counts as heard for this long, in milliseconds: a repeat and a lost datagram. */
const DATA_CENTRE_TIMEOUT_MS = 400;
/** The fleet is looked at anew after this many periods: heads change when somebody dies, which takes seconds to be known. */
const FLEET_REFRESH_PERIODS = 5;

/** What an exchange is built on. */
export interface LoadExchangeOptions {
  readonly self: LoadMember;
  readonly loads: EndpointLoads;
  /** Everybody that is alive, this instance included. */
  readonly listFleet: () => readonly LoadMember[];
}

interface Reporter {
  readonly heardMs: number;
  readonly sources: ReadonlySet<string>;
}

/** The exchange of one instance. */
export interface LoadExchange {
  /** A period has passed; what is to be told. */
  advance(nowMs: number): AddressedTelling[];
  handle(update: ReceivedTelling, nowMs: number): void;
}

/** The shares that decide where calls go; what was learned of endpoints may wait for a repeat. */
function formatShares(shares: readonly EndpointShareOfLoad[]): string {
  return shares
    .map(({ endpoint, running, unreadTokens }) => `${endpoint}:${running}:${unreadTokens}`)
    .join(' ');
}

/** Builds the exchange of an instance that has heard nobody. */
export function createLoadExchange({ self, loads, listFleet }: LoadExchangeOptions): LoadExchange {
  const { remote } = loads;
  /** What the instances of the own group have, beside what `loads` holds of everybody. */
  const groupLoads = createRemoteLoads();
  /** Who reports here: when each was last heard, and the names its parts are kept under. */
  const reporters = new Map<string, Reporter>();
  /** When each head and each data centre was last heard. */
  const aggregatorsHeardMs = new Map<string, number>();
  const dataCentresHeardMs = new Map<string, number>();
  /** Heads that do not answer, and until when they are passed over. */
  const skippedUntilMs = new Map<string, number>();
  let addresses = new Map<string, string>();
  let aggregators: string[] = [];
  let localAggregators: string[] = [];
  let periods = 0;
  let isAggregator = true;
  let aggregator: { readonly name: string; readonly sinceMs: number } | undefined;
  let aggregatorHeardMs = -Infinity;
  /** The head whose table is in hand. */
  let tableFrom: string | undefined;
  let lastSent = '';
  let periodsSinceSent = 0;

  function updateFleet(): void {
    const fleet = listFleet();
    addresses = new Map(fleet.map(({ name, address }) => [name, address]));
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

  /** What was told under the other role would be counted twice under the new one. */
  function updateRole(): void {
    const wasAggregator = isAggregator;
    isAggregator =
      aggregators.includes(self.name) || localAggregators.length === 0 || reporters.size > 0;
    if (isAggregator === wasAggregator) return;
    remote.clear();
    groupLoads.clear();
    aggregator = undefined;
    tableFrom = undefined;
  }

  /**
   * Guards against a head that is dead, cut off or frozen, seconds before membership knows: it shows as
   * an instance that sends its calls by what it alone has under way. The next head takes its reports.
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
    scope: AddressedTelling['scope'],
    to: readonly string[],
    shares: readonly EndpointShareOfLoad[],
    nowMs: number,
  ): AddressedTelling {
    return {
      scope,
      shares,
      addresses: to.map((name) => addresses.get(name)).filter((address) => address !== undefined),
      heardDataCentres: scope === LOAD_SCOPE.Others ? listHeardDataCentres(nowMs) : [],
    };
  }

  /** What the others have, from the point of view of one of the group. */
  function buildOthersShares(
    member: string,
    fleet: readonly EndpointShareOfLoad[],
  ): EndpointShareOfLoad[] {
    const sources = [...(reporters.get(member)?.sources ?? [])];
    const reported = sources.flatMap((source) => groupLoads.listFrom(source));
    const own = new Map(reported.map((share) => [share.endpoint, share]));
    return fleet.flatMap((share) => {
      const part = own.get(share.endpoint);
      if (part === undefined) return [share];
      const rest: EndpointShareOfLoad = {
        endpoint: share.endpoint,
        running: share.running - part.running,
        urgent: share.urgent - part.urgent,
        unreadTokens: share.unreadTokens - part.unreadTokens,
        answers: Math.max(0, share.answers - part.answers),
        failures: Math.max(0, share.failures - part.failures),
        readTokens: Math.max(0, share.readTokens - part.readTokens),
        readMs: Math.max(0, share.readMs - part.readMs),
      };
      return rest.running > 0 || rest.readMs > 0 || rest.answers > 0 ? [rest] : [];
    });
  }

  function buildAggregatorUpdates(nowMs: number): AddressedTelling[] {
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

  /** Whether it is time to tell: at once what changed, now and then what did not. */
  function isDue(text: string): boolean {
    periodsSinceSent += 1;
    if (text === lastSent && periodsSinceSent < HEARTBEAT_PERIODS) return false;
    lastSent = text;
    periodsSinceSent = 0;
    return true;
  }

  function buildUpdates(nowMs: number): AddressedTelling[] {
    if (isAggregator) {
      const text = formatShares(reporters.size > 0 ? loads.listFleet(nowMs) : loads.listOwn(nowMs));
      return isDue(text) ? buildAggregatorUpdates(nowMs) : [];
    }
    const own = loads.listOwn(nowMs);
    if (aggregator === undefined || !isDue(formatShares(own))) return [];
    return [buildUpdate(LOAD_SCOPE.Own, [aggregator.name], own, nowMs)];
  }

  function handleReport({ instance, part, shares }: ReceivedTelling, nowMs: number): void {
    const source = `${instance}/${part}`;
    const sources = new Set([...(reporters.get(instance)?.sources ?? []), source]);
    reporters.set(instance, { heardMs: nowMs, sources });
    updateRole();
    remote.set(source, shares, true, nowMs);
    groupLoads.set(source, shares, true, nowMs);
  }

  function handleGroupLoad(
    { instance, dataCentre, part, shares }: ReceivedTelling,
    nowMs: number,
  ): void {
    aggregatorsHeardMs.set(instance, nowMs);
    if (!isAggregator) return;
    remote.set(`${instance}/${part}`, shares, dataCentre === self.dataCentre, nowMs);
  }

  function handleFleetLoad(update: ReceivedTelling, nowMs: number): void {
    const { instance, part, shares, heardDataCentres } = update;
    if (isAggregator || instance !== aggregator?.name) return;
    aggregatorHeardMs = nowMs;
    // What the head before said holds until this one speaks.
    if (tableFrom !== instance) remote.clear();
    tableFrom = instance;
    for (const heard of heardDataCentres) dataCentresHeardMs.set(heard, nowMs);
    remote.set(`${instance}/${part}`, shares, true, nowMs);
  }

  return {
    advance(nowMs) {
      if (periods % FLEET_REFRESH_PERIODS === 0) updateFleet();
      periods += 1;
      remote.removeExpired(nowMs, REMOTE_LOAD_AGE_MAX_MS);
      groupLoads.removeExpired(nowMs, REMOTE_LOAD_AGE_MAX_MS);
      removeExpired(nowMs);
      updateRole();
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
