/**
 * One tenant's client sends a wrong number in `X-Token-Count`. Clients of another tenant send orders
 * on kept connections meanwhile.
 */
/* eslint-disable no-restricted-syntax, no-await-in-loop, import-x/extensions -- Node 20 runs for-of natively and needs the written extension; steps are sequential. */
import { Agent, request as sendHttp } from 'node:http';
import {
  KEY,
  buildConfiguration,
  buildRoute,
  buildRunnerRow,
  getHost,
  hasTrouble,
  runCase,
  sendRequest,
  startRouters,
  waitMs,
} from '../lib/deployment.mjs';
import { startRunner, startStore } from '../lib/standins.mjs';

const OTHER_KEY = 'key-of-the-stalls';
const MACHINES = 3;
const CLIENTS_PER_MACHINE = 8;
const ORDER_MS = 300;
/** Memory of a runner of models, in tokens. */
const MEMORY_TOKENS = 600_000;
/** A client's mistake: the time of day in milliseconds in place of the size of the prompt. */
const WRONG_TOKENS = 1_796_400_000_000;
const RIGHT_TOKENS = 1460;
const PROMPT_PERIOD_MS = 50;
const PROMPTS_FOR_MS = 15_000;
const RESTART_MS = 500;
/** The rule allows as many for each machine. */
const CLOSED_MAX = 3;

function answerOrder({ response, body }, headers) {
  const timer = setTimeout(() => {
    response.writeHead(200, { ...headers, 'Content-Type': 'text/plain' });
    response.end(`recorded ${body}`);
  }, ORDER_MS);
  response.on('close', () => clearTimeout(timer));
}

/** Rejects a request that is larger than its memory as if it were full. */
function answerPrompt({ request, response }, headers) {
  let next = 1;
  const timer = setInterval(() => {
    response.write(`id: ${next}\ndata: piece ${next}\n\n`);
    next += 1;
    if (next <= 5) return;
    clearInterval(timer);
    response.end();
  }, 20);
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
  response.on('close', () => clearInterval(timer));
  request.resume();
}

const isTooLarge = (request) =>
  Number(request.headers['x-token-count']?.split(',')[0] ?? 0) > MEMORY_TOKENS;

/** Sends an order on the client's kept connection. */
function sendOrder(router, agent, id) {
  return new Promise((done) => {
    const sent = sendHttp(
      {
        host: router.host,
        port: router.port,
        method: 'POST',
        path: '/order/1',
        agent,
        headers: {
          host: 'h.example',
          'x-attempt-id': id,
          'x-deadline-ms': '2500',
          authorization: `Bearer ${KEY}`,
        },
      },
      (answer) => {
        answer.resume();
        answer.on('end', () => done({ status: answer.statusCode, isKept: sent.reusedSocket }));
        answer.on('error', () => done({ status: 0, isKept: sent.reusedSocket }));
      },
    );
    sent.on('error', (error) => done({ status: 0, isKept: sent.reusedSocket, error: error.code }));
    sent.end(`order ${id}`);
  });
}

async function run(record) {
  const store = await startStore(getHost(1));
  const apps = [];
  const models = [];
  for (let index = 0; index < 3; index += 1) {
    apps.push(
      await startRunner({ host: getHost(2 + index), id: `i-app-${index}`, slots: 40 }, answerOrder),
    );
    models.push(
      await startRunner(
        { host: getHost(5 + index), id: `i-llm-${index}`, slots: 64, isTooLarge },
        answerPrompt,
      ),
    );
  }
  const routes = [
    buildRoute('order', 'non_idempotent', 'app', { timeout_ms: 2500, target_latency_ms: 400 }),
    buildRoute('draft', 'streaming', 'llm', {
      priority: 1,
      target_latency_ms: 500,
      gap_target_ms: 400,
      timeout_ms: 5000,
    }),
    buildRoute('lookup', 'streaming', 'llm', {
      priority: 0,
      target_latency_ms: 300,
      gap_target_ms: 250,
      timeout_ms: 5000,
    }),
  ];
  const services = [
    { name: 'app', max_connections: 100 },
    {
      name: 'llm',
      max_connections: 360,
      session_affinity: true,
      engine: { slots: 64, kv_capacity_tokens: MEMORY_TOKENS },
    },
  ];
  const tenants = [
    { name: 'depots', api_keys: [KEY], priority: 1 },
    { name: 'stalls', api_keys: [OTHER_KEY], priority: 1 },
  ];
  store.set('op', 'config', buildConfiguration(1, routes, services, tenants));
  for (const runner of apps)
    store.set('servers', runner.id, buildRunnerRow('app', runner.address, 40));
  for (const runner of models)
    store.set('servers', runner.id, buildRunnerRow('llm', runner.address, 64));
  const fleet = await startRouters(MACHINES, store.address);
  let isOver = false;
  let ends = 0;

  function watchProcess(router) {
    const { child } = router;
    child.on('exit', (code, signal) => {
      if (isOver) return;
      ends += 1;
      const reason = /"message":"failed","reason":"([^"]*)"/.exec(router.readLog().slice(-2000));
      record(`${router.name}: its process ends by itself with ${code ?? signal}: ${reason?.[1]}`);
      setTimeout(() => {
        if (isOver) return;
        router.restart();
        watchProcess(router);
      }, RESTART_MS);
    });
  }
  for (const router of fleet.routers) watchProcess(router);
  // From here on all machines are in touch.
  await waitMs(4000);

  const untilMs = performance.now() + PROMPTS_FOR_MS;
  const closed = new Map();
  let orders = 0;
  let answered = 0;

  async function runClient(router, number) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (performance.now() < untilMs) {
      orders += 1;
      const id = `order-${router.name}-${number}-${orders}`;
      const { status, isKept, error } = await sendOrder(router, agent, id);
      if (status !== 0) answered += 1;
      const hasRun = apps.some(({ runs }) => runs.some((each) => each.id === id));
      if (status === 0 && isKept && hasRun) {
        closed.set(router.name, (closed.get(router.name) ?? 0) + 1);
        record(`${id}: run by a runner, its kept connection is closed with no answer (${error})`);
      }
      if (status === 0) await waitMs(200);
    }
    agent.destroy();
  }

  const clients = fleet.routers.flatMap((router) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, (_, number) => runClient(router, number)),
  );
  const statuses = new Map();
  const tokens = hasTrouble ? WRONG_TOKENS : RIGHT_TOKENS;
  await waitMs(1500);
  for (let number = 0; performance.now() < untilMs; number += 1) {
    const router = fleet.routers[number % MACHINES];
    sendRequest(router, {
      method: 'POST',
      path: '/lookup/1',
      id: `lookup-${number}`,
      key: OTHER_KEY,
      body: 'prompt',
      headers: {
        'x-deadline-ms': '5000',
        'x-model': 'm',
        'x-token-count': `${tokens},80`,
        'x-prompt-prefix': `5c1e07a2:800,e4402b${number}:660`,
      },
    }).then(({ status, error }) => {
      const key = status === 0 ? error : status;
      statuses.set(key, (statuses.get(key) ?? 0) + 1);
    });
    await waitMs(PROMPT_PERIOD_MS);
  }
  await Promise.all(clients);
  isOver = true;
  record(
    `lookups of the tenant 'stalls' with X-Token-Count ${tokens},80: ${JSON.stringify([...statuses])}`,
  );
  record(`orders of the tenant 'depots': ${orders} sent, ${answered} answered`);
  record(`processes that ended by themselves: ${ends}`);
  record(`orders that ran and got no answer on a kept connection: ${JSON.stringify([...closed])}`);
  fleet.stop();
  store.stop();
  for (const runner of [...apps, ...models]) runner.stop();
  return Math.max(0, ...closed.values()) > CLOSED_MAX;
}

runCase(import.meta.url, run);
