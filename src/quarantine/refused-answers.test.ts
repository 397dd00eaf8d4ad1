import { describe } from '../test/describe.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import type { AttemptEnd } from '../calls/call-messages.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { CONNECTION_RESULT } from './crash-detector.js';
import type { ConnectionResult } from './crash-detector.js';
import { createQuarantine } from './quarantine.js';

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

/** Returns how many crashes count after an attempt that ended so, and the end of the endpoint's start. */
async function countCrashes(end: AttemptEnd, connection: ConnectionResult): Promise<number> {
  let crashes = 0;
  const quarantine = createQuarantine({
    checkConnection: () => Promise.resolve(connection),
    findEndpoint: () => ENDPOINT,
    takeTrialLease: () => Promise.resolve(true),
    mayLackRoom: () => false,
    getNow: () => 0,
    observer: {
      onCrash() {
        crashes += 1;
      },
      onChanged: () => undefined,
      onRefused: () => undefined,
    },
  });
  const source = {
    route: buildSimulatedRoute('lookup', {}),
    sharedTokens: 100,
    ownTokens: 10,
    outputTokens: 10,
    callsPerSecond: 1,
  };
  quarantine.startWatch(buildCall(source, 'first', 0, createRandom(1)), ENDPOINT).recordEnd(end);
  await new Promise(setImmediate);
  quarantine.recordEnded(ENDPOINT);
  return crashes;
}

describe('the quarantine', ({ it }) => {
  for (const connection of Object.values(CONNECTION_RESULT)) {
    // Guards against a call held for one that ends endpoints, since this instance broke its answers off.
    it(`blames no call whose answer this instance broke off (connection ${connection})`, async (t) => {
      const reason = 'closed: bytes that are no answer';
      t.is(await countCrashes({ kind: 'broken', reason, isRefused: true }, connection), 0);
      t.is(await countCrashes({ kind: 'broken', reason }, connection), 1);
    });
  }
});
