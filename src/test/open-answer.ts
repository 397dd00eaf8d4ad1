/** Memory for one response, with room for the largest. */
import { createAnswerMemory } from '../memory/answer-memory.js';
import type { AnswerMemory, HeldAnswer } from '../memory/answer-memory.js';
import { createMemoryBudget } from '../memory/memory-budget.js';

const BUDGET_BYTES = 64 * 1024 * 1024;

export function createRoomyAnswerMemory(): AnswerMemory {
  return createAnswerMemory({
    budget: createMemoryBudget(BUDGET_BYTES),
    largeBytesMax: BUDGET_BYTES,
    getNow: () => 0,
  });
}

export function openAnswer(): HeldAnswer {
  return createRoomyAnswerMemory().open('organisation', {
    hold: () => undefined,
    resume: () => undefined,
  });
}
