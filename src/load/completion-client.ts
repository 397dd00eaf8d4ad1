/** Sends completions to a router and measures the frames of the responses. */
import { createParser } from 'eventsource-parser';
import { Agent } from 'undici';
import { z } from 'zod';

/** A completion to send. */
export interface CompletionCall {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly className?: string;
  readonly maxTokens?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** The caller gives up after this many milliseconds. */
  readonly giveUpMs?: number;
  /** Called for each piece of the answer. */
  readonly onText?: (text: string) => void;
}

/** The response; times are in milliseconds since the request was sent. */
export interface CompletionResult {
  readonly requestId: string;
  readonly status: number;
  readonly text: string;
  readonly isWhole: boolean;
  readonly firstTokenMs: number | undefined;
  readonly gapsMs: readonly number[];
  readonly totalMs: number;
  readonly errorType: string | undefined;
  readonly outcome: string | undefined;
  readonly retryAfterMs: number | undefined;
  readonly hasGivenUp: boolean;
}

/** Sends completions over shared connections. */
export interface CompletionClient {
  send(call: CompletionCall): Promise<CompletionResult>;
  close(): Promise<void>;
}

const errorSchema = z.object({
  error: z.object({
    type: z.string(),
    outcome: z.string(),
    retry_after_ms: z.number().optional(),
  }),
});

type CallError = z.infer<typeof errorSchema>['error'];

interface Reading {
  text: string;
  isWhole: boolean;
  firstMs: number | undefined;
  lastMs: number;
  readonly gapsMs: number[];
  error: CallError | undefined;
}

function parseError(text: string): CallError | undefined {
  try {
    const parsed = errorSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data.error : undefined;
  } catch {
    return undefined;
  }
}

function createReader(reading: Reading, call: CompletionCall) {
  return createParser({
    onEvent(event) {
      if (event.data === '[DONE]') {
        reading.isWhole = true;
        return;
      }
      if (event.event === 'error') {
        reading.error = parseError(event.data);
        return;
      }
      const frame = JSON.parse(event.data) as {
        choices: { delta: { content?: string } }[];
      };
      const text = frame.choices[0]?.delta.content;
      if (text === undefined) return;
      const nowMs = performance.now();
      if (reading.firstMs === undefined) reading.firstMs = nowMs;
      else reading.gapsMs.push(nowMs - reading.lastMs);
      reading.lastMs = nowMs;
      reading.text += text;
      call.onText?.(text);
    },
  });
}

/** Builds a client with its own connections. */
export function createCompletionClient(): CompletionClient {
  const agent = new Agent({ connections: 1024, headersTimeout: 0, bodyTimeout: 0, pipelining: 1 });

  return {
    async send(call) {
      const startedMs = performance.now();
      const controller = new AbortController();
      const giveUp =
        call.giveUpMs === undefined
          ? undefined
          : setTimeout(() => controller.abort(), call.giveUpMs);
      const reading: Reading = {
        text: '',
        isWhole: false,
        firstMs: undefined,
        lastMs: startedMs,
        gapsMs: [],
        error: undefined,
      };
      let status = 0;
      let requestId = '';
      try {
        const response = await agent.request({
          origin: call.url,
          method: 'POST',
          path: '/v1/chat/completions',
          headers: {
            authorization: `Bearer ${call.key}`,
            'content-type': 'application/json',
            ...(call.className === undefined ? {} : { 'x-hyssoptally-class': call.className }),
            ...call.headers,
          },
          body: JSON.stringify({
            model: call.model,
            stream: true,
            messages: [{ role: 'user', content: call.prompt }],
            ...(call.maxTokens === undefined ? {} : { max_tokens: call.maxTokens }),
          }),
          signal: controller.signal,
        });
        status = response.statusCode;
        requestId = String(response.headers['x-hyssoptally-request-id'] ?? '');
        const isStream = String(response.headers['content-type']).startsWith('text/event-stream');
        if (isStream) {
          const reader = createReader(reading, call);
          const decoder = new TextDecoder();
          for await (const chunk of response.body) {
            reader.feed(decoder.decode(chunk as Buffer, { stream: true }));
          }
        } else {
          reading.error = parseError(await response.body.text());
        }
      } catch {
        // After a broken connection or a timeout, the result is what was read until then.
      } finally {
        clearTimeout(giveUp);
      }
      return {
        requestId,
        status,
        text: reading.text,
        isWhole: reading.isWhole,
        firstTokenMs: reading.firstMs === undefined ? undefined : reading.firstMs - startedMs,
        gapsMs: reading.gapsMs,
        totalMs: performance.now() - startedMs,
        errorType: reading.error?.type,
        outcome: reading.error?.outcome,
        retryAfterMs: reading.error?.retry_after_ms,
        hasGivenUp: controller.signal.aborted,
      };
    },
    close: () => agent.destroy(),
  };
}
