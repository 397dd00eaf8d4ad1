/** Measures the latency that a router adds to a direct call of an engine, and the throughput of one process. */
import { Worker } from 'node:worker_threads';
import { startEmbeddedFleet } from '../embedded/embedded-fleet.js';
import { createCompletionClient } from '../load/completion-client.js';
import type { CompletionClient } from '../load/completion-client.js';
import { computeQuantile } from './measures.js';
import type { StreamReport, StreamTask } from './stream-worker.js';

const MODEL = 'assistant';
const KEY = 'overhead-key';
const SAMPLES = 400;
const STREAMS = 256;
const STREAM_TOKENS = 400;
const STREAM_STEP_MS = 5;
const STREAM_ENGINES = 2;
const STREAM_CALLERS = 2;
const SIZES = [10, 100, 1000, 10_000] as const;

interface Added {
  readonly organisations: number;
  readonly directP50Ms: number;
  readonly routedP50Ms: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly processorMsPerRequest: number;
}

function startOverheadFleet(
  organisations: number,
  stepMs: number,
  slots: number,
  engineUrls: readonly string[] = [],
) {
  return startEmbeddedFleet({
    dataCentres: ['one'],
    routerCount: 1,
    engineCount: engineUrls.length === 0 ? 1 : 0,
    externalEngineUrls: engineUrls,
    serviceCount: 0,
    slots: engineUrls.length === 0 ? slots : STREAMS,
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

/** Durations of one-token answers, requested one after the other. */
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
  // Both paths are warmed up first, then measured alternately.
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

function runStreamTask(task: StreamTask): Promise<{ report: StreamReport; worker: Worker }> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./stream-worker.js', import.meta.url), { workerData: task });
    worker.once('message', (report: StreamReport) => resolve({ report, worker }));
    worker.once('error', reject);
  });
}

/**
 * Tokens a second through one router that has this thread for itself, and the part of the thread that
 * took; engines and callers have threads of their own.
 */
async function computeStreamRate(): Promise<{ rate: number; busyShare: number }> {
  const engineTask = {
    kind: 'engine',
    slots: STREAMS,
    stepMs: STREAM_STEP_MS,
    model: MODEL,
  } as const;
  const engines = await Promise.all(
    Array.from({ length: STREAM_ENGINES }, () => runStreamTask(engineTask)),
  );
  const urls = engines.map(({ report }) => (report.kind === 'listening' ? report.url : ''));
  const fleet = await startOverheadFleet(1, 1000, 1, urls);
  const before = performance.eventLoopUtilization();
  const callers = await Promise.all(
    Array.from({ length: STREAM_CALLERS }, () =>
      runStreamTask({
        kind: 'callers',
        url: fleet.routers[0]?.callersUrl ?? '',
        key: KEY,
        model: MODEL,
        streams: STREAMS / STREAM_CALLERS,
        tokens: STREAM_TOKENS,
      }),
    ),
  );
  const busyShare = performance.eventLoopUtilization(before).utilization;
  await Promise.all([...engines, ...callers].map(({ worker }) => worker.terminate()));
  await fleet.stop();
  const reads = callers.flatMap(({ report }) => (report.kind === 'read' ? [report] : []));
  const tokens = reads.reduce((sum, read) => sum + read.tokens, 0);
  const seconds = Math.max(...reads.map((read) => read.seconds));
  return { rate: tokens / seconds, busyShare };
}

/** Runs the measurements and prints them. */
export async function runOverhead(isJson: boolean): Promise<void> {
  const added: Added[] = [];
  for (const size of SIZES) {
    // eslint-disable-next-line no-await-in-loop
    added.push(await computeAdded(size));
  }
  const streams = await computeStreamRate();
  if (isJson) {
    process.stdout.write(`${JSON.stringify({ added, streams })}\n`);
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
    `${STREAMS} streams through one router: ${streams.rate.toFixed(0)} tokens/s, its thread ` +
      `${(streams.busyShare * 100).toFixed(0)}% busy, ${(streams.rate / streams.busyShare).toFixed(0)} tokens/s a whole thread\n`,
  );
}
