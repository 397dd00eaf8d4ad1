/** Builds the body of a completion for an endpoint, also for one that goes on where another broke. */
import type { Work } from '../requests/routed-request.js';

type CompletionWork = Extract<Work, { kind: 'completion' }>;

/**
 * The body to send. With text delivered already, the published `continue_final_message` field asks
 * the endpoint to go on after it; `priority` orders the endpoint's own queue.
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
