/** Requests wait for a runner while their machine is stopped with SIGTERM. */
/* eslint-disable no-await-in-loop, import-x/extensions -- steps are sequential; Node needs the written extension. */
import {
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

const SLOTS = 8;
const EVENT_MS = 200;
/** Drafts that keep the runner busy for 12 s. */
const LONG_DRAFTS = 8;
const LONG_EVENTS = 60;
const SHORT_DRAFTS = 3;
const SHORT_EVENTS = 5;
/** The platform gives a machine no new connections after two misses of its readiness, 2 s at most. */
const SENT_AFTER_MS = 1600;
const SENT_GAP_MS = 100;
const CALM_MS = 4000;
/** `loss_slack_ms` of the settings. */
const LOSS_SLACK_MS = 200;

function sendStream({ response, body }, headers) {
  const events = Number(body.toString());
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
  let next = 1;
  const timer = setInterval(() => {
    response.write(`id: ${next}\ndata: piece ${next}\n\n`);
    next += 1;
    if (next <= events) return;
    clearInterval(timer);
    response.end();
  }, EVENT_MS);
  response.on('close', () => clearInterval(timer));
}

async function run(record) {
  const store = await startStore(getHost(1));
  const runner = await startRunner(
    { host: getHost(2), id: 'i-1', slots: SLOTS, queue: 16 },
    sendStream,
  );
  const routes = [
    buildRoute('plan', 'streaming', 'llm', {
      priority: 2,
      target_latency_ms: 2000,
      gap_target_ms: 1000,
    }),
    buildRoute('tag', 'streaming', 'llm', {
      priority: 1,
      target_latency_ms: 500,
      gap_target_ms: 400,
    }),
    buildRoute('clause', 'streaming', 'llm', {
      priority: 0,
      target_latency_ms: 300,
      gap_target_ms: 250,
    }),
  ];
  const service = {
    name: 'llm',
    max_connections: 360,
    session_affinity: true,
    engine: { slots: SLOTS, kv_capacity_tokens: 600_000 },
  };
  store.set('op', 'config', buildConfiguration(1, routes, [service]));
  store.set('servers', runner.id, buildRunnerRow('llm', runner.address, SLOTS));
  const { routers } = await startRouters(1, store.address);
  const [router] = routers;
  router.child.on('exit', (code, signal) => record(`router: ended with ${code ?? signal}`));
  await waitMs(CALM_MS);

  async function sendDraft(id, events) {
    record(`client: sends ${id}`);
    const answer = await sendRequest(router, {
      method: 'POST',
      path: '/plan/1',
      id,
      body: String(events),
      headers: {
        'x-model': 'm',
        'x-token-count': '1000,400',
        'x-prompt-prefix': `5c1e07a2:500,${Buffer.from(id).toString('hex')}:500`,
      },
    });
    const result = answer.isComplete ? 'a whole answer' : `no whole answer (${answer.error})`;
    const status = answer.status === 0 ? 'no status' : answer.status;
    record(`client: ${id} has ${status}, ${result}, after ${Math.round(answer.tookMs)} ms`);
    return answer;
  }

  const longDrafts = [];
  for (let number = 1; number <= LONG_DRAFTS; number += 1) {
    longDrafts.push(sendDraft(`long-${number}`, LONG_EVENTS));
    await waitMs(30);
  }
  await waitMs(1000);
  record(`runner: ${runner.countActive()} of ${SLOTS} slots are taken`);
  if (hasTrouble) {
    record('platform: SIGTERM');
    router.child.kill('SIGTERM');
  }
  await waitMs(SENT_AFTER_MS);
  const shortDrafts = [];
  for (let number = 1; number <= SHORT_DRAFTS; number += 1) {
    shortDrafts.push(sendDraft(`short-${number}`, SHORT_EVENTS));
    await waitMs(SENT_GAP_MS);
  }
  const answers = await Promise.all(shortDrafts);
  await Promise.all(longDrafts);
  const ran = new Set(runner.runs.map(({ id }) => id));
  // None of these was at a runner, so the excuse of a runner still at work does not apply to them.
  const lost = answers.filter(
    ({ id, status, tookMs }) => status === 0 && tookMs > LOSS_SLACK_MS && !ran.has(id),
  );
  record(`read whole, never passed on, ended without an answer: ${lost.map(({ id }) => id)}`);
  return lost.length > 0;
}

runCase(import.meta.url, run);
