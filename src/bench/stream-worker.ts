/** A worker thread of the overhead bench: an engine, or callers that read many streams. */
import { parentPort, workerData } from 'node:worker_threads';
import { createCompletionClient } from '../load/completion-client.js';
import { startEngineStandin } from '../standin/engine.js';

/** What a worker is to do. */
export type StreamTask =
  | {
      readonly kind: 'engine';
      readonly slots: number;
      readonly stepMs: number;
      readonly model: string;
    }
  | {
      readonly kind: 'callers';
      readonly url: string;
      readonly key: string;
      readonly model: string;
      readonly streams: number;
      readonly tokens: number;
    };

/** What it reports. */
export type StreamReport =
  | { readonly kind: 'listening'; readonly url: string }
  | { readonly kind: 'read'; readonly tokens: number; readonly seconds: number };

async function runTask(task: StreamTask): Promise<StreamReport> {
  if (task.kind === 'engine') {
    const engine = await startEngineStandin({
      name: 'stream-engine',
      slots: task.slots,
      stepMs: task.stepMs,
      kvTokens: 10_000_000,
      models: [task.model],
    });
    return { kind: 'listening', url: engine.url };
  }
  const client = createCompletionClient();
  const startedMs = performance.now();
  const results = await Promise.all(
    Array.from({ length: task.streams }, (_, index) =>
      client.send({
        url: task.url,
        key: task.key,
        model: task.model,
        prompt: `s ${index} [length:${task.tokens}]`,
        maxTokens: task.tokens,
      }),
    ),
  );
  const seconds = (performance.now() - startedMs) / 1000;
  await client.close();
  if (!results.every((result) => result.isWhole)) {
    throw new Error('a stream was not whole; lower the number of streams');
  }
  return { kind: 'read', tokens: task.streams * task.tokens, seconds };
}

parentPort?.postMessage(await runTask(workerData as StreamTask));
