import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { CONNECTION_RESULT, createCrashDetector } from './crash-detector.js';
import type {
  ConnectionResult,
  InterruptedAnswer,
  CrashDetector,
  EndpointCrash,
} from './crash-detector.js';

const ENDPOINT: RegisteredEndpoint = {
  id: 'a',
  startId: 'a@1',
  pool: 'p',
  address: '10.0.0.1:80',
  dataCentre: 'd',
  slots: 16,
  isLeaving: false,
  isSpot: false,
  softwareVersion: 'v1',
};

function buildAnswer(content: string, interruptedMs = 0): InterruptedAnswer {
  return { content, parts: [], organisation: 1, sentMs: 0, interruptedMs };
}

interface Setup {
  readonly detector: CrashDetector;
  readonly crashes: EndpointCrash[];
  countChecks(): number;
}

function createSetup(acceptance: ConnectionResult): Setup {
  const crashes: EndpointCrash[] = [];
  let checks = 0;
  const detector = createCrashDetector({
    checkConnection: () => {
      checks += 1;
      return Promise.resolve(acceptance);
    },
    onCrash: (crash) => crashes.push(crash),
  });
  return { detector, crashes, countChecks: () => checks };
}

async function waitForPromises(): Promise<void> {
  await new Promise(setImmediate);
}

describe('crash detector', ({ it }) => {
  it('reports all interrupted answers of an endpoint that refuses connections, after one check', async (t) => {
    const {
      detector,
      crashes,
      countChecks: countQuestions,
    } = createSetup(CONNECTION_RESULT.Refused);
    detector.recordInterrupted(ENDPOINT, buildAnswer('x', 0));
    detector.recordInterrupted(ENDPOINT, buildAnswer('y', 1));
    await waitForPromises();
    t.deepEqual(crashes, [
      {
        endpoint: ENDPOINT,
        answers: [buildAnswer('x'), buildAnswer('y', 1)],
        evidence: 'connection refused',
      },
    ]);
    t.is(countQuestions(), 1);
  });

  it('reports no crash when the endpoint still accepts connections', async (t) => {
    const { detector, crashes } = createSetup(CONNECTION_RESULT.Accepted);
    detector.recordInterrupted(ENDPOINT, buildAnswer('x', 0));
    await waitForPromises();
    t.deepEqual(crashes, []);
  });

  // Guards against missing a crash that a connection check does not show, because the endpoint
  // restarted within milliseconds or was unreachable.
  it('reports a crash from the registry when the connection check proved nothing', async (t) => {
    for (const acceptance of [CONNECTION_RESULT.Accepted, CONNECTION_RESULT.Unreachable]) {
      const { detector, crashes } = createSetup(acceptance);
      detector.recordInterrupted(ENDPOINT, buildAnswer('x', 0));
      // The check must finish before the registry reports the end.
      // eslint-disable-next-line no-await-in-loop
      await waitForPromises();
      detector.recordEnded(ENDPOINT);
      t.deepEqual(crashes, [
        { endpoint: ENDPOINT, answers: [buildAnswer('x')], evidence: 'start ended' },
      ]);
    }
  });

  // Guards against missing a crash that left connections open: callers abandon their answers before
  // the registry reports the crash.
  it('reports a crash from the registry for answers abandoned after a silence', (t) => {
    const {
      detector,
      crashes,
      countChecks: countQuestions,
    } = createSetup(CONNECTION_RESULT.Accepted);
    detector.recordAbandoned(ENDPOINT, buildAnswer('x'));
    t.is(countQuestions(), 0);
    detector.recordEnded(ENDPOINT);
    t.deepEqual(crashes, [
      { endpoint: ENDPOINT, answers: [buildAnswer('x')], evidence: 'start ended' },
    ]);
  });

  it('reports no crash for a planned shutdown or long after an interruption', async (t) => {
    const { detector, crashes } = createSetup(CONNECTION_RESULT.Accepted);
    detector.recordInterrupted(ENDPOINT, buildAnswer('x', 0));
    await waitForPromises();
    detector.recordEnded({ ...ENDPOINT, isLeaving: true });
    detector.recordInterrupted(ENDPOINT, buildAnswer('x', 0));
    await waitForPromises();
    detector.advance(10_001);
    detector.recordEnded(ENDPOINT);
    t.deepEqual(crashes, []);
  });

  // Guards against unbounded memory, and against blaming old interruptions for a later crash.
  it('drops old interrupted answers while new ones arrive', async (t) => {
    const { detector, crashes } = createSetup(CONNECTION_RESULT.Accepted);
    for (let second = 0; second <= 60; second += 1) {
      detector.recordInterrupted(ENDPOINT, buildAnswer(`at-${second}`, second * 1000));
      // Each check must finish before the clock advances.
      // eslint-disable-next-line no-await-in-loop
      await waitForPromises();
      detector.advance(second * 1000);
    }
    detector.recordEnded(ENDPOINT);
    t.is(crashes[0]?.answers.length, 11);
    t.is(crashes[0]?.answers[0]?.content, 'at-50');
  });
});
