/** Callers of the bench: an open loop that sends each arrival at its time. */
import { createCompletionClient } from '../load/completion-client.js';
import type { CompletionClient } from '../load/completion-client.js';
import type { Arrival } from './arrivals.js';
import type { Observation } from './measures.js';

/** Input of the callers. */
export interface CallersRequest {
  /** Routers, by the entry number of an arrival. */
  readonly urls: readonly string[];
  readonly model: string;
  readonly arrivals: readonly Arrival[];
  /** One way between callers and entries, in milliseconds. */
  readonly callerDelayMs: number;
}

/** The key an organisation has on the bench. */
export function buildKey(organisation: string): string {
  return `key-of-${organisation}`;
}

async function waitMs(ms: number): Promise<void> {
  await new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function sendArrival(
  request: CallersRequest,
  client: CompletionClient,
  arrival: Arrival,
  startedMs: number,
): Promise<Observation> {
  const { callerDelayMs } = request;
  const tokenTimesMs: number[] = [];
  const sentMs = performance.now();
  await waitMs(callerDelayMs);
  const result = await client.send({
    url: request.urls[arrival.entry] ?? '',
    key: buildKey(arrival.organisation),
    model: request.model,
    prompt: arrival.prompt,
    className: arrival.className,
    ...(arrival.giveUpMs === undefined ? {} : { giveUpMs: arrival.giveUpMs }),
    onText: () => tokenTimesMs.push(performance.now() - startedMs),
  });
  // The latency applies in both directions.
  const addedMs = callerDelayMs + performance.now() - sentMs - result.totalMs - callerDelayMs;
  return {
    arrival,
    tokenTimesMs,
    result: {
      ...result,
      firstTokenMs: result.firstTokenMs === undefined ? undefined : result.firstTokenMs + addedMs,
      totalMs: result.totalMs + addedMs + callerDelayMs,
    },
  };
}

/** Sends all arrivals; resolves once all have been answered. */
export async function sendArrivals(request: CallersRequest): Promise<Observation[]> {
  const client = createCompletionClient();
  const startedMs = performance.now();
  const pending: Promise<Observation>[] = [];
  for (const arrival of request.arrivals) {
    const dueInMs = startedMs + arrival.atMs - performance.now();
    // Open loop: arrivals never wait for a response.
    // eslint-disable-next-line no-await-in-loop
    if (dueInMs > 1) await waitMs(dueInMs);
    pending.push(sendArrival(request, client, arrival, startedMs));
  }
  const observations = await Promise.all(pending);
  await client.close();
  return observations;
}
