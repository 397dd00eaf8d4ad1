/**
 * Rate-limited log of decisions, as JSON lines. Each kind of line has its own limit, and all lines are
 * dropped while the reader is too far behind. The number of dropped lines is logged each second.
 */
import type { Logger } from '../runtime/logger.js';
import type { TimerService } from '../runtime/timer-service.js';
import { LOG_KIND, resolveLogKind } from './log-events.js';
import type { LogEvent, LogKind } from './log-events.js';

const RATE_WINDOW_MS = 1000;
const LINES_PER_WINDOW: Readonly<Record<LogKind, number>> = {
  [LOG_KIND.State]: 50,
  [LOG_KIND.Failure]: 60,
  [LOG_KIND.Served]: 40,
};
const UNREAD_BYTES_MAX = 256 * 1024;

export interface DecisionLogOptions {
  readonly logger: Logger;
  readonly timers: TimerService;
  /** Returns the number of bytes written but not yet read. */
  readonly countUnreadBytes: () => number;
}

export interface DecisionLog {
  /**
   * `isSuccess`: whether the call succeeded in time.
   * @default isSuccess true
   */
  write(event: LogEvent, isSuccess?: boolean): void;
}

export function createDecisionLog({
  logger,
  timers,
  countUnreadBytes,
}: DecisionLogOptions): DecisionLog {
  const written: Record<LogKind, number> = { state: 0, failure: 0, served: 0 };
  const dropped: Record<LogKind, number> = { state: 0, failure: 0, served: 0 };

  function writeLine({ event, ...fields }: LogEvent): void {
    logger.log({ level: 'info', message: event, ...fields });
  }

  timers.subscribe(RATE_WINDOW_MS, () => {
    for (const kind of Object.values(LOG_KIND)) {
      written[kind] = 0;
      if (dropped[kind] > 0 && countUnreadBytes() <= UNREAD_BYTES_MAX) {
        writeLine({ event: 'lines_left_out', kind, lines: dropped[kind] });
        dropped[kind] = 0;
      }
    }
  });

  return {
    write(event, isSuccess = true) {
      const kind = resolveLogKind(event, isSuccess);
      if (written[kind] >= LINES_PER_WINDOW[kind] || countUnreadBytes() > UNREAD_BYTES_MAX) {
        dropped[kind] += 1;
        return;
      }
      written[kind] += 1;
      writeLine(event);
    },
  };
}
