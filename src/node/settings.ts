/** Settings of a router: their schema, defaults and validation. */
import { z } from 'zod';
import { LOG_LEVELS } from '../runtime/logger.js';

/** HOST:PORT; with port 0 the operating system chooses a port. */
const listenSchema = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'write HOST:PORT, for example 127.0.0.1:8080');

export const routerSettingsSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and hyphens'),
  dataCentre: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and hyphens'),
  callers: listenSchema,
  operators: listenSchema,
  peers: listenSchema,
  platformTable: z.url(),
  platformObjects: z.url(),
  platformInstances: z.url(),
  platformAccessKeyId: z.string().min(1),
  platformSecretAccessKey: z.string().min(1),
  platformToken: z.string().min(1),
  peerSecret: z.string().min(16, 'use at least 16 characters'),
  operatorSecret: z.string().min(16, 'use at least 16 characters'),
  seeds: z.array(z.string()),
  logLevel: z.enum([...LOG_LEVELS, 'silent']),
  statsdHost: z.string().min(1).optional(),
  statsdPort: z.number().int().min(1).max(65_535),
  claimWritesPerSecond: z.number().positive(),
  drainTimeoutMs: z.number().positive(),
  maxBodyBytes: z.number().int().positive(),
});

/** Validated settings with defaults applied. */
export type ResolvedRouterConfig = z.infer<typeof routerSettingsSchema>;

export const ROUTER_DEFAULTS = {
  callers: '127.0.0.1:0',
  operators: '127.0.0.1:0',
  peers: '127.0.0.1:0',
  seeds: [] as string[],
  logLevel: 'info',
  statsdPort: 8125,
  /** A claim takes two writes; nine instances stay within the platform's write limit. */
  claimWritesPerSecond: 40,
  drainTimeoutMs: 600_000,
  maxBodyBytes: 4_194_304,
} as const;

/** Settings as given by the user; those with defaults are optional. */
export type RouterOptions = Partial<ResolvedRouterConfig> &
  Omit<ResolvedRouterConfig, keyof typeof ROUTER_DEFAULTS | 'statsdHost'>;

export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** Validates settings; throws a `SettingsError` that lists each invalid one. */
export function resolveRouterConfig(options: RouterOptions): ResolvedRouterConfig {
  const parsed = routerSettingsSchema.safeParse({ ...ROUTER_DEFAULTS, ...options });
  if (parsed.success) return parsed.data;
  const lines = parsed.error.issues.map((issue) => {
    const key = String(issue.path[0] ?? '');
    const isSecret = /secret|token/i.test(key);
    const given = (options as Readonly<Record<string, unknown>>)[key];
    const shown = isSecret ? '(hidden)' : JSON.stringify(given);
    return `setting ${key} = ${shown}: ${issue.message}`;
  });
  throw new SettingsError(lines.join('\n'));
}
