/** Failures brought about between separate processes: kills, freezes, outages, lost answers, drains. */
import { randomUUID } from 'node:crypto';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import test from 'ava';
import { request } from 'undici';
import { createCompletionClient } from '../load/completion-client.js';
import { buildAnswer } from '../standin/answer.js';
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

/** The engine that a running answer comes from: the one that has started more than it completed. */
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

/** Asks for a long answer and does something after some tokens of it. */
function sendWithFault(fleet: ProcessFleet, injectFault: () => void) {
  let tokens = 0;
  return sendCompletion(fleet, 0, LONG_PROMPT, () => {
    tokens += 1;
    if (tokens === FAULT_AFTER_TOKENS) injectFault();
  });
}

/** Asks for a long answer and, after some tokens of it, sends a signal to the engine it comes from. */
function sendWithEngineSignal(fleet: ProcessFleet, signal: NodeJS.Signals) {
  return sendWithFault(fleet, () => {
    findBusyEngine(fleet)
      .then((index) => fleet.engines[index]?.sendSignal(signal))
      .catch(() => undefined);
  });
}

/** Enough short answers for the routers to know the engines' pace. */
async function sendWarmUpRequests(fleet: ProcessFleet): Promise<void> {
  await Promise.all(
    Array.from({ length: 12 }, (_, index) => sendCompletion(fleet, 0, `warm ${index} [length:4]`)),
  );
}

describe('failures between processes', ({ itSerial: it }) => {
  it('an engine killed in mid-answer', async (t) => {
    // A clerk's answer stops half way. The engine's process dies; its connections break; the answer
    // goes on at the other engine from the next token.
    const fleet = await startFleet({ stepMs: 20 });
    const result = await sendWithEngineSignal(fleet, 'SIGKILL');
    t.true(result.isWhole);
    t.is(result.text, buildAnswer(LONG_PROMPT, RESPONSE_TOKENS_MAX));
    t.is(await countInvariantBreaches(fleet, [0, 1]), 0);
  });

  it('an engine frozen in mid-answer', async (t) => {
    // A clerk's answer stops half way and no error comes. The engine's process is stopped: its
    // connections stay open and carry nothing more. The learned pace tells silence from slowness.
    const fleet = await startFleet({ stepMs: 20 });
    await sendWarmUpRequests(fleet);
    const result = await sendWithEngineSignal(fleet, 'SIGSTOP');
    t.true(result.isWhole);
    t.is(result.text, buildAnswer(LONG_PROMPT, RESPONSE_TOKENS_MAX));
  });

  it('connections that something in between lost track of', async (t) => {
    // A clerk's answer stops half way, and the next questions hang too. Every connection that was
    // open carries nothing any more, idle ones included, and none is closed; new ones work.
    const fleet = await startFleet({ stepMs: 20, hasRelays: true });
    await sendWarmUpRequests(fleet);
    const result = await sendWithFault(fleet, () => {
      for (const relay of fleet.relays) relay.silenceOpen();
    });
    t.true(result.isWhole, result.errorType);
    t.is(result.text, buildAnswer(LONG_PROMPT, RESPONSE_TOKENS_MAX));
    const prompt = 'after that [length:5]';
    const next = await sendCompletion(fleet, 1, prompt);
    t.is(next.text, buildAnswer(prompt, RESPONSE_TOKENS_MAX));
  });

  it('frames that are crossed, repeated and reordered', async (t) => {
    // A clerk reads another caller's words. The engine mixes frames up: another request's frame,
    // the same frame twice, two frames in the wrong order.
    const fleet = await startFleet();
    const faults = { crossedFrames: 20, duplicateFrames: 20, reorderedFrames: 4 };
    await setEngineFaults(fleet, faults);
    const prompts = Array.from({ length: 8 }, (_, index) => `mixed ${index} [length:20]`);
    const results = await Promise.all(
      prompts.map((prompt, index) => sendCompletion(fleet, index % 2, prompt)),
    );
    results.forEach((result, index) => {
      t.true(result.isWhole);
      t.is(result.text, buildAnswer(prompts[index] ?? '', RESPONSE_TOKENS_MAX));
    });
  });

  it('an answer that ends early without its end marker', async (t) => {
    // A grower's note lacks its last lines and looks whole. The engine ends the stream cleanly after
    // five tokens; without the end marker it counts as broken off, and goes on elsewhere.
    const fleet = await startFleet();
    await setEngineFaults(fleet, { truncatedAnswers: 1 });
    const prompt = 'a consignment note [length:30]';
    const result = await sendCompletion(fleet, 0, prompt);
    t.true(result.isWhole);
    t.is(result.text, buildAnswer(prompt, RESPONSE_TOKENS_MAX));
  });

  it('an order whose answer from the service is lost', async (t) => {
    // Crates arrive twice. The service takes the order and its answer is lost; the router must not
    // send it again, nor call it not run, nor let the second try through.
    const fleet = await startFleet();
    await setFaults(fleet.service.addresses.url ?? '', { lostAnswers: 1 });
    const key = randomUUID();
    const first = await sendOrder(fleet, 0, key);
    t.is(getOutcome(first), 'may_have_run');
    const second = await sendOrder(fleet, 1, key);
    t.is(getOutcome(second), 'may_have_run');
    t.is(await countRuns(fleet, key), 1);
  });

  it('the same order through two entries at the same moment', async (t) => {
    // Crates arrive twice. A caller without an answer sends the order again through another entry
    // while the first is still under way.
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

  it('the platform down for long', async (t) => {
    // Nothing works because the table is down. Orders that may run once only are refused as not run;
    // everything else goes on with the configuration in force.
    const fleet = await startFleet();
    await setFaults(fleet.platform.addresses.url ?? '', { isDown: true });
    const key = randomUUID();
    const refused = await sendOrder(fleet, 0, key);
    t.is(refused.status, 503);
    t.is(getOutcome(refused), 'not_run');
    t.truthy(refused.headers['retry-after']);
    t.is(await countRuns(fleet, key), 0);
    const prompt = 'still served [length:8]';
    t.is((await sendCompletion(fleet, 1, prompt)).text, buildAnswer(prompt, RESPONSE_TOKENS_MAX));
    await setFaults(fleet.platform.addresses.url ?? '', { isDown: false });
    t.is((await sendOrder(fleet, 0, key)).status, 200);
    t.is(await countRuns(fleet, key), 1);
  });

  it('a claim whose write takes effect and whose answer is lost', async (t) => {
    // An order is refused and the key is burnt. The claim was written; only the answer was lost. The
    // entry reads it back, knows its own attempt, and goes on.
    const fleet = await startFleet();
    await setFaults(fleet.platform.addresses.url ?? '', { lostAnswers: 1 });
    const key = randomUUID();
    t.is((await sendOrder(fleet, 0, key)).status, 200);
    t.is(await countRuns(fleet, key), 1);
  });

  it('a claim that lands after its entry gave up', async (t) => {
    // Crates arrive twice, or the key is dead for a day. The insert lands two seconds after the entry
    // said not run; the next try, at the other entry, finds it and asks whether it was sent.
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

  it('an entry killed while it holds a claim', async (t) => {
    // Crates arrive twice. The entry dies after sending the order; the next entry finds a claim and
    // nobody to ask, and must not take silence for proof.
    const fleet = await startFleet();
    await setFaults(fleet.service.addresses.url ?? '', { delayMs: 1000 });
    const key = randomUUID();
    const interrupted = sendOrder(fleet, 0, key).catch(() => undefined);
    await waitFor('the order runs', async () => (await countRuns(fleet, key)) === 1);
    fleet.routers[0]?.sendSignal('SIGKILL');
    await interrupted;
    const second = await sendOrder(fleet, 1, key);
    t.is(getOutcome(second), 'may_have_run');
    t.is(await countRuns(fleet, key), 1);
  });

  it('an entry frozen while others wait on it', async (t) => {
    // All requests hang. The entry that hands out slots is stopped; it answers nothing and its
    // connections stay open. Others stop waiting for it and hand out slots themselves.
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
      t.is(result.text, buildAnswer(prompts[position] ?? '', RESPONSE_TOKENS_MAX));
    });
    await waitFor('the frozen entry is back', async () => {
      const status = await fetchStatus(getOperatorUrl(fleet, ownerIndex));
      return status.members.every((member) => member.state === 'alive');
    });
  });

  it('SIGTERM, twice, during streams and orders', async (t) => {
    // An answer is cut off by a roll-out. The instance is told to leave, then told again; what runs
    // is finished, what comes from the balancer meanwhile is still served, and only then it ends.
    const fleet = await startFleet({ stepMs: 30 });
    const prompt = 'a long draft [length:100]';
    const running = sendCompletion(fleet, 0, prompt);
    await setFaults(fleet.service.addresses.url ?? '', { delayMs: 1500 });
    const order = sendOrder(fleet, 0, randomUUID());
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    fleet.routers[0]?.sendSignal('SIGTERM');
    await waitFor('readiness is off', async () => {
      const response = await sendRequest(`${getOperatorUrl(fleet, 0)}/readyz`);
      return response.status === 503;
    });
    fleet.routers[0]?.sendSignal('SIGTERM');
    await waitFor('the other entry knows', async () => {
      const status = await fetchStatus(getOperatorUrl(fleet, 1));
      return status.members.some(({ name, state }) => name === 'entry-1' && state === 'leaving');
    });
    const lateResult = await sendCompletion(fleet, 0, 'a late comer [length:5]');
    t.true(lateResult.isWhole);
    t.is((await running).text, buildAnswer(prompt, RESPONSE_TOKENS_MAX));
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
    t.is((await running).text, buildAnswer(prompt, RESPONSE_TOKENS_MAX));
    t.is(await fleet.routers[0]?.waitForExit(), 0);
  });

  it('an engine that leaves', async (t) => {
    // Requests go to an engine that is shutting down. One entry learns it; every entry must know
    // within three seconds, whatever the platform's list says. What runs there is not cut off.
    const fleet = await startFleet({ stepMs: 20 });
    const prompt = 'already running [length:80]';
    const running = sendCompletion(fleet, 0, prompt);
    await waitFor('it runs', async () => (await findBusyEngine(fleet)) >= 0);
    const leavingIndex = await findBusyEngine(fleet);
    const engineUrl = fleet.engines[leavingIndex]?.addresses.url ?? '';
    await setFaults(engineUrl, { isLeaving: true });
    await waitFor('every entry knows', async () => {
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
    t.is((await running).text, buildAnswer(prompt, RESPONSE_TOKENS_MAX));
  });

  it('a change while the platform goes down, and an instance that starts without it', async (t) => {
    // A new instance comes up with no configuration, or with an old one. The platform is down; the
    // peers have the latest version, and the newcomer must take that.
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
    await waitFor('the newcomer is ready', async () => {
      const status = await fetchStatus(newRouter.addresses.operators ?? '');
      return status.stage === 'ready';
    });
    t.is((await fetchStatus(newRouter.addresses.operators ?? '')).configurationVersion, 2);
  });

  it('a flood of bad peers and slow readers', async (t) => {
    // One caller's behaviour slows everybody. Streams are opened and never read, peers without the
    // secret send messages, bodies are garbage; others' answers stay whole.
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
    t.is(result.text, buildAnswer(prompt, RESPONSE_TOKENS_MAX));
    for (const controller of controllers) controller.abort();
    await Promise.all(unreadStreams);
  });
});
