/**
 * Who tells whom of the load at endpoints, free of I/O. Each instance reports what it has under way to
 * a head of its data centre, heads tell each other the sums of their groups, and each head tells those
 * that report to it what all others have. Whoever is reported to is a head, whatever it thinks of the
 * fleet itself, so that nothing has to be agreed on: a wrong choice costs one more telling.
 */
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import { createToldLoads, mergeShares } from '../placement/told-loads.js';
import type { EndpointShareOfLoad } from '../placement/told-loads.js';
import { assertNever } from '../utils/assert-never.js';
import { chooseHeads, listHeadsFor } from './choose-heads.js';
import type { LoadMember } from './choose-heads.js';
import { LOAD_SCOPE } from './load-telling.js';
import type { AddressedTelling, ReceivedTelling } from './load-telling.js';

/** What changed is told this often, in milliseconds: prompts queue for a few hundred. */
export const TELL_PERIOD_MS = 100;
/** What did not change is told again after this many periods: it is the heartbeat by which others see that they reach this instance. */
const REPEAT_PERIODS = 3;
/** What was told counts this long, in milliseconds: three repeats lost, or a busy machine's late timers. */
const TOLD_AGE_MAX_MS = 1000;
/** A head that answers no report for this long, in milliseconds, is passed over: it answers ten times a second. */
const HEAD_SILENT_MS = 500;
/** And for this long, in milliseconds, by when membership knows whether it is dead. */
const HEAD_PASSED_MS = 3000;
/** A data centre counts as heard for this long, in milliseconds: a repeat and a lost datagram. */
const HEARD_MS = 400;
/** The fleet is looked at anew after this many periods: heads change when somebody dies, which takes seconds to be known. */
const FLEET_PERIODS = 5;

/** What an exchange is built on. */
export interface LoadExchangeOptions {
  readonly self: LoadMember;
  readonly loads: EndpointLoads;
  /** Everybody that is alive, this instance included. */
  readonly listFleet: () => readonly LoadMember[];
}

interface Report {
  readonly heardMs: number;
  readonly sources: ReadonlySet<string>;
}

/** The exchange of one instance. */
export interface LoadExchange {
  /** A period has passed; what is to be told. */
  advance(nowMs: number): AddressedTelling[];
  handle(telling: ReceivedTelling, nowMs: number): void;
}

/** The shares that decide where calls go; what was learned of endpoints may wait for a repeat. */
function formatShares(shares: readonly EndpointShareOfLoad[]): string {
  return shares
    .map(({ endpoint, running, unreadTokens }) => `${endpoint}:${running}:${unreadTokens}`)
    .join(' ');
}

/** Builds the exchange of an instance that has heard nobody. */
export function createLoadExchange({ self, loads, listFleet }: LoadExchangeOptions): LoadExchange {
  const { told } = loads;
  /** What the instances of the own group have, beside what `loads` holds of everybody. */
  const group = createToldLoads();
  /** Who reports here: when each was last heard, and the names its parts are kept under. */
  const reports = new Map<string, Report>();
  /** When each head and each data centre was last heard. */
  const headsHeardMs = new Map<string, number>();
  const dataCentresHeardMs = new Map<string, number>();
  /** Heads that do not answer, and until when they are passed over. */
  const passedUntilMs = new Map<string, number>();
  let addresses = new Map<string, string>();
  let heads: string[] = [];
  let ownHeads: string[] = [];
  let periods = 0;
  let isHead = true;
  let head: { readonly name: string; readonly sinceMs: number } | undefined;
  let headHeardMs = -Infinity;
  /** The head whose table is in hand. */
  let toldBy: string | undefined;
  let lastTold = '';
  let periodsSinceTold = 0;

  function updateFleet(): void {
    const fleet = listFleet();
    addresses = new Map(fleet.map(({ name, address }) => [name, address]));
    heads = chooseHeads(fleet);
    const near = new Set(
      fleet.filter(({ dataCentre }) => dataCentre === self.dataCentre).map(({ name }) => name),
    );
    ownHeads = listHeadsFor(
      self.name,
      heads.filter((name) => near.has(name)),
    );
  }

  function removeSilent(nowMs: number): void {
    for (const [name, { heardMs }] of reports) {
      if (nowMs - heardMs > TOLD_AGE_MAX_MS) reports.delete(name);
    }
    for (const [name, heardMs] of headsHeardMs) {
      if (nowMs - heardMs > TOLD_AGE_MAX_MS) headsHeardMs.delete(name);
    }
  }

  /** What was told under the other role would be counted twice under the new one. */
  function updateRole(): void {
    const wasHead = isHead;
    isHead = heads.includes(self.name) || ownHeads.length === 0 || reports.size > 0;
    if (isHead === wasHead) return;
    told.clear();
    group.clear();
    head = undefined;
    toldBy = undefined;
  }

  /**
   * Guards against a head that is dead, cut off or frozen, seconds before membership knows: it shows as
   * an instance that sends its calls by what it alone has under way. The next head takes its reports.
   */
  function updateHead(nowMs: number): void {
    const silentMs = nowMs - Math.max(head?.sinceMs ?? nowMs, headHeardMs);
    if (head !== undefined && silentMs > HEAD_SILENT_MS) {
      passedUntilMs.set(head.name, nowMs + HEAD_PASSED_MS);
    }
    const answering = ownHeads.filter((name) => nowMs >= (passedUntilMs.get(name) ?? 0));
    const name = answering[0] ?? ownHeads[0];
    if (name === undefined || name === head?.name) return;
    head = { name, sinceMs: nowMs };
  }

  function listHeard(nowMs: number): string[] {
    return [...dataCentresHeardMs].filter(([, ms]) => nowMs - ms <= HEARD_MS).map(([name]) => name);
  }

  function buildTelling(
    scope: AddressedTelling['scope'],
    to: readonly string[],
    shares: readonly EndpointShareOfLoad[],
    nowMs: number,
  ): AddressedTelling {
    return {
      scope,
      shares,
      addresses: to.map((name) => addresses.get(name)).filter((address) => address !== undefined),
      heardDataCentres: scope === LOAD_SCOPE.Others ? listHeard(nowMs) : [],
    };
  }

  /** What the others have, from the point of view of one of the group. */
  function buildOthers(
    member: string,
    fleet: readonly EndpointShareOfLoad[],
  ): EndpointShareOfLoad[] {
    const sources = [...(reports.get(member)?.sources ?? [])];
    const reported = sources.flatMap((source) => group.listOf(source));
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

  function buildHeadTellings(nowMs: number): AddressedTelling[] {
    const others = new Set([...heads, ...headsHeardMs.keys()]);
    others.delete(self.name);
    const groupShares = mergeShares([loads.listOwn(nowMs), group.list()]);
    const tellings = [buildTelling(LOAD_SCOPE.Group, [...others], groupShares, nowMs)];
    const fleet = reports.size > 0 ? loads.listFleet(nowMs) : [];
    for (const member of reports.keys()) {
      tellings.push(buildTelling(LOAD_SCOPE.Others, [member], buildOthers(member, fleet), nowMs));
    }
    return tellings;
  }

  /** Whether it is time to tell: at once what changed, now and then what did not. */
  function isDue(text: string): boolean {
    periodsSinceTold += 1;
    if (text === lastTold && periodsSinceTold < REPEAT_PERIODS) return false;
    lastTold = text;
    periodsSinceTold = 0;
    return true;
  }

  function buildTellings(nowMs: number): AddressedTelling[] {
    if (isHead) {
      const text = formatShares(reports.size > 0 ? loads.listFleet(nowMs) : loads.listOwn(nowMs));
      return isDue(text) ? buildHeadTellings(nowMs) : [];
    }
    const own = loads.listOwn(nowMs);
    if (head === undefined || !isDue(formatShares(own))) return [];
    return [buildTelling(LOAD_SCOPE.Own, [head.name], own, nowMs)];
  }

  function handleReport({ instance, part, shares }: ReceivedTelling, nowMs: number): void {
    const source = `${instance}/${part}`;
    const sources = new Set([...(reports.get(instance)?.sources ?? []), source]);
    reports.set(instance, { heardMs: nowMs, sources });
    updateRole();
    told.set(source, shares, true, nowMs);
    group.set(source, shares, true, nowMs);
  }

  function handleGroup(
    { instance, dataCentre, part, shares }: ReceivedTelling,
    nowMs: number,
  ): void {
    headsHeardMs.set(instance, nowMs);
    if (!isHead) return;
    told.set(`${instance}/${part}`, shares, dataCentre === self.dataCentre, nowMs);
  }

  function handleOthers(telling: ReceivedTelling, nowMs: number): void {
    const { instance, part, shares, heardDataCentres } = telling;
    if (isHead || instance !== head?.name) return;
    headHeardMs = nowMs;
    // What the head before said holds until this one speaks.
    if (toldBy !== instance) told.clear();
    toldBy = instance;
    for (const heard of heardDataCentres) dataCentresHeardMs.set(heard, nowMs);
    told.set(`${instance}/${part}`, shares, true, nowMs);
  }

  return {
    advance(nowMs) {
      if (periods % FLEET_PERIODS === 0) updateFleet();
      periods += 1;
      told.advance(nowMs, TOLD_AGE_MAX_MS);
      group.advance(nowMs, TOLD_AGE_MAX_MS);
      removeSilent(nowMs);
      updateRole();
      if (!isHead) updateHead(nowMs);
      return buildTellings(nowMs);
    },
    handle(telling, nowMs) {
      dataCentresHeardMs.set(telling.dataCentre, nowMs);
      switch (telling.scope) {
        case LOAD_SCOPE.Own:
          handleReport(telling, nowMs);
          break;
        case LOAD_SCOPE.Group:
          handleGroup(telling, nowMs);
          break;
        case LOAD_SCOPE.Others:
          handleOthers(telling, nowMs);
          break;
        default:
          assertNever(telling.scope);
      }
    },
  };
}
