/** HTTP API for operators to list the pace of endpoints. */
import express from 'express';
import type { RequestHandler, Router } from 'express';
import type { KnownPace } from './endpoint-pace.js';

export interface PacesApiOptions {
  readonly checkOperator: RequestHandler;
  readonly listPaces: () => readonly KnownPace[];
  readonly getNow: () => number;
}

export interface ListedPace {
  readonly endpoint: string;
  readonly pool: string;
  readonly state: string;
  /** Running calls of all instances that it may have; null without a limit. */
  readonly limit: number | null;
  /** The part of the limit that the router may use; null without a limit. */
  readonly ownLimit: number | null;
  /** Time since the endpoint came to that state. */
  readonly sinceMs: number;
}

export function createPacesApi({ checkOperator, listPaces, getNow }: PacesApiOptions): Router {
  const router = express.Router();
  router.get('/paces', checkOperator, (_, response) => {
    const paces = listPaces().map(({ limit, ownLimit, sinceMs, ...pace }): ListedPace => ({
      ...pace,
      limit: limit ?? null,
      ownLimit: ownLimit ?? null,
      sinceMs: Math.round(getNow() - sinceMs),
    }));
    response.json({ paces });
  });
  return router;
}
