/** Builds completion request bodies for endpoints, including resumed completions. */
import type { Work } from '../requests/routed-request.js';

type CompletionWork = Extract<Work, { kind: 'completion' }>;

/**
 * Builds the body. After text has been delivered, `continue_final_message` makes the endpoint continue
 * it; `priority` orders the queue of the endpoint.
 */
export function buildCompletionBody(
  work: CompletionWork,
  tier: number,
  offset: number,
  delivered: string,
): string {
  const isContinued = offset > 0;
  const messages = isContinued
    ? [...work.messages, { role: 'assistant', content: delivered }]
    : work.messages;
  const left = work.maxTokens === undefined ? undefined : Math.max(1, work.maxTokens - offset);
  return JSON.stringify({
    ...work.fields,
    model: work.model,
    messages,
    stream: true,
    priority: tier,
    ...(left === undefined ? {} : { max_tokens: left }),
    ...(isContinued ? { continue_final_message: true, add_generation_prompt: false } : {}),
  });
}
