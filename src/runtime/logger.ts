/** Structured logs by winston: JSON lines on standard error; never prompt text, never keys. */
import winston from 'winston';

export type Logger = winston.Logger;

/** Log levels an operator can choose. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Builds a logger whose every line carries `fields`. */
export function createLogger(
  level: LogLevel | 'silent',
  fields: Readonly<Record<string, string>>,
): Logger {
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: fields,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Console({ stderrLevels: [...LOG_LEVELS] })],
  });
}
