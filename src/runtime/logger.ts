/** Structured logs by winston: JSON lines; never prompt text, never keys. */
import winston from 'winston';

export type Logger = winston.Logger;

/** Log levels an operator can choose. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Where lines go. */
export type LogStream = 'stdout' | 'stderr';

/**
 * Builds a logger whose every line carries `fields`.
 * @default stream 'stderr', since a binary's own output may be read by programs
 */
export function createLogger(
  level: LogLevel | 'silent',
  fields: Readonly<Record<string, string>>,
  stream: LogStream = 'stderr',
): Logger {
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: fields,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      new winston.transports.Console({ stderrLevels: stream === 'stderr' ? [...LOG_LEVELS] : [] }),
    ],
  });
}
