/** Logs events of the quarantine and records their metrics. */
import type { EndpointKey } from '../placement/remote-loads.js';
import { STANDING } from '../quarantine/crash-case.js';
import type { CrashCase } from '../quarantine/crash-case.js';
import type { QuarantineObserver } from '../quarantine/quarantine.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';

/** Parts named in the line of a crash. */
const LOGGED_PARTS_MAX = 64;

export interface QuarantineObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: CallMetrics;
  readonly getNow: () => number;
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
}

export function createQuarantineObserver(options: QuarantineObserverOptions): QuarantineObserver {
  const { log, metrics, getNow } = options;

  function listEndpoints({ crashes }: CrashCase): string[] {
    return [...crashes.keys()].map((start) => options.findName(start) ?? start.toString(16));
  }

  function computeAgeMs({ crashes }: CrashCase): number {
    const crashTimesMs = [...crashes.values()].map((crash) => crash.crashedMs);
    return crashTimesMs.length === 0 ? 0 : Math.round(getNow() - Math.max(...crashTimesMs));
  }

  return {
    onCrash({ endpoint, answers, evidence }) {
      metrics.recordCrash(evidence);
      log.write({
        event: 'endpoint_crashed',
        endpoint: endpoint.id,
        pool: endpoint.pool,
        evidence,
        contents: answers.map(({ content }) => content),
        parts: [...new Set(answers.flatMap(({ parts }) => parts))].slice(0, LOGGED_PARTS_MAX),
      });
    },
    onChanged({ subject, before, standing }, source) {
      if (standing === before) return;
      // A single crash is logged as `endpoint_crashed`, and most suspects are soon cleared.
      if (
        standing === STANDING.Suspect ||
        (before === STANDING.Suspect && standing === STANDING.Clear)
      )
        return;
      metrics.recordStanding(standing);
      log.write({
        event: 'content_judged',
        content: subject.content,
        standing,
        before,
        endpoints: listEndpoints(subject),
        source,
        ageMs: computeAgeMs(subject),
      });
    },
    onRefused(call, subject) {
      metrics.recordQuarantineRefusal();
      log.write({
        event: 'content_refused',
        request: call.callId,
        content: call.contentId,
        subject: subject?.content ?? '',
        endpoints: subject === undefined ? [] : listEndpoints(subject),
        organisation: call.organisation ?? '',
      });
    },
  };
}
