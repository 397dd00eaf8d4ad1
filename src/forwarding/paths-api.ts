/** HTTP API for operators to list paths to endpoints that are not open, and brittle endpoints. */
import express from 'express';
import type { RequestHandler, Router } from 'express';
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { KnownBrittle } from '../slot-shares/brittle-ledger.js';
import type { KnownPath } from './path-ledger.js';

export interface PathsApiOptions {
  readonly checkOperator: RequestHandler;
  readonly listPaths: () => readonly KnownPath[];
  readonly listBrittle: () => readonly KnownBrittle[];
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
  readonly getNow: () => number;
}

export interface ListedPath {
  /** Name of the endpoint, or its start where the name is unknown. */
  readonly endpoint: string;
  readonly state: string;
  readonly evidence: string;
  /** Time since the path came to that state. */
  readonly sinceMs: number;
}

export interface ListedBrittle {
  /** Name of the endpoint, or the hash of its start id where the name is unknown. */
  readonly endpoint: string;
  readonly rejectionsMax: number;
  /** 'own' or the name of the instance that reported it. */
  readonly source: string;
  /** Time since a response last said so. */
  readonly heardAgoMs: number;
}

export function createPathsApi(options: PathsApiOptions): Router {
  const { findName, getNow } = options;

  function buildListedPath({ start, state, evidence, sinceMs }: KnownPath): ListedPath {
    const endpoint = findName(hashStartId(start)) ?? start;
    return { endpoint, state, evidence, sinceMs: Math.round(getNow() - sinceMs) };
  }

  function buildListedBrittle(known: KnownBrittle): ListedBrittle {
    const { endpoint, rejectionsMax, source, heardMs } = known;
    return {
      endpoint: findName(endpoint) ?? endpoint.toString(16),
      rejectionsMax,
      source,
      heardAgoMs: Math.round(getNow() - heardMs),
    };
  }

  const router = express.Router();
  router.get('/paths', options.checkOperator, (_, response) => {
    response.json({ paths: options.listPaths().map(buildListedPath) });
  });
  router.get('/brittle', options.checkOperator, (_, response) => {
    response.json({ brittle: options.listBrittle().map(buildListedBrittle) });
  });
  return router;
}
