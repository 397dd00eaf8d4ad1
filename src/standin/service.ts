/** Stand-in for a plain service: echoes requests and counts how often each one ran. */
import express from 'express';
import type { Response } from 'express';
import { startHttpServer } from './http-server.js';
import type { RunningServer } from './http-server.js';

/** Injected faults; all are off initially. */
export interface ServiceFaults {
  /** Delay added to every request. */
  delayMs: number;
  /** Number of upcoming requests to run while dropping the response. */
  lostAnswers: number;
  /** Answers requests with status 503 without running them. */
  isRefusing: boolean;
  /** Serves, and says in every response that it is leaving; load reports do not say so. */
  saysLeaving: boolean;
  /** Turns requests away with status 503 and asks for this rest in seconds; 0: serves. */
  restSeconds: number;
  /** Drains: rejects requests without running them. */
  isLeaving: boolean;
}

export interface ServiceStandin extends RunningServer {
  readonly faults: ServiceFaults;
  /** Number of runs by idempotency key, or by request id if there is none. */
  readonly runs: ReadonlyMap<string, number>;
}

export async function startServiceStandin(name: string, port = 0): Promise<ServiceStandin> {
  const faults: ServiceFaults = {
    delayMs: 0,
    lostAnswers: 0,
    isRefusing: false,
    isLeaving: false,
    saysLeaving: false,
    restSeconds: 0,
  };
  const runs = new Map<string, number>();

  function sendResult(response: Response, result: object): void {
    if (faults.lostAnswers > 0) {
      faults.lostAnswers -= 1;
      response.destroy();
      return;
    }
    response.json(result);
  }

  const app = express();
  app.post('/faults', express.json(), (request, response) => {
    response.json(Object.assign(faults, request.body));
  });
  app.get('/runs', (_, response) => {
    response.json(Object.fromEntries(runs));
  });
  app.get('/load', (_, response) => {
    response.json({ running: 0, waiting: 0, isLeaving: faults.isLeaving, models: [], fence: 0 });
  });
  app.use(express.text({ type: () => true, limit: '1mb' }));
  app.use((request, response) => {
    if (faults.saysLeaving) response.set('x-endpoint-leaving', 'true');
    if (faults.restSeconds > 0) {
      response.status(503).set('retry-after', String(faults.restSeconds)).end();
      return;
    }
    if (faults.isLeaving) {
      response.status(503).set('x-endpoint-leaving', 'true').end();
      return;
    }
    if (faults.isRefusing) {
      response.status(503).end();
      return;
    }
    const key = request.get('idempotency-key') ?? request.get('x-request-id') ?? 'none';
    runs.set(key, (runs.get(key) ?? 0) + 1);
    const body = typeof request.body === 'string' ? request.body : '';
    const result = { service: name, method: request.method, path: request.originalUrl, body };
    setTimeout(() => sendResult(response, result), faults.delayMs);
  });
  const server = await startHttpServer(app, port);
  return { ...server, faults, runs };
}
