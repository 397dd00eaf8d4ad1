/** The operators' view of the fleet's duties over HTTP: who holds them, and how to have it step down. */
import express from 'express';
import type { RequestHandler, Router } from 'express';
import type { DutyStatus } from './fleet-duties.js';

/** What the view shows and sets off. */
export interface DutyApiOptions {
  readonly checkOperator: RequestHandler;
  /** Undefined where there are no duties. */
  readonly getStatus: () => DutyStatus | undefined;
  /** False where this instance does not hold them. */
  readonly release: () => boolean;
}

/** Builds the routes. */
export function createDutyApi(options: DutyApiOptions): Router {
  const router = express.Router();
  router.get('/duties', options.checkOperator, (_, response) => {
    response.json({ duties: options.getStatus() ?? null });
  });
  router.post('/duties/release', options.checkOperator, (_, response) => {
    if (options.release()) {
      response.json({ outcome: 'released; another instance takes them within two renewals' });
      return;
    }
    const message = 'this instance does not hold the duties; GET /duties names the one that does';
    response.status(409).json({ error: { type: 'conflict', message } });
  });
  return router;
}
