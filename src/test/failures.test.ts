/** Fault injection on separate processes: kills, freezes, outages, lost responses, drains. */
import { randomUUID } from 'node:crypto';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import test from 'ava';
import { request } from 'undici';
import { createCompletionClient } from '../load/completion-client.js';
import { buildCompletion } from '../standin/completion.js';
import { describe } from './describe.js';
import { fetchStatus, sendRequest, setFaults, waitFor } from './http.js';
import type { HttpResponse } from './http.js';
import { startProcessFleet, TEST_KEY, TEST_MODEL } from './process-fleet.js';
import type { ProcessFleet, ProcessFleetOptions } from './process-fleet.js';
import { startRouterProcess, stopProcesses } from './processes.js';

const RESPONSE_TOKENS_MAX = 400;
const LONG_PROMPT = 'a long history [length:60]';
const FAULT_AFTER_TOKENS = 10;
const fleets: ProcessFleet[] = [];
const client = createCompletionClient();

test.afterEach.always(async () => {
  await Promise.all(fleets.splice(0).map((fleet) => fleet.stop()));
});

test.after.always(async () => {
  await client.close();
  stopProcesses();
});

async function startFleet(options: ProcessFleetOptions = {}): Promise<ProcessFleet> {
  const fleet = await startProcessFleet(options);
  fleets.push(fleet);
  return fleet;
}

function getCallerUrl(fleet: ProcessFleet, index: number): string {
  return fleet.routers[index]?.addresses.callers ?? '';
}

function getOperatorUrl(fleet: ProcessFleet, index: number): string {
  return fleet.routers[index]?.addresses.operators ?? '';
}

function sendCompletion(fleet: ProcessFleet, index: number, prompt: string, onText?: () => void) {
  return client.send({
    url: getCallerUrl(fleet, index),
    key: TEST_KEY,
    model: TEST_MODEL,
    prompt,
    ...(onText === undefined ? {} : { onText }),
  });
}

function sendOrder(fleet: ProcessFleet, index: number, key: string, body = '{"crates":3}') {
  return sendRequest(`${getCallerUrl(fleet, index)}/services/stores/orders`, {
    headers: {
      authorization: `Bearer ${TEST_KEY}`,
      'content-type': 'application/json',
      'x-hyssoptally-repeatable': 'false',
      'idempotency-key': key,
    },
    body,
  });
}

async function setEngineFaults(fleet: ProcessFleet, faults: object): Promise<void> {
  await Promise.all(fleet.engines.map((engine) => setFaults(engine.addresses.url ?? '', faults)));
}

function getOutcome(response: HttpResponse): string | undefined {
  return (response.json as { error?: { outcome: string } }).error?.outcome;
}

async function countRuns(fleet: ProcessFleet, key: string): Promise<number> {
  const response = await sendRequest(`${fleet.service.addresses.url}/runs`);
  return (response.json as Record<string, number>)[key] ?? 0;
}

async function countInvariantBreaches(
  fleet: ProcessFleet,
  indexes: readonly number[],
): Promise<number> {
  const statuses = await Promise.all(
    indexes.map((index) => fetchStatus(getOperatorUrl(fleet, index))),
  );
  return statuses.reduce((sum, status) => sum + status.invariantBreaches, 0);
}

/** The index of the first engine that has a completion in progress, or -1. */
async function findBusyEngine(fleet: ProcessFleet): Promise<number> {
  const counts = await Promise.all(
    fleet.engines.map((engine) => sendRequest(`${engine.addresses.url}/counts`)),
  );
  return counts.findIndex(({ json }) => {
    const { started, completed, cancelled } = json as {
      started: Record<string, number>;
      completed: number;
      cancelled: number;
    };
    return Object.keys(started).length > completed + cancelled;
  });
}

/** Sends a long completion and injects a fault after `FAULT_AFTER_TOKENS` tokens. */
function sendWithFault(fleet: ProcessFleet, injectFault: () => void) {
  let tokens = 0;
  return sendCompletion(fleet, 0, LONG_PROMPT, () => {
    tokens += 1;
    if (tokens === FAULT_AFTER_TOKENS) injectFault();
  });
}

/** Sends a long completion and signals its engine after `FAULT_AFTER_TOKENS` tokens. */
function sendWithEngineSignal(fleet: ProcessFleet, signal: NodeJS.Signals) {
  return sendWithFault(fleet, () => {
    findBusyEngine(fleet)
      .then((index) => fleet.engines[index]?.sendSignal(signal))
      .catch(() => undefined);
  });
}

/** Sends enough short completions for the routers to estimate the engines' token timing. */
async function sendWarmUpRequests(fleet: ProcessFleet): Promise<void> {
  await Promise.all(
    Array.from({ length: 12 }, (_, index) => sendCompletion(fleet, 0, `warm ${index} [length:4]`)),
  );
}

describe('process failures', ({ itSerial: it }) => {
  it('an engine killed during a stream', async (t) => {
    // Guards against truncated streams: another engine must continue from the next token.
    const fleet = await startFleet({ stepMs: 20 });
    const result = await sendWithEngineSignal(fleet, 'SIGKILL');
    t.true(result.isWhole);
    t.is(result.text, buildCompletion(LONG_PROMPT, RESPONSE_TOKENS_MAX));
    t.is(await countInvariantBreaches(fleet, [0, 1]), 0);
  });

  it('an engine frozen during a stream', async (t) => {
    // Guards against hanging streams: a stopped process keeps its connections open and sends
    // nothing. The router detects it by the learned token timing.
    const fleet = await startFleet({ stepMs: 20 });
    await sendWarmUpRequests(fleet);
    const result = await sendWithEngineSignal(fleet, 'SIGSTOP');
    t.true(result.isWhole);
    t.is(result.text, buildCompletion(LONG_PROMPT, RESPONSE_TOKENS_MAX));
  });

  it('open connections that silently drop all data', async (t) => {
    // Guards against hanging streams and the reuse of dead idle connections: none is closed, and
    // only new connections work.
    const fleet = await startFleet({ stepMs: 20, hasRelays: true });
    await sendWarmUpRequests(fleet);
    const result = await sendWithFault(fleet, () => {
      for (const relay of fleet.relays) relay.stallOpenConnections();
    });
    t.true(result.isWhole, result.errorType);
    t.is(result.text, buildCompletion(LONG_PROMPT, RESPONSE_TOKENS_MAX));
    const prompt = 'after that [length:5]';
    const next = await sendCompletion(fleet, 1, prompt);
    t.is(next.text, buildCompletion(prompt, RESPONSE_TOKENS_MAX));
  });

  it('misrouted, duplicated and reordered frames', async (t) => {
    // Guards against a caller receiving frames of another request, or its own frames twice or out
    // of order.
    const fleet = await startFleet();
    const faults = { crossedFrames: 20, duplicateFrames: 20, reorderedFrames: 4 };
    await setEngineFaults(fleet, faults);
    const prompts = Array.from({ length: 8 }, (_, index) => `mixed ${index} [length:20]`);
    const results = await Promise.all(
      prompts.map((prompt, index) => sendCompletion(fleet, index % 2, prompt)),
    );
    results.forEach((result, index) => {
      t.true(result.isWhole);
      t.is(result.text, buildCompletion(prompts[index] ?? '', RESPONSE_TOKENS_MAX));
    });
  });

  it('a stream that ends cleanly without its end marker', async (t) => {
    // Guards against taking a truncated stream for complete: the engine ends it after five tokens.
    const fleet = await startFleet();
    await setEngineFaults(fleet, { truncatedAnswers: 1 });
    const prompt = 'a consignment note [length:30]';
    const result = await sendCompletion(fleet, 0, prompt);
    t.true(result.isWhole);
    t.is(result.text, buildCompletion(prompt, RESPONSE_TOKENS_MAX));
  });

  it('a non-repeatable request whose response is lost', async (t) => {
    // Guards against duplicate execution: the service ran the request, so the router must neither
    // retry it, nor report it as not run, nor let a second attempt through.
    const fleet = await startFleet();
    await setFaults(fleet.service.addresses.url ?? '', { lostAnswers: 1 });
    const key = randomUUID();
    const first = await sendOrder(fleet, 0, key);
    t.is(getOutcome(first), 'may_have_run');
    const second = await sendOrder(fleet, 1, key);
    t.is(getOutcome(second), 'may_have_run');
    t.is(await countRuns(fleet, key), 1);
  });

  it('the same non-repeatable request through two instances at once', async (t) => {
    // Guards against duplicate execution when a caller retries through another instance while the
    // first attempt is in progress.
    const fleet = await startFleet();
    await setFaults(fleet.service.addresses.url ?? '', { delayMs: 300 });
    const key = randomUUID();
    const responses = await Promise.all([0, 1, 0, 1].map((index) => sendOrder(fleet, index, key)));
    t.is(await countRuns(fleet, key), 1);
    t.is(responses.filter(({ status }) => status === 200).length, 1);
    for (const response of responses.filter(({ status }) => status !== 200)) {
      t.is(getOutcome(response), 'may_have_run');
    }
    const other = await sendOrder(fleet, 0, key, '{"crates":4}');
    t.is(other.status, 422);
    t.is(getOutcome(other), 'not_run');
  });

  it('a platform outage', async (t) => {
    // Guards against refusing all requests while the table is down: only non-repeatable requests
    // are refused, as not run.
    const fleet = await startFleet();
    await setFaults(fleet.platform.addresses.url ?? '', { isDown: true });
    const key = randomUUID();
    const refused = await sendOrder(fleet, 0, key);
    t.is(refused.status, 503);
    t.is(getOutcome(refused), 'not_run');
    t.truthy(refused.headers['retry-after']);
    t.is(await countRuns(fleet, key), 0);
    const prompt = 'still served [length:8]';
    t.is(
      (await sendCompletion(fleet, 1, prompt)).text,
      buildCompletion(prompt, RESPONSE_TOKENS_MAX),
    );
    await setFaults(fleet.platform.addresses.url ?? '', { isDown: false });
    t.is((await sendOrder(fleet, 0, key)).status, 200);
    t.is(await countRuns(fleet, key), 1);
  });

  it('a claim that is written although its response is lost', async (t) => {
    // Guards against refusing a request whose claim was written: the instance must read the claim
    // back and recognise it as its own.
    const fleet = await startFleet();
    await setFaults(fleet.platform.addresses.url ?? '', { lostAnswers: 1 });
    const key = randomUUID();
    t.is((await sendOrder(fleet, 0, key)).status, 200);
    t.is(await countRuns(fleet, key), 1);
  });

  it('a claim that is written after its instance timed out', async (t) => {
    // Guards against duplicate execution and an unusable key: the claim takes effect after the
    // not_run response. The next instance must ask the claim's holder whether the request was sent.
    const fleet = await startFleet();
    const faults = { lateWrites: 1, lateWriteMs: 2500 };
    await setFaults(fleet.platform.addresses.url ?? '', faults);
    const key = randomUUID();
    const first = await sendOrder(fleet, 0, key);
    t.is(getOutcome(first), 'not_run');
    await new Promise((resolve) => {
      setTimeout(resolve, 1500);
    });
    t.is((await sendOrder(fleet, 1, key)).status, 200);
    t.is(await countRuns(fleet, key), 1);
  });

  it('an instance killed while it holds a claim', async (t) => {
    // Guards against duplicate execution: the claim's holder sent the request and cannot be asked,
    // so the next instance must not assume that the request never ran.
    const fleet = await startFleet();
    await setFaults(fleet.service.addresses.url ?? '', { delayMs: 1000 });
    const key = randomUUID();
    const interrupted = sendOrder(fleet, 0, key).catch(() => undefined);
    await waitFor('the service runs the request', async () => (await countRuns(fleet, key)) === 1);
    fleet.routers[0]?.sendSignal('SIGKILL');
    await interrupted;
    const second = await sendOrder(fleet, 1, key);
    t.is(getOutcome(second), 'may_have_run');
    t.is(await countRuns(fleet, key), 1);
  });

  it('a frozen instance that owns a shard', async (t) => {
    // Guards against hanging requests: the instance that grants slots stops responding and keeps
    // its connections open, so others must stop waiting and grant slots themselves.
    const fleet = await startFleet({ routers: 3 });
    const statuses = await Promise.all(
      [0, 1, 2].map((index) => fetchStatus(getOperatorUrl(fleet, index))),
    );
    const ownerIndex = statuses.findIndex((status) =>
      status.shards.some((shard) => shard.shard.startsWith('language-model')),
    );
    fleet.routers[ownerIndex]?.sendSignal('SIGSTOP');
    const others = [0, 1, 2].filter((index) => index !== ownerIndex);
    const prompts = others.map((index) => `through ${index} [length:10]`);
    const results = await Promise.all(
      others.map((index, position) => sendCompletion(fleet, index, prompts[position] ?? '')),
    );
    fleet.routers[ownerIndex]?.sendSignal('SIGCONT');
    results.forEach((result, position) => {
      t.true(result.isWhole, result.errorType);
      t.is(result.text, buildCompletion(prompts[position] ?? '', RESPONSE_TOKENS_MAX));
    });
    await waitFor('the resumed instance lists all members as alive', async () => {
      const status = await fetchStatus(getOperatorUrl(fleet, ownerIndex));
      return status.members.every((member) => member.state === 'alive');
    });
  });

  it('SIGTERM, twice, during streams and orders', async (t) => {
    // Guards against requests cut off by a roll-out: a draining instance completes running requests
    // and still serves new ones from the load balancer; a second SIGTERM must not change that.
    const fleet = await startFleet({ stepMs: 30 });
    const prompt = 'a long draft [length:100]';
    const running = sendCompletion(fleet, 0, prompt);
    await setFaults(fleet.service.addresses.url ?? '', { delayMs: 1500 });
    const order = sendOrder(fleet, 0, randomUUID());
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    fleet.routers[0]?.sendSignal('SIGTERM');
    await waitFor('/readyz responds 503', async () => {
      const response = await sendRequest(`${getOperatorUrl(fleet, 0)}/readyz`);
      return response.status === 503;
    });
    fleet.routers[0]?.sendSignal('SIGTERM');
    await waitFor('the other instance lists it as leaving', async () => {
      const status = await fetchStatus(getOperatorUrl(fleet, 1));
      return status.members.some(({ name, state }) => name === 'entry-1' && state === 'leaving');
    });
    const lateResult = await sendCompletion(fleet, 0, 'a late comer [length:5]');
    t.true(lateResult.isWhole);
    t.is((await running).text, buildCompletion(prompt, RESPONSE_TOKENS_MAX));
    t.is((await order).status, 200);
    t.is(await fleet.routers[0]?.waitForExit(), 0);
  });

  it('SIGTERM while the platform is down', async (t) => {
    const fleet = await startFleet({ stepMs: 30 });
    await setFaults(fleet.platform.addresses.url ?? '', { isSilent: true });
    const prompt = 'a long draft [length:60]';
    const running = sendCompletion(fleet, 0, prompt);
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    fleet.routers[0]?.sendSignal('SIGTERM');
    t.is((await running).text, buildCompletion(prompt, RESPONSE_TOKENS_MAX));
    t.is(await fleet.routers[0]?.waitForExit(), 0);
  });

  it('an engine that leaves', async (t) => {
    // Guards against sending requests to an engine that is shutting down: once one instance learns
    // it, every instance must. Running requests are completed.
    const fleet = await startFleet({ stepMs: 20 });
    const prompt = 'already running [length:80]';
    const running = sendCompletion(fleet, 0, prompt);
    await waitFor(
      'an engine has a completion in progress',
      async () => (await findBusyEngine(fleet)) >= 0,
    );
    const leavingIndex = await findBusyEngine(fleet);
    const engineUrl = fleet.engines[leavingIndex]?.addresses.url ?? '';
    await setFaults(engineUrl, { isLeaving: true });
    await waitFor('every instance lists the engine as leaving', async () => {
      const statuses = await Promise.all(
        [0, 1].map((index) => fetchStatus(getOperatorUrl(fleet, index))),
      );
      return statuses.every((status) => status.leavingEndpoints.length === 1);
    });
    const countsBefore = await sendRequest(`${engineUrl}/counts`);
    const laterResults = await Promise.all(
      [0, 1, 0, 1, 0, 1].map((index) => sendCompletion(fleet, index, `later ${index} [length:3]`)),
    );
    const countsAfter = await sendRequest(`${engineUrl}/counts`);
    t.true(laterResults.every((result) => result.isWhole));
    const readReceivedCounts = ({ json }: HttpResponse) => {
      const { started, turnedAway } = json as { started: object; turnedAway: number };
      return { started, turnedAway };
    };
    t.deepEqual(readReceivedCounts(countsAfter), readReceivedCounts(countsBefore));
    t.is((await running).text, buildCompletion(prompt, RESPONSE_TOKENS_MAX));
  });

  it('an engine that says in its answers that it leaves, and one that asks for rest', async (t) => {
    // Guards against trusting load reports alone, and against an answer that is lost or run twice.
    const fleet = await startFleet({ stepMs: 5 });
    const urls = fleet.engines.map((engine) => engine.addresses.url ?? '');
    const countReceived = async (url: string) =>
      ((await sendRequest(`${url}/counts`)).json as { received: number }).received;
    const sendSome = (count: number) =>
      Promise.all(
        Array.from({ length: count }, (_, index) =>
          sendCompletion(fleet, index % 2, `note ${index} [length:3]`),
        ),
      );
    await setFaults(urls[0] ?? '', { saysLeaving: true });
    t.true((await sendSome(12)).every((result) => result.isWhole));
    const leavingBefore = await countReceived(urls[0] ?? '');
    t.true((await sendSome(12)).every((result) => result.isWhole));
    t.is(await countReceived(urls[0] ?? ''), leavingBefore);
    await setFaults(urls[0] ?? '', { saysLeaving: false, restSeconds: 30 });
    await setFaults(urls[1] ?? '', { restSeconds: 2 });
    const before = await countReceived(urls[1] ?? '');
    const startedMs = performance.now();
    const waiting = sendCompletion(fleet, 0, 'note [length:3]');
    await waitFor(
      'the second engine has turned the request away',
      async () => (await countReceived(urls[1] ?? '')) > before,
    );
    await setFaults(urls[1] ?? '', { restSeconds: 0 });
    t.true((await waiting).isWhole, 'the request waits for the end of the rest');
    t.true(performance.now() - startedMs >= 2000);
    t.is(await countReceived(urls[1] ?? ''), before + 2);
  });

  it('engines that crash where they have no room for a request', async (t) => {
    // Guards against more requests under way than slots: each instance sends, and engines fall in turn.
    const fleet = await startFleet({ stepMs: 5 });
    const urls = fleet.engines.map((engine) => engine.addresses.url ?? '');
    await setEngineFaults(fleet, { isBrittle: true });
    const results = await Promise.all(
      Array.from({ length: 60 }, (_, index) =>
        sendCompletion(fleet, index % 2, `note ${index} [length:20]`),
      ),
    );
    const falls = await Promise.all(
      urls.map(
        async (url) => ((await sendRequest(`${url}/counts`)).json as { falls: number }).falls,
      ),
    );
    t.deepEqual(falls, [0, 0]);
    t.true(results.some((result) => result.isWhole));
  });

  it('an instance that starts during a platform outage after a configuration change', async (t) => {
    // Guards against starting with no configuration or an outdated one: the instance must take the
    // latest version from its peers.
    const fleet = await startFleet();
    const path = join(fleet.configurationFolder, '10-classes.yaml');
    const classes = await readFile(path, 'utf8');
    await writeFile(path, classes.replace('deadlineMs: 60000', 'deadlineMs: 50000'));
    t.is((await fleet.publish()).code, 0);
    await waitFor('version 2 is in force', async () => {
      const statuses = await Promise.all(
        [0, 1].map((index) => fetchStatus(getOperatorUrl(fleet, index))),
      );
      return statuses.every((status) => status.configurationVersion === 2);
    });
    await setFaults(fleet.platform.addresses.url ?? '', { isDown: true });
    const newRouter = await startRouterProcess({
      name: 'entry-9',
      dataCentre: 'peliyagoda',
      platformUrl: fleet.platform.addresses.url ?? '',
      seeds: [fleet.routers[0]?.addresses.peers ?? ''],
    });
    await waitFor('the new instance is ready', async () => {
      const status = await fetchStatus(newRouter.addresses.operators ?? '');
      return status.stage === 'ready';
    });
    t.is((await fetchStatus(newRouter.addresses.operators ?? '')).configurationVersion, 2);
  });

  it('unread streams and unauthenticated peer messages', async (t) => {
    // Guards against one caller affecting others: streams are opened and never read, and a peer
    // message arrives without the secret.
    const fleet = await startFleet();
    const controllers = Array.from({ length: 20 }, () => new AbortController());
    const unreadStreams = controllers.map((controller) =>
      request(`${getCallerUrl(fleet, 0)}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${TEST_KEY}`, 'content-type': 'application/json' },
        body: JSON.stringify({
          model: TEST_MODEL,
          stream: true,
          messages: [{ role: 'user', content: 'never read [length:300]' }],
        }),
        signal: controller.signal,
      }).catch(() => undefined),
    );
    const [host = '', port = ''] = (fleet.routers[0]?.addresses.peers ?? '').split(':');
    const forgedMessage = await sendRequest(
      `http://${host}:${port}/hyssoptally.peer.v1.PeerService/Deliver`,
      {
        headers: { 'content-type': 'application/json' },
        body: '{"from":"nobody"}',
      },
    ).catch(() => undefined);
    t.not(forgedMessage?.status, 200);
    const prompt = 'a good caller [length:10]';
    const result = await client.send({
      url: getCallerUrl(fleet, 0),
      key: TEST_KEY,
      model: TEST_MODEL,
      prompt,
      className: 'counter',
    });
    t.is(result.text, buildCompletion(prompt, RESPONSE_TOKENS_MAX));
    for (const controller of controllers) controller.abort();
    await Promise.all(unreadStreams);
  });
});
