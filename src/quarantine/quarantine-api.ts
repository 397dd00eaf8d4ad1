/** HTTP API for operators to list crash cases and release contents. */
import express from 'express';
import type { RequestHandler, Router } from 'express';
import { z } from 'zod';
import { computeStanding } from './crash-case.js';
import type { CrashCase, Standing } from './crash-case.js';

export interface QuarantineApiOptions {
  readonly checkOperator: RequestHandler;
  readonly listCases: () => readonly CrashCase[];
  /** False if the content is unknown. */
  readonly releaseCase: (content: string, who: string, reason: string) => boolean;
  readonly getNow: () => number;
}

export interface ListedCase {
  readonly content: string;
  readonly standing: Standing;
  readonly crashes: number;
  /** Time since the last crash; 0 if there is none. */
  readonly lastCrashAgoMs: number;
}

const RELEASE_SCHEMA = z.object({ who: z.string().min(1), reason: z.string().min(1) });

/** Sorted by number of crashes, then by the most recent crash. */
export function listCases(cases: readonly CrashCase[], nowMs: number): ListedCase[] {
  return cases
    .map((subject) => {
      const crashedMs = [...subject.crashes.values()].map((crash) => crash.crashedMs);
      return {
        content: subject.content,
        standing: computeStanding(subject),
        crashes: subject.crashes.size,
        lastCrashAgoMs: crashedMs.length === 0 ? 0 : Math.round(nowMs - Math.max(...crashedMs)),
      };
    })
    .sort((a, b) => b.crashes - a.crashes || a.lastCrashAgoMs - b.lastCrashAgoMs);
}

export function createQuarantineApi(options: QuarantineApiOptions): Router {
  const router = express.Router();
  router.get('/quarantine', options.checkOperator, (_, response) => {
    response.json({ cases: listCases(options.listCases(), options.getNow()) });
  });
  router.post(
    '/quarantine/:content/release',
    options.checkOperator,
    express.json(),
    (request, response) => {
      const parsed = RELEASE_SCHEMA.safeParse(request.body);
      if (!parsed.success) {
        const message = 'who releases it and why are missing; send both as JSON';
        response.status(400).json({ error: { type: 'bad_request', message } });
        return;
      }
      const content = String(request.params.content);
      if (options.releaseCase(content, parsed.data.who, parsed.data.reason)) {
        response.json({ status: 'released' });
        return;
      }
      const message = `nothing is held under ${content}; list the quarantine for what is`;
      response.status(404).json({ error: { type: 'unknown_content', message } });
    },
  );
  return router;
}
