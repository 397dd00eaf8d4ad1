/** HTTP routes for operators: show who holds the duties, and make the holder step down. */
import express from 'express';
import type { RequestHandler, Router } from 'express';
import type { DutyStatus } from './fleet-duties.js';

export interface DutyApiOptions {
  readonly checkOperator: RequestHandler;
  /** Undefined if no duties are configured. */
  readonly getStatus: () => DutyStatus | undefined;
  /** False if this instance does not hold the duties. */
  readonly release: () => boolean;
}

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
