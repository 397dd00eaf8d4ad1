/** What one router adds against calling an engine directly, and what a process can carry. */
import { startEmbeddedFleet } from '../embedded/embedded-fleet.js';
import type { EmbeddedFleet } from '../embedded/embedded-fleet.js';
import { createCompletionClient } from '../load/completion-client.js';
import type { CompletionClient } from '../load/completion-client.js';
import { computeQuantile } from './measures.js';

const MODEL = 'assistant';
const KEY = 'overhead-key';
const SAMPLES = 400;
const STREAMS = 256;
const STREAM_TOKENS = 250;
const SIZES = [10, 100, 1000, 10_000] as const;

interface Added {
  readonly organisations: number;
  readonly directP50Ms: number;
  readonly routedP50Ms: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly processorMsPerRequest: number;
}

function startOverheadFleet(organisations: number, stepMs: number, slots: number) {
  return startEmbeddedFleet({
    dataCentres: ['one'],
    entries: 1,
    engines: 1,
    services: 0,
    slots,
    stepMs,
    model: MODEL,
    classes: [
      {
        name: 'counter',
        tier: 0,
        firstTokenMs: 1400,
        betweenTokensMs: 76,
        deadlineMs: 60_000,
        floor: 0.1,
      },
    ],
    organisations: Array.from({ length: organisations }, (_, index) => ({
      name: `organisation-${index}`,
      key: index === 0 ? KEY : `${KEY}-${index}`,
      classes: ['counter'],
      limits: { concurrency: 10_000, requestsPerSecond: 10_000 },
    })),
  });
}

/** Times to the end of one-token answers, one caller after the other. */
async function runCalls(client: CompletionClient, url: string): Promise<number[]> {
  const times: number[] = [];
  for (let sample = 0; sample < SAMPLES; sample += 1) {
    // eslint-disable-next-line no-await-in-loop
    const result = await client.send({
      url,
      key: KEY,
      model: MODEL,
      prompt: `q ${sample} [length:1]`,
    });
    if (!result.isWhole) throw new Error(`an answer was not whole: ${result.errorType ?? ''}`);
    times.push(result.totalMs);
  }
  return times;
}

async function computeAdded(organisations: number): Promise<Added> {
  const fleet = await startOverheadFleet(organisations, 1, 8);
  const client = createCompletionClient();
  const direct = fleet.engines[0]?.url ?? '';
  const routed = fleet.routers[0]?.callersUrl ?? '';
  // Both paths are warmed before either is timed; then they take turns.
  await runCalls(client, direct);
  await runCalls(client, routed);
  const directTimes = await runCalls(client, direct);
  const before = process.cpuUsage();
  const routedTimes = await runCalls(client, routed);
  const used = process.cpuUsage(before);
  await client.close();
  await fleet.stop();
  const directP50Ms = computeQuantile(directTimes, 0.5);
  return {
    organisations,
    directP50Ms,
    routedP50Ms: computeQuantile(routedTimes, 0.5),
    addedP50Ms: computeQuantile(routedTimes, 0.5) - directP50Ms,
    addedP99Ms: computeQuantile(routedTimes, 0.99) - computeQuantile(directTimes, 0.99),
    processorMsPerRequest: (used.user + used.system) / 1000 / SAMPLES,
  };
}

async function computeStreamRate(fleet: EmbeddedFleet, url: string): Promise<number> {
  const client = createCompletionClient();
  const startedMs = performance.now();
  const results = await Promise.all(
    Array.from({ length: STREAMS }, (_, index) =>
      client.send({ url, key: KEY, model: MODEL, prompt: `s ${index} [length:${STREAM_TOKENS}]` }),
    ),
  );
  const seconds = (performance.now() - startedMs) / 1000;
  await client.close();
  if (!results.every((result) => result.isWhole)) throw new Error('a stream was not whole');
  return (STREAMS * STREAM_TOKENS) / seconds;
}

/** Measures and prints. */
export async function runOverhead(isJson: boolean): Promise<void> {
  const added: Added[] = [];
  for (const size of SIZES) {
    // eslint-disable-next-line no-await-in-loop
    added.push(await computeAdded(size));
  }
  const fleet = await startOverheadFleet(1, 1, STREAMS);
  const directRate = await computeStreamRate(fleet, fleet.engines[0]?.url ?? '');
  const routedRate = await computeStreamRate(fleet, fleet.routers[0]?.callersUrl ?? '');
  await fleet.stop();
  if (isJson) {
    process.stdout.write(`${JSON.stringify({ added, directRate, routedRate })}\n`);
    return;
  }
  for (const row of added) {
    process.stdout.write(
      `${row.organisations} organisations: direct p50 ${row.directP50Ms.toFixed(2)} ms, ` +
        `added p50 ${row.addedP50Ms.toFixed(2)} ms, added p99 ${row.addedP99Ms.toFixed(2)} ms, ` +
        `${row.processorMsPerRequest.toFixed(2)} ms of processor a request (caller and engine included)\n`,
    );
  }
  process.stdout.write(
    `${STREAMS} streams in one process with caller and engine: direct ${directRate.toFixed(0)} tokens/s, ` +
      `routed ${routedRate.toFixed(0)} tokens/s\n`,
  );
}
