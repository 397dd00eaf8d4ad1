/** The HTTP API for operators: public health checks; status, metrics and leaving with the secret. */
import express from 'express';
import type { Express } from 'express';
import type { RouterStatus } from '../types/router-status.js';
import { createOperatorCheck } from './operator-check.js';

export interface OperatorApiOptions {
  readonly secret: string;
  readonly isReady: () => boolean;
  readonly getStatus: () => RouterStatus;
  readonly getMetrics: () => Readonly<Record<string, number>>;
  readonly onLeave: () => void;
}

export function createOperatorApi(options: OperatorApiOptions): Express {
  const app = express();
  app.disable('x-powered-by');
  const checkOperator = createOperatorCheck(options.secret);

  app.get('/healthz', (_, response) => {
    response.json({ status: 'alive' });
  });
  app.get('/readyz', (_, response) => {
    const isReady = options.isReady();
    response.status(isReady ? 200 : 503).json({ status: isReady ? 'ready' : 'not ready' });
  });
  app.get('/status', checkOperator, (_, response) => {
    response.json(options.getStatus());
  });
  app.get('/metrics', checkOperator, (_, response) => {
    response.json(options.getMetrics());
  });
  app.post('/leave', checkOperator, (_, response) => {
    options.onLeave();
    response.status(202).json({ status: 'leaving' });
  });
  return app;
}
