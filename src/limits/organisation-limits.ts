/**
 * Limits of organisations over the whole fleet, held by each entry for its share. The share follows
 * the demand that entries report to each other; where peers cannot be heard it is an even split, so
 * that a cut never gives an organisation more than its limit within one side's sight.
 */
import type { DemandShare } from '../gen/peer_pb.js';
import { createBoundedMap } from '../utils/bounded-map.js';
import type { OrganisationDeclaration } from '../types/declarations.js';

const ORGANISATIONS_MAX = 8192;
const DEMAND_WINDOW_MS = 1000;
const DEMAND_ALPHA = 0.5;
/** Demand is reported once it is at least this part of the declared rate. */
const REPORTED_RATE_SHARE = 0.1;
/** Organisations reported at the most: a node's bytes must not grow with its organisations. */
const REPORTED_MAX = 16;
/** A report is renewed when demand differs from it by more than this part. */
const REPORT_CHANGE_SHARE = 0.25;
/** Seconds of rate an organisation may save up. */
const BURST_SECONDS = 2;

/** What peers report: their number, and the demand they see. */
export interface PeerDemand {
  /** Serving entries, this one included. */
  readonly entries: number;
  /** Demand of one organisation at other entries, requests a second. */
  getDemand(organisation: string): number;
}

/** Why a request is over a limit. */
export type LimitVerdict =
  | { readonly kind: 'admitted' }
  | {
      readonly kind: 'limited';
      readonly limit: 'concurrency' | 'rate';
      readonly retryAfterMs: number;
    };

interface Usage {
  running: number;
  bucketLevel: number;
  refilledMs: number;
  arrivals: number;
  windowMs: number;
  demand: number;
  reportedDemand: number;
}

/** Limits as one entry holds them. */
export interface OrganisationLimiter {
  /** Admits or refuses; an admitted request is given back with `release`. */
  take(organisation: OrganisationDeclaration, peers: PeerDemand, nowMs: number): LimitVerdict;
  release(organisation: string): void;
  /** Demand to report, or undefined while the last report still holds. */
  takeReport(nowMs: number): DemandShare[] | undefined;
}

/** Builds a limiter that has seen nothing. */
export function createOrganisationLimiter(): OrganisationLimiter {
  const usages = createBoundedMap<string, Usage>(ORGANISATIONS_MAX);
  const reportable = new Set<string>();
  let hasReported = false;

  function getUsage(organisation: OrganisationDeclaration, nowMs: number): Usage {
    const known = usages.get(organisation.name);
    if (known !== undefined) return known;
    const usage: Usage = {
      running: 0,
      bucketLevel: organisation.limits.requestsPerSecond * BURST_SECONDS,
      refilledMs: nowMs,
      arrivals: 0,
      windowMs: nowMs,
      demand: 0,
      reportedDemand: 0,
    };
    usages.set(organisation.name, usage);
    return usage;
  }

  function advanceDemand(usage: Usage, nowMs: number): void {
    const elapsedMs = nowMs - usage.windowMs;
    if (elapsedMs < DEMAND_WINDOW_MS) return;
    const windowDemand = (usage.arrivals * 1000) / elapsedMs;
    usage.demand += (windowDemand - usage.demand) * DEMAND_ALPHA;
    usage.arrivals = 0;
    usage.windowMs = nowMs;
  }

  /** This entry's part of a fleet-wide limit, 0 to 1. */
  function computeShare(usage: Usage, peerDemand: number, instances: number): number {
    const evenShare = 1 / Math.max(1, instances);
    const total = usage.demand + peerDemand;
    if (total <= 0) return evenShare;
    // Half an even share stays free, so that an entry whose demand just began is not shut out.
    return Math.max(evenShare / 2, Math.min(1, usage.demand / total));
  }

  return {
    take(organisation, peers, nowMs) {
      const usage = getUsage(organisation, nowMs);
      advanceDemand(usage, nowMs);
      usage.arrivals += 1;
      const { concurrency, requestsPerSecond } = organisation.limits;
      if (usage.demand >= requestsPerSecond * REPORTED_RATE_SHARE)
        reportable.add(organisation.name);
      const peerDemand = peers.getDemand(organisation.name);
      const share = computeShare(usage, peerDemand, peers.entries);
      const rate = requestsPerSecond * share;
      const refill = ((nowMs - usage.refilledMs) / 1000) * rate;
      usage.bucketLevel = Math.min(rate * BURST_SECONDS, usage.bucketLevel + refill);
      usage.refilledMs = nowMs;
      if (usage.bucketLevel < 1) {
        const retryAfterMs = Math.ceil(((1 - usage.bucketLevel) / Math.max(rate, 0.001)) * 1000);
        return { kind: 'limited', limit: 'rate', retryAfterMs };
      }
      if (usage.running >= Math.max(1, Math.ceil(concurrency * share))) {
        return { kind: 'limited', limit: 'concurrency', retryAfterMs: 1000 };
      }
      usage.bucketLevel -= 1;
      usage.running += 1;
      return { kind: 'admitted' };
    },
    release(organisation) {
      const usage = usages.get(organisation);
      if (usage !== undefined) usage.running = Math.max(0, usage.running - 1);
    },
    takeReport(nowMs) {
      let isReportStale = false;
      const shares: DemandShare[] = [];
      for (const name of reportable) {
        const usage = usages.get(name);
        if (usage !== undefined) {
          advanceDemand(usage, nowMs);
          const change = Math.abs(usage.demand - usage.reportedDemand);
          if (change > REPORT_CHANGE_SHARE * Math.max(usage.reportedDemand, 0.1))
            isReportStale = true;
          if (usage.demand < 0.05) reportable.delete(name);
          else {
            shares.push({
              $typeName: 'hyssoptally.peer.v1.DemandShare',
              organisation: name,
              rate: usage.demand,
            });
          }
        }
      }
      if (!isReportStale || (shares.length === 0 && !hasReported)) return undefined;
      shares.sort((a, b) => b.rate - a.rate);
      const reported = shares.slice(0, REPORTED_MAX);
      for (const share of reported) {
        const usage = usages.get(share.organisation);
        if (usage !== undefined) usage.reportedDemand = share.rate;
      }
      hasReported = reported.length > 0;
      return reported;
    },
  };
}
