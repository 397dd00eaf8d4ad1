/** Memory for the responses of runs. */
import type { AnswerMemory, HeldAnswer } from '../memory/answer-memory.js';
import type { AnswerDelivery } from './call-messages.js';
import type { Run } from './call-run.js';
import { HOLD_REASON } from './exchange-holds.js';
import type { ExchangeHolds } from './exchange-holds.js';

/** Owner of the answers of public routes. */
const NO_ORGANISATION = '';

export interface RunAnswers {
  /** Memory for one attempt, which is held while none is left. */
  openAnswer(run: Run, holds: ExchangeHolds): HeldAnswer;
  closeAnswer(run: Run, answer: HeldAnswer): void;
  closeAnswers(run: Run): void;
  /** Passes the memory of the run on to its sink. */
  takeDelivery(run: Run): AnswerDelivery;
}

export function createRunAnswers(memory: Pick<AnswerMemory, 'open'>): RunAnswers {
  function openAnswer(run: Run, holds: ExchangeHolds): HeldAnswer {
    const answer = memory.open(run.call.organisation ?? NO_ORGANISATION, {
      hold: () => holds.hold(HOLD_REASON.NoMemory),
      resume: () => holds.release(HOLD_REASON.NoMemory),
    });
    run.answers.add(answer);
    return answer;
  }

  function closeAnswer(run: Run, answer: HeldAnswer): void {
    run.answers.delete(answer);
    answer.release();
  }

  function closeAnswers(run: Run): void {
    for (const answer of [...run.answers]) closeAnswer(run, answer);
  }

  function takeDelivery(run: Run): AnswerDelivery {
    const answers = [...run.answers];
    run.answers.clear();
    return {
      startDelivery(close) {
        for (const answer of answers) answer.startDelivery(close);
      },
      release() {
        for (const answer of answers) answer.release();
      },
    };
  }

  return { openAnswer, closeAnswer, closeAnswers, takeDelivery };
}
