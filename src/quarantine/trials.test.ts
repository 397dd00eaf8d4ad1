import { describe } from '../test/describe.js';
import { STANDING } from './crash-case.js';
import type { CrashCase } from './crash-case.js';
import { createTrials } from './trials.js';
import type { Trials } from './trials.js';

const SUBJECT: CrashCase = {
  content: 'x',
  organisation: 1,
  strikes: new Map(),
  cleared: new Set(),
  trial: undefined,
  changedMs: 0,
  seenMs: 0,
};
const START = 5;

interface Bench {
  readonly trials: Trials;
  readonly subject: CrashCase;
  readonly asked: string[];
  setNow(ms: number): void;
}

function createBench(isGranted: boolean): Bench {
  let nowMs = 0;
  const asked: string[] = [];
  const trials = createTrials({
    takeLease(content) {
      asked.push(content);
      return Promise.resolve(isGranted);
    },
    getNow: () => nowMs,
    onNews: () => undefined,
  });
  return {
    trials,
    subject: { ...SUBJECT },
    asked,
    setNow(ms) {
      nowMs = ms;
    },
  };
}

async function waitForAnswers(): Promise<void> {
  await new Promise(setImmediate);
}

describe(`trials of a content in standing '${STANDING.LastTrial}'`, ({ it }) => {
  it('start with the lease and reserve their endpoint until they end', async (t) => {
    const { trials, subject, asked, setNow } = createBench(true);
    t.false(trials.isDue(subject));
    await waitForAnswers();
    t.true(trials.isDue(subject));
    trials.start(subject, START);
    t.false(trials.isDue(subject), 'a second copy may run');
    setNow(1000);
    trials.advance();
    setNow(2000);
    t.true(trials.isInTrial(START), 'the trial was not renewed');
    trials.stop(subject, true);
    t.false(trials.isInTrial(START));
    t.deepEqual(asked, ['x']);
  });

  // Guards against running a trial without the lease when the source is down or another instance
  // holds it.
  it('do not start without the lease, which is requested periodically', async (t) => {
    const { trials, subject, asked, setNow } = createBench(false);
    for (let ms = 0; ms <= 1000; ms += 25) {
      setNow(ms);
      t.false(trials.isDue(subject));
      // eslint-disable-next-line no-await-in-loop
      await waitForAnswers();
    }
    t.is(asked.length, 3);
  });

  // Guards against losing the lease while its call waits for capacity.
  it('keep the lease while their call waits for capacity', async (t) => {
    const { trials, subject, asked, setNow } = createBench(true);
    trials.isDue(subject);
    await waitForAnswers();
    for (let ms = 100; ms <= 4000; ms += 100) {
      setNow(ms);
      trials.advance();
      t.true(trials.isDue(subject));
    }
    t.deepEqual(asked, ['x']);
  });

  it('end when their lease is not used', async (t) => {
    const { trials, subject, setNow } = createBench(true);
    trials.isDue(subject);
    await waitForAnswers();
    setNow(1001);
    t.false(trials.isDue(subject));
  });

  // Guards against losing the lease when the trial's endpoint cannot be reached.
  it('keep the lease if they reached no endpoint', async (t) => {
    const { trials, subject } = createBench(true);
    trials.isDue(subject);
    await waitForAnswers();
    trials.start(subject, START);
    trials.stop(subject, false);
    t.true(trials.isDue(subject));
    trials.start(subject, START);
    trials.stop(subject, true);
    t.false(trials.isDue(subject));
  });

  it('on other instances count until their report expires', (t) => {
    const { trials, subject, asked, setNow } = createBench(true);
    subject.trial = { start: START, untilMs: 1500 };
    trials.record(subject.trial);
    t.false(trials.isDue(subject));
    t.deepEqual(asked, []);
    t.true(trials.isInTrial(START));
    setNow(1501);
    t.false(trials.isInTrial(START));
  });
});
