/** HTTP API for operators to list the endpoints that said that they are leaving or want rest. */
import express from 'express';
import type { RequestHandler, Router } from 'express';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { KnownNotice } from './availability-ledger.js';

export interface AvailabilityApiOptions {
  readonly checkOperator: RequestHandler;
  readonly listNotices: () => readonly KnownNotice[];
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
  readonly getNow: () => number;
}

export interface ListedNotice {
  /** Name of the endpoint, or the hash of its start id where the name is unknown. */
  readonly endpoint: string;
  /** Hash of the start id. */
  readonly start: string;
  readonly notice: string;
  /** 'own' or the name of the instance that reported it. */
  readonly source: string;
  /** Time since a response last said so. */
  readonly heardAgoMs: number;
  readonly endsInMs: number;
}

function buildListedNotice(options: AvailabilityApiOptions, notice: KnownNotice): ListedNotice {
  const nowMs = options.getNow();
  const start = notice.endpoint.toString(16);
  return {
    endpoint: options.findName(notice.endpoint) ?? start,
    start,
    notice: notice.kind,
    source: notice.source,
    heardAgoMs: Math.round(nowMs - notice.heardMs),
    endsInMs: Math.max(0, Math.round(notice.untilMs - nowMs)),
  };
}

export function createAvailabilityApi(options: AvailabilityApiOptions): Router {
  const router = express.Router();
  router.get('/notices', options.checkOperator, (_, response) => {
    const notices = options.listNotices().map((notice) => buildListedNotice(options, notice));
    response.json({ notices });
  });
  return router;
}
