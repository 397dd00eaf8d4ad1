/**
 * Writes decisions as JSON lines within a budget, so that a flood of refusals or a reader that stops
 * reading costs no call anything. Each kind of line has its own share; what is left out is counted
 * and said once a second.
 */
import type { Logger } from '../runtime/logger.js';
import type { TimerService } from '../runtime/timer-service.js';
import { LOG_KIND, resolveLogKind } from './log-events.js';
import type { LogEvent, LogKind } from './log-events.js';

const WINDOW_MS = 1000;
/** Lines of each kind in a second: 150 lines of 300 bytes are 45 KB a second at the most. */
const LINES_PER_WINDOW: Readonly<Record<LogKind, number>> = {
  [LOG_KIND.State]: 50,
  [LOG_KIND.Failure]: 60,
  [LOG_KIND.Served]: 40,
};
/** Bytes that may wait for a reader; beyond them lines are left out. */
const UNREAD_BYTES_MAX = 256 * 1024;

/** What a log writes to. */
export interface DecisionLogOptions {
  readonly logger: Logger;
  readonly timers: TimerService;
  /** Bytes written that nobody has read yet. */
  readonly countUnread: () => number;
}

/** The log of decisions. */
export interface DecisionLog {
  /** @default isGood true */
  write(event: LogEvent, isGood?: boolean): void;
}

/** Builds a log; its windows run from here on. */
export function createDecisionLog({
  logger,
  timers,
  countUnread,
}: DecisionLogOptions): DecisionLog {
  const written: Record<LogKind, number> = { state: 0, failure: 0, served: 0 };
  const leftOut: Record<LogKind, number> = { state: 0, failure: 0, served: 0 };

  function writeLine({ event, ...fields }: LogEvent): void {
    logger.log({ level: 'info', message: event, ...fields });
  }

  timers.subscribe(WINDOW_MS, () => {
    for (const kind of Object.values(LOG_KIND)) {
      written[kind] = 0;
      if (leftOut[kind] > 0 && countUnread() <= UNREAD_BYTES_MAX) {
        writeLine({ event: 'lines_left_out', kind, lines: leftOut[kind] });
        leftOut[kind] = 0;
      }
    }
  });

  return {
    write(event, isGood = true) {
      const kind = resolveLogKind(event, isGood);
      if (written[kind] >= LINES_PER_WINDOW[kind] || countUnread() > UNREAD_BYTES_MAX) {
        leftOut[kind] += 1;
        return;
      }
      written[kind] += 1;
      writeLine(event);
    },
  };
}
