/** HTTP API for operators to list the rate limits that endpoints name. */
import express from 'express';
import type { RequestHandler, Router } from 'express';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { KnownLimit } from './limit-ledger.js';

export interface LimitsApiOptions {
  readonly checkOperator: RequestHandler;
  readonly listLimits: () => readonly KnownLimit[];
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
  readonly getNow: () => number;
}

export interface ListedLimit {
  /** Name of the endpoint, or the hash of its start id where the name is unknown. */
  readonly endpoint: string;
  /** Hash of the start id. */
  readonly start: string;
  readonly perSecond: number;
  /** 'own' or the name of the instance that reported it. */
  readonly source: string;
  /** Time since this instance first heard of it. */
  readonly knownForMs: number;
  /** Time since a response last named it. */
  readonly observedAgoMs: number;
}

function buildListedLimit(options: LimitsApiOptions, limit: KnownLimit): ListedLimit {
  const nowMs = options.getNow();
  const start = limit.endpoint.toString(16);
  return {
    endpoint: options.findName(limit.endpoint) ?? start,
    start,
    perSecond: limit.perSecond ?? 0,
    source: limit.source,
    knownForMs: Math.round(nowMs - limit.learnedMs),
    observedAgoMs: Math.round(nowMs - limit.observedMs),
  };
}

export function createLimitsApi(options: LimitsApiOptions): Router {
  const router = express.Router();
  router.get('/limits', options.checkOperator, (_, response) => {
    const limits = options.listLimits().map((limit) => buildListedLimit(options, limit));
    response.json({ limits });
  });
  return router;
}
