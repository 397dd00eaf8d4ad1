/** Schema of a single declaration file, before files are merged. */
import { z } from 'zod';
import { FENCING, POOL_KIND } from '../types/declarations.js';

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const nameSchema = z
  .string()
  .regex(NAME_PATTERN, 'use lower-case letters, digits and hyphens, at most 63 characters');

const keyHashSchema = z
  .string()
  .regex(
    /^sha256:[0-9a-f]{64}$/,
    'write sha256: and 64 hex digits, as `hyssoptally-ctl key` prints',
  );

const TIER_MAX = 16;
const DAY_MS = 86_400_000;

export const classSchema = z.strictObject({
  tier: z.number().int().min(0).max(TIER_MAX),
  firstTokenMs: z.number().positive().max(DAY_MS),
  betweenTokensMs: z.number().positive().max(DAY_MS),
  deadlineMs: z.number().positive().max(DAY_MS),
  floor: z.number().min(0).max(0.5).default(0),
});

export const organisationSchema = z.strictObject({
  keys: z.array(keyHashSchema).min(1),
  classes: z.array(nameSchema).min(1),
  defaultClass: nameSchema,
  pools: z.array(nameSchema).min(1),
  weight: z.number().positive().max(1000).default(1),
  limits: z
    .strictObject({
      concurrency: z.number().int().positive().default(64),
      requestsPerSecond: z.number().positive().default(100),
    })
    .default({ concurrency: 64, requestsPerSecond: 100 }),
});

export const endpointSchema = z.strictObject({
  url: z.url({ protocol: /^https?$/ }),
  dataCentre: nameSchema,
  slots: z.number().int().positive().max(4096),
});

export const poolSchema = z.strictObject({
  kind: z.enum([POOL_KIND.Engine, POOL_KIND.Service]),
  models: z.array(z.string().min(1)).default([]),
  fencing: z.enum([FENCING.Checked, FENCING.Ignored]).default(FENCING.Ignored),
  endpoints: z.record(nameSchema, endpointSchema),
});

export const fileSchema = z.strictObject({
  classes: z.record(nameSchema, classSchema).default({}),
  organisations: z.record(nameSchema, organisationSchema).default({}),
  pools: z.record(nameSchema, poolSchema).default({}),
});

export type DeclarationFile = z.infer<typeof fileSchema>;
