import { describe } from '../test/describe.js';
import { STANDING } from './crash-case.js';
import type { CrashCase } from './crash-case.js';
import { createTrials } from './trials.js';
import type { Trials } from './trials.js';

const SUBJECT: CrashCase = {
  content: 'x',
  organisation: 1,
  crashes: new Map(),
  cleared: new Set(),
  trial: undefined,
  changedMs: 0,
  lastActiveMs: 0,
};
const START = 5;

interface Setup {
  readonly trials: Trials;
  readonly subject: CrashCase;
  readonly requested: string[];
  setNow(ms: number): void;
}

function createSetup(isGranted: boolean): Setup {
  let nowMs = 0;
  const requested: string[] = [];
  const trials = createTrials({
    takeLease(content) {
      requested.push(content);
      return Promise.resolve(isGranted);
    },
    getNow: () => nowMs,
    onUpdate: () => undefined,
  });
  return {
    trials,
    subject: { ...SUBJECT },
    requested,
    setNow(ms) {
      nowMs = ms;
    },
  };
}

async function waitForPromises(): Promise<void> {
  await new Promise(setImmediate);
}

describe(`trials of a content in standing '${STANDING.LastTrial}'`, ({ it }) => {
  it('start with the lease and reserve their endpoint until they end', async (t) => {
    const { trials, subject, requested, setNow } = createSetup(true);
    t.false(trials.isDue(subject));
    await waitForPromises();
    t.true(trials.isDue(subject));
    trials.start(subject, START);
    t.false(trials.isDue(subject), 'a second copy may run');
    setNow(1000);
    trials.advance();
    setNow(2000);
    t.true(trials.isInTrial(START), 'the trial was not renewed');
    trials.stop(subject, true);
    t.false(trials.isInTrial(START));
    t.deepEqual(requested, ['x']);
  });

  // Guards against running a trial without the lease when the source is down or another instance
  // holds it.
  it('do not start without the lease, which is requested periodically', async (t) => {
    const { trials, subject, requested, setNow } = createSetup(false);
    for (let ms = 0; ms <= 1000; ms += 25) {
      setNow(ms);
      t.false(trials.isDue(subject));
      // Each lease request must finish before the clock advances.
      // eslint-disable-next-line no-await-in-loop
      await waitForPromises();
    }
    t.is(requested.length, 3);
  });

  // Guards against losing the lease while its call waits for capacity.
  it('keep the lease while their call waits for capacity', async (t) => {
    const { trials, subject, requested, setNow } = createSetup(true);
    trials.isDue(subject);
    await waitForPromises();
    for (let ms = 100; ms <= 4000; ms += 100) {
      setNow(ms);
      trials.advance();
      t.true(trials.isDue(subject));
    }
    t.deepEqual(requested, ['x']);
  });

  it('end when their lease is not used', async (t) => {
    const { trials, subject, setNow } = createSetup(true);
    trials.isDue(subject);
    await waitForPromises();
    setNow(1001);
    t.false(trials.isDue(subject));
  });

  // Guards against losing the lease when the trial's endpoint cannot be reached.
  it('keep the lease if they reached no endpoint', async (t) => {
    const { trials, subject } = createSetup(true);
    trials.isDue(subject);
    await waitForPromises();
    trials.start(subject, START);
    trials.stop(subject, false);
    t.true(trials.isDue(subject));
    trials.start(subject, START);
    trials.stop(subject, true);
    t.false(trials.isDue(subject));
  });

  it('on other instances count until their report expires', (t) => {
    const { trials, subject, requested, setNow } = createSetup(true);
    subject.trial = { start: START, expiresMs: 1500 };
    trials.record(subject.trial);
    t.false(trials.isDue(subject));
    t.deepEqual(requested, []);
    t.true(trials.isInTrial(START));
    setNow(1501);
    t.false(trials.isInTrial(START));
  });
});
