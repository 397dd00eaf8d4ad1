/** The operators' view of the quarantine over HTTP: what it holds, and how to release it. */
import express from 'express';
import type { RequestHandler, Router } from 'express';
import { z } from 'zod';
import { computeStanding } from './crash-case.js';
import type { CrashCase, Standing } from './crash-case.js';

/** What the view shows and sets off. */
export interface QuarantineApiOptions {
  readonly checkOperator: RequestHandler;
  readonly listCases: () => readonly CrashCase[];
  /** False where nothing is known of the content. */
  readonly releaseCase: (content: string, who: string, reason: string) => boolean;
  readonly getNow: () => number;
}

/** One content as an operator sees it. */
export interface ListedCase {
  readonly content: string;
  readonly standing: Standing;
  readonly crashes: number;
  /** Since the last crash, in milliseconds; 0 where none counts. */
  readonly lastCrashAgoMs: number;
}

const RELEASE_SCHEMA = z.object({ who: z.string().min(1), reason: z.string().min(1) });

/** Cases as operators see them, the worst first. */
export function listForOperators(cases: readonly CrashCase[], nowMs: number): ListedCase[] {
  return cases
    .map((subject) => {
      const crashedMs = [...subject.strikes.values()].map((strike) => strike.crashedMs);
      return {
        content: subject.content,
        standing: computeStanding(subject),
        crashes: subject.strikes.size,
        lastCrashAgoMs: crashedMs.length === 0 ? 0 : Math.round(nowMs - Math.max(...crashedMs)),
      };
    })
    .sort((a, b) => b.crashes - a.crashes || a.lastCrashAgoMs - b.lastCrashAgoMs);
}

/** Builds the routes. */
export function createQuarantineApi(options: QuarantineApiOptions): Router {
  const router = express.Router();
  router.get('/quarantine', options.checkOperator, (_, response) => {
    response.json({ cases: listForOperators(options.listCases(), options.getNow()) });
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
