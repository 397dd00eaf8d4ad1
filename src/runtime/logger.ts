/** Structured logs as JSON lines, by winston. Prompts and keys must not be logged. */
import winston from 'winston';

export type Logger = winston.Logger;

export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

export type LogStream = 'stdout' | 'stderr';

/**
 * Adds `fields` to every line.
 * @default stream 'stderr', since programs may read the standard output of a binary
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
