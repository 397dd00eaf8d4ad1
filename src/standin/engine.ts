/**
 * Stand-in for a model engine: streams chat completions, with the `priority` and
 * `continue_final_message` fields. Every frame carries the id from `x-request-id`. Load reports are
 * delayed and some cache events are dropped. `POST /faults` injects faults.
 */
import express from 'express';
import type { Request, Response } from 'express';
import { z } from 'zod';
import { computeCompletionLength, countTokens } from './completion.js';
import { createBatchEngine } from './batch-engine.js';
import type { EngineLoad, StepEvent } from './batch-engine.js';
import { computeStepMs } from './step-time.js';
import type { StepTimeOptions } from './step-time.js';
import { startHttpServer } from './http-server.js';
import type { RunningServer } from './http-server.js';

/** Default length of an interval of constant speed. */
const SLOW_INTERVAL_MS = 600;

/** Injected faults; all are off initially. */
export interface EngineFaults {
  /** Factor by which steps take longer. */
  slowdown: number;
  /** Stops generating tokens; connections stay open. */
  isFrozen: boolean;
  /** Drains: rejects new requests and finishes running ones. */
  isLeaving: boolean;
  /** Serves, and says in every response that it is leaving; load reports do not say so. */
  saysLeaving: boolean;
  /** Turns requests away with status 503 and asks for this rest in seconds; 0: serves. */
  restSeconds: number;
  /** Says in every response that it is brittle, and crashes where it has no room for a request. */
  isBrittle: boolean;
  /** Answers every request with status 500 without running it. */
  isFailing: boolean;
  /** Number of upcoming frames to send twice. */
  duplicateFrames: number;
  /** Number of upcoming frames to precede with a frame of another request. */
  crossedFrames: number;
  /** Number of upcoming frames to swap with their successor. */
  reorderedFrames: number;
  /** Number of upcoming responses to reset after a few tokens. */
  brokenAnswers: number;
  /** Number of upcoming responses to end after a few tokens, without `[DONE]`. */
  truncatedAnswers: number;
}

/** Counters served by `GET /counts`. */
export interface EngineCounts {
  tokens: number;
  /** Crashes for want of room. */
  falls: number;
  /** Number of accepted requests by request id. */
  readonly started: Map<string, number>;
  cancelled: number;
  /** Completion requests that reached it. */
  received: number;
  /** Requests rejected while draining or resting. */
  turnedAway: number;
  completed: number;
  ordersApplied: number;
  ordersRefused: number;
  /** Number of model loads; a high count shows a reconcile loop that flaps. */
  loads: number;
}

export interface EngineStandinOptions {
  readonly name: string;
  /** @default 0 (any free port) */
  readonly port?: number;
  /** Duration of one step. @default 30 */
  readonly stepMs?: number;
  /** Factor on the time of steps while nearly all slots are in use. @default 1 */
  readonly nearlyFullFactor?: number;
  /** Factor on the time of steps in slow intervals. @default 1 */
  readonly slowFactor?: number;
  /** Length of an interval of constant speed. @default 600 */
  readonly slowIntervalMs?: number;
  /** One interval in this many is slow; 0: none. @default 0 */
  readonly slowEvery?: number;
  /** Maximum number of running sequences. @default 8 */
  readonly slots?: number;
  /** Capacity of the KV memory. @default 200000 */
  readonly kvTokens?: number;
  /** @default 512 */
  readonly prefillTokensPerStep?: number;
  /** Delay of load reports. @default 1000 */
  readonly reportLagMs?: number;
  /** Whether orders with an outdated fencing token are refused. @default true */
  readonly isFencing?: boolean;
  /** Models loaded at start. */
  readonly models?: readonly string[];
}

export interface EngineStandin extends RunningServer {
  readonly name: string;
  readonly faults: EngineFaults;
  readonly counts: EngineCounts;
  listModels(): string[];
  getFence(): number;
}

interface Exchange {
  readonly id: string;
  readonly model: string;
  readonly response: Response;
  sentEvents: number;
  readonly breakAfterEvents: number;
  readonly isTruncated: boolean;
  delayedFrame: string | undefined;
}

const completionSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().positive().default(400),
  priority: z.number().default(0),
  continue_final_message: z.boolean().default(false),
});

const orderSchema = z.object({
  fence: z.number().int(),
  models: z.array(z.string()),
});

const REPORT_PERIOD_MS = 100;
/** Every nth cache event is dropped. */
const CACHE_EVENT_DROP_INTERVAL = 7;
const BREAK_AFTER_TOKENS = 5;
/** Requests beyond the slots that a brittle engine lets wait. */
const BRITTLE_WAITING_MAX = 1;
/** Time after which an engine that crashed for want of room is back. */
const FALL_MS = 2000;

function createFaults(): EngineFaults {
  return {
    slowdown: 1,
    isFrozen: false,
    isLeaving: false,
    saysLeaving: false,
    restSeconds: 0,
    isBrittle: false,
    isFailing: false,
    duplicateFrames: 0,
    crossedFrames: 0,
    reorderedFrames: 0,
    brokenAnswers: 0,
    truncatedAnswers: 0,
  };
}

export async function startEngineStandin(options: EngineStandinOptions): Promise<EngineStandin> {
  const { name, stepMs = 30, slots = 8, reportLagMs = 1000, isFencing = true } = options;
  const startedMs = performance.now();
  const stepTimes: StepTimeOptions = {
    stepMs,
    slots,
    nearlyFullFactor: options.nearlyFullFactor ?? 1,
    slowFactor: options.slowFactor ?? 1,
    slowIntervalMs: options.slowIntervalMs ?? SLOW_INTERVAL_MS,
    slowEvery: options.slowEvery ?? 0,
  };
  const faults = createFaults();
  const counts: EngineCounts = {
    tokens: 0,
    falls: 0,
    started: new Map(),
    cancelled: 0,
    received: 0,
    turnedAway: 0,
    completed: 0,
    ordersApplied: 0,
    ordersRefused: 0,
    loads: 0,
  };
  const batch = createBatchEngine({
    slots,
    kvTokens: options.kvTokens ?? 200_000,
    prefillTokensPerStep: options.prefillTokensPerStep ?? 512,
  });
  const exchanges = new Map<string, Exchange>();
  const models = new Set(options.models ?? []);
  let fence = 0;
  /** Until when it is down after a crash for want of room. */
  let fallenUntilMs = 0;
  const loadReports: { readonly atMs: number; readonly load: EngineLoad }[] = [];

  function buildFrame(exchange: Exchange, id: string, event: StepEvent): string {
    const frame = {
      id,
      object: 'chat.completion.chunk',
      model: exchange.model,
      index: event.index,
      choices: [{ index: 0, delta: { content: event.text }, finish_reason: null }],
    };
    return `data: ${JSON.stringify(frame)}\n\n`;
  }

  function sendFrame(exchange: Exchange, event: StepEvent): void {
    const frame = buildFrame(exchange, exchange.id, event);
    if (faults.reorderedFrames > 0 && exchange.delayedFrame === undefined && !event.isLast) {
      faults.reorderedFrames -= 1;
      exchange.delayedFrame = frame;
      return;
    }
    let text = frame;
    if (faults.crossedFrames > 0) {
      faults.crossedFrames -= 1;
      text = buildFrame(exchange, 'another-request', { ...event, text: 'STOLEN ' }) + text;
    }
    if (faults.duplicateFrames > 0) {
      faults.duplicateFrames -= 1;
      text += frame;
    }
    text += exchange.delayedFrame ?? '';
    exchange.delayedFrame = undefined;
    exchange.response.write(text);
  }

  function closeExchange(exchange: Exchange): void {
    exchanges.delete(exchange.id);
    batch.remove(exchange.id);
  }

  function handleStepEvent(event: StepEvent): void {
    if (event.text !== '') counts.tokens += 1;
    const exchange = exchanges.get(event.id);
    if (exchange === undefined) return;
    if (event.text !== '') sendFrame(exchange, event);
    exchange.sentEvents += 1;
    if (exchange.sentEvents >= exchange.breakAfterEvents && !event.isLast) {
      closeExchange(exchange);
      if (exchange.isTruncated) exchange.response.end();
      else exchange.response.destroy();
      return;
    }
    if (!event.isLast) return;
    exchanges.delete(event.id);
    counts.completed += 1;
    const end = {
      id: exchange.id,
      object: 'chat.completion.chunk',
      model: exchange.model,
      index: event.text === '' ? event.index : event.index + 1,
      choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
    };
    exchange.response.end(`data: ${JSON.stringify(end)}\n\ndata: [DONE]\n\n`);
  }

  function handleStep(): void {
    if (faults.isFrozen) return;
    for (const event of batch.advance()) handleStepEvent(event);
  }

  /** Breaks off all requests; new ones are reset until the engine is back. */
  function closeForFall(): void {
    counts.falls += 1;
    fallenUntilMs = performance.now() + FALL_MS;
    for (const exchange of [...exchanges.values()]) {
      exchange.response.destroy();
      closeExchange(exchange);
    }
  }

  function hasRoom(): boolean {
    return !faults.isBrittle || exchanges.size < slots + BRITTLE_WAITING_MAX;
  }

  function handleCompletion(request: Request, response: Response): void {
    counts.received += 1;
    if (performance.now() >= fallenUntilMs && !hasRoom()) closeForFall();
    if (performance.now() < fallenUntilMs) {
      response.destroy();
      return;
    }
    if (faults.isBrittle) response.set('x-endpoint-brittle', '0');
    if (faults.saysLeaving) response.set('x-endpoint-leaving', 'true');
    if (faults.restSeconds > 0) {
      counts.turnedAway += 1;
      response
        .status(503)
        .set('retry-after', String(faults.restSeconds))
        .json({ error: 'resting' });
      return;
    }
    if (faults.isLeaving) {
      counts.turnedAway += 1;
      response.status(503).set('x-endpoint-leaving', 'true').json({ error: 'leaving' });
      return;
    }
    if (faults.isFailing) {
      response.status(500).json({ error: 'failing' });
      return;
    }
    const parsed = completionSchema.safeParse(request.body);
    if (!parsed.success) {
      response.status(400).json({ error: parsed.error.issues });
      return;
    }
    const { messages, max_tokens: maxTokens, priority } = parsed.data;
    const isContinued = parsed.data.continue_final_message;
    const partialCompletion = isContinued ? (messages.at(-1)?.content ?? '') : '';
    const inputMessages = isContinued ? messages.slice(0, -1) : messages;
    const prompt = inputMessages.map((message) => message.content).join('\n');
    const id = request.get('x-request-id') ?? `${name}-${counts.started.size}`;
    const isBroken = faults.brokenAnswers > 0;
    const isTruncated = !isBroken && faults.truncatedAnswers > 0;
    if (isBroken) faults.brokenAnswers -= 1;
    if (isTruncated) faults.truncatedAnswers -= 1;
    const offset = countTokens(partialCompletion);
    counts.started.set(id, (counts.started.get(id) ?? 0) + 1);
    response.set({ 'content-type': 'text/event-stream', 'x-request-id': id });
    response.flushHeaders();
    response.socket?.setNoDelay(true);
    exchanges.set(id, {
      id,
      model: parsed.data.model,
      response,
      sentEvents: 0,
      breakAfterEvents: isBroken || isTruncated ? BREAK_AFTER_TOKENS : Infinity,
      isTruncated,
      delayedFrame: undefined,
    });
    const totalTokens = computeCompletionLength(prompt, maxTokens + (isContinued ? offset : 0));
    batch.add({
      id,
      prompt,
      priority,
      promptTokens: Math.ceil(prompt.length / 4),
      completionTokens: totalTokens,
      offset,
    });
    response.on('close', () => {
      const exchange = exchanges.get(id);
      if (exchange === undefined) return;
      counts.cancelled += 1;
      closeExchange(exchange);
    });
  }

  function handleOrder(request: Request, response: Response): void {
    const parsed = orderSchema.safeParse(request.body);
    if (!parsed.success) {
      response.status(400).json({ error: parsed.error.issues });
      return;
    }
    if (isFencing && parsed.data.fence < fence) {
      counts.ordersRefused += 1;
      response.status(409).json({ error: 'old fencing number', fence });
      return;
    }
    fence = isFencing ? parsed.data.fence : fence;
    counts.ordersApplied += 1;
    for (const model of parsed.data.models) if (!models.has(model)) counts.loads += 1;
    models.clear();
    for (const model of parsed.data.models) models.add(model);
    response.json({ fence, models: [...models] });
  }

  function getReportedLoad(): EngineLoad {
    const asOfMs = performance.now() - reportLagMs;
    const latestReport = loadReports.findLast((report) => report.atMs <= asOfMs);
    return latestReport?.load ?? { running: 0, waiting: 0, kvUsed: 0 };
  }

  const app = express();
  app.use(express.json({ limit: '16mb' }));
  app.post('/v1/chat/completions', handleCompletion);
  app.post('/v1/cancel', (request, response) => {
    const exchange = exchanges.get(String(request.body?.request_id));
    if (exchange !== undefined) {
      counts.cancelled += 1;
      closeExchange(exchange);
      exchange.response.destroy();
    }
    response.json({ isCancelled: exchange !== undefined });
  });
  app.post('/v1/orders', handleOrder);
  app.get('/load', (_, response) => {
    response.json({
      ...getReportedLoad(),
      isLeaving: faults.isLeaving,
      models: [...models],
      fence,
      slots,
    });
  });
  app.get('/cache-events', (request, response) => {
    const events = batch.listCacheEvents(Number(request.query.after ?? 0));
    response.json(events.filter((event) => event.sequence % CACHE_EVENT_DROP_INTERVAL !== 0));
  });
  app.get('/kv', (_, response) => {
    response.json({ prefixes: batch.listPrefixes() });
  });
  app.post('/kv', (request, response) => {
    batch.addPrefixes(z.array(z.string()).parse(request.body?.prefixes));
    response.json({ count: batch.listPrefixes().length });
  });
  app.post('/faults', (request, response) => {
    response.json(Object.assign(faults, request.body));
  });
  app.get('/counts', (_, response) => {
    response.json({ ...counts, started: Object.fromEntries(counts.started) });
  });
  const server = await startHttpServer(app, options.port ?? 0);

  // Each step is scheduled from the due time of the previous one, so that timer delays do not add up.
  let isStopped = false;
  let nextStepMs = performance.now();
  let stepTimer: NodeJS.Timeout;
  function runSteps(): void {
    if (isStopped) return;
    handleStep();
    const durationMs =
      computeStepMs(stepTimes, batch.getLoad().running, performance.now() - startedMs) *
      faults.slowdown;
    nextStepMs = Math.max(nextStepMs + durationMs, performance.now() - stepMs);
    stepTimer = setTimeout(runSteps, Math.max(0, nextStepMs - performance.now()));
  }
  stepTimer = setTimeout(runSteps, stepMs);
  const reportTimer = setInterval(() => {
    loadReports.push({ atMs: performance.now(), load: batch.getLoad() });
    if (loadReports.length > 200) loadReports.shift();
  }, REPORT_PERIOD_MS);

  return {
    ...server,
    name,
    faults,
    counts,
    listModels: () => [...models],
    getFence: () => fence,
    close() {
      isStopped = true;
      clearTimeout(stepTimer);
      clearInterval(reportTimer);
      return server.close();
    },
  };
}
