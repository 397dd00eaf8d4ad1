/** The quarantine of a gateway; stores condemned contents at the source so that they survive restarts of the fleet. */
import type { DecisionLog } from '../observability/decision-log.js';
import type { CaseChange, CaseReport } from '../quarantine/case-ledger.js';
import { CASE_STATE, createCaseRows } from '../quarantine/case-rows.js';
import type { CaseStore } from '../quarantine/case-rows.js';
import { STANDING } from '../quarantine/crash-case.js';
import type { CrashCase } from '../quarantine/crash-case.js';
import type { ConnectionResult } from '../quarantine/crash-detector.js';
import { createQuarantine } from '../quarantine/quarantine.js';
import type { Quarantine, QuarantineObserver } from '../quarantine/quarantine.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { RegisteredEndpoint } from '../types/traffic.js';

export interface CallQuarantineOptions {
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly observer: QuarantineObserver;
  readonly caseStore: CaseStore;
  /** Opens a separate connection to an endpoint as a probe; never rejects. */
  readonly checkConnection: (address: string) => Promise<ConnectionResult>;
  /** Whether the endpoint may have crashed because it had no room. */
  readonly mayLackRoom: (endpoint: RegisteredEndpoint) => boolean;
  readonly findEndpoint: (id: string) => RegisteredEndpoint | undefined;
}

export interface CallQuarantine {
  readonly quarantine: Quarantine;
  /** Starts or stops reading the stored rows, which only instances that watch the source do. */
  setReading(isReading: boolean): void;
  listCases(): readonly CrashCase[];
  /** Releases a content on all instances on behalf of an operator; false if the content is unknown. */
  releaseCase(content: string, who: string, reason: string): boolean;
}

export function createCallQuarantine(options: CallQuarantineOptions): CallQuarantine {
  const { timers, log, observer, caseStore } = options;
  const rows = createCaseRows({
    store: caseStore,
    timers,
    onReport: (report: CaseReport) => quarantine.merge([report], 'source'),
  });

  /** Called only for changes found by this instance, so that each is written once. */
  function storeOwnStanding({ subject, before, standing }: CaseChange): void {
    if (standing === before) return;
    if (standing === STANDING.Condemned) rows.add(subject, CASE_STATE.Condemned, '', '');
    else if (before === STANDING.Condemned) {
      rows.add(subject, CASE_STATE.Released, '', 'it ran to a whole answer');
    }
  }

  const quarantine = createQuarantine({
    checkConnection: options.checkConnection,
    findEndpoint: options.findEndpoint,
    mayLackRoom: options.mayLackRoom,
    takeTrialLease: (content) => caseStore.takeTrialLease(content),
    getNow: () => timers.clock.monotonicMs(),
    observer: {
      ...observer,
      onChanged(change, source) {
        observer.onChanged(change, source);
        if (source === 'own') storeOwnStanding(change);
      },
    },
  });

  return {
    quarantine,
    setReading: (isReading) => rows.setReading(isReading),
    listCases: () => quarantine.list(),
    releaseCase(content, who, reason) {
      const crashCase = quarantine.list().find((other) => other.content === content);
      if (crashCase === undefined) return false;
      rows.add(crashCase, CASE_STATE.Released, who, reason);
      log.write({ event: 'content_released', content, who, reason });
      return quarantine.release(content);
    },
  };
}
