/** HTTP API for operators to list the timing of engines. */
import express from 'express';
import type { RequestHandler, Router } from 'express';

/** What an instance knows of the timing of one engine. */
export interface KnownTiming {
  readonly endpoint: string;
  readonly pool: string;
  /** Calls of all instances that run there. */
  readonly running: number;
  /** Expected mean pause of streams, in milliseconds, if one more call runs there; null while unknown. */
  readonly pauseMs: number | null;
  /** Time to read prompts relative to the pool; 1 while unknown. */
  readonly slowdown: number;
}

export interface TimingsApiOptions {
  readonly checkOperator: RequestHandler;
  readonly listTimings: () => readonly KnownTiming[];
}

export function createTimingsApi({ checkOperator, listTimings }: TimingsApiOptions): Router {
  const router = express.Router();
  router.get('/timings', checkOperator, (_, response) => {
    response.json({ timings: listTimings() });
  });
  return router;
}
