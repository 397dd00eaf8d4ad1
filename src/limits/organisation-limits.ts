/**
 * Fleet-wide limits of organisations, enforced by each instance for its share. Shares follow the demand
 * that instances report to each other; without any demand they are even. Each side of a network
 * partition enforces the limit on its own.
 */
import type { DemandShare } from '../gen/peer_pb.js';
import { createBoundedMap } from '../utils/bounded-map.js';
import type { OrganisationDeclaration } from '../types/declarations.js';

const ORGANISATIONS_MAX = 8192;
const DEMAND_WINDOW_MS = 1000;
const DEMAND_ALPHA = 0.5;
/** Demand is reported from this share of the declared rate. */
const REPORTED_RATE_SHARE = 0.1;
/** Bounds the size of a report. */
const REPORTED_ORGANISATIONS_MAX = 16;
/** Relative change of demand that triggers a new report. */
const REPORT_CHANGE_SHARE = 0.25;
/** Bucket capacity, in seconds of the rate. */
export const BURST_SECONDS = 2;

/** Demand reported by other instances. */
export interface PeerDemand {
  /** Serving instances, including this one. */
  readonly instances: number;
  /** Demand of an organisation at other instances, in requests per second. */
  getDemand(organisation: string): number;
}

/** Result of a limit check. */
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

/** Enforces the limits of organisations at one instance. */
export interface OrganisationLimiter {
  /** Admits or refuses a request; `release` must follow once an admitted one ends. */
  take(organisation: OrganisationDeclaration, peers: PeerDemand, nowMs: number): LimitVerdict;
  release(organisation: string): void;
  /** Demand to report to peers, or undefined while the last report is current. */
  takeReport(nowMs: number): DemandShare[] | undefined;
}

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

  /** This instance's share of a fleet-wide limit, 0 to 1. */
  function computeShare(usage: Usage, peerDemand: number, instances: number): number {
    const evenShare = 1 / Math.max(1, instances);
    const total = usage.demand + peerDemand;
    if (total <= 0) return evenShare;
    // At least half an even share, so that an instance without recent demand can admit requests.
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
      const share = computeShare(usage, peerDemand, peers.instances);
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
      const reported = shares.slice(0, REPORTED_ORGANISATIONS_MAX);
      for (const share of reported) {
        const usage = usages.get(share.organisation);
        if (usage !== undefined) usage.reportedDemand = share.rate;
      }
      hasReported = reported.length > 0;
      return reported;
    },
  };
}
