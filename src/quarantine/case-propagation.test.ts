/** Measures in simulation how long a new crash case takes to reach every instance of a fleet. */
import { CONNECTION_RESULT } from './crash-detector.js';
import { createRouteRanks } from '../routes/route-rank.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import { buildContacts } from '../test/simulated-contacts.js';
import { createSimulatedInstance } from '../test/simulated-instance.js';
import type { SimulatedInstance } from '../test/simulated-instance.js';
import { createSimulatedNetwork } from '../test/simulated-network.js';
import { describe } from '../test/describe.js';
import { createRandom } from '../utils/random.js';

/** Time for the instances to discover each other. */
const DISCOVERY_MS = 8000;
const SEEDS = [1, 2, 3];
const STEP_MS = 10;
/** Time within which every connected instance must know of a crash. */
const NOTICE_MAX_MS = 3000;
/** Share of that time allowed for propagation; the rest is for detecting the crash. */
const PROPAGATION_SHARE = 0.5;

/** Milliseconds until the last instance knows a case that one instance found. */
async function runPropagation(count: number, dataCentres: number, seed: number): Promise<number> {
  const time = createVirtualTime();
  const network = createSimulatedNetwork(time, createRandom(seed));
  const contacts = buildContacts(count, dataCentres);
  const instances: SimulatedInstance[] = [];
  const timers = contacts.map((self, index) => {
    const own = time.createTimers(createActor(self.name), 0);
    time.add(undefined, (300 * index) / count, () => {
      const instance = createSimulatedInstance({
        self,
        contacts,
        timers: own,
        random: createRandom(seed * 1000 + index),
        network,
        listOpen: () => [],
        ranks: createRouteRanks([]),
        connections: {
          open: () => () => undefined,
          closeIdle: () => undefined,
          countOpened: () => 0,
          close: () => Promise.resolve(),
        },
        takeTrialLease: () => Promise.resolve(false),
        checkConnection: () => Promise.resolve(CONNECTION_RESULT.Refused),
        onAttempt: () => undefined,
      });
      network.add(self.address, instance.exchange);
      instances.push(instance);
    });
    return own;
  });
  await time.runUntil(DISCOVERY_MS);
  const crashes = [{ start: 1, sentAgoMs: 500, crashedAgoMs: 0 }];
  instances[seed]?.quarantine.merge(
    [{ content: 'x', organisation: 1, crashes, cleared: [], trial: undefined }],
    'own',
  );
  const isKnown = ({ quarantine }: SimulatedInstance): boolean => quarantine.list().length > 0;
  while (!instances.every(isKnown) && time.getNow() < DISCOVERY_MS + 10 * NOTICE_MAX_MS) {
    // Each step depends on the previous one.
    // eslint-disable-next-line no-await-in-loop
    await time.runUntil(time.getNow() + STEP_MS);
  }
  timers.forEach((own) => own.stop());
  return time.getNow() - DISCOVERY_MS;
}

describe('a report of a crash case', ({ it }) => {
  // Guards against an uninformed instance sending the same request to another endpoint.
  for (const { count, dataCentres } of [
    { count: 7, dataCentres: 3 },
    { count: 70, dataCentres: 3 },
    { count: 195, dataCentres: 5 },
  ]) {
    it(`reaches the last of ${count} instances in time`, async (t) => {
      for (const seed of SEEDS) {
        // One simulated fleet at a time.
        // eslint-disable-next-line no-await-in-loop
        const tookMs = await runPropagation(count, dataCentres, seed);
        t.log(`seed ${seed}: ${tookMs} ms`);
        t.true(tookMs <= NOTICE_MAX_MS * PROPAGATION_SHARE, `seed ${seed}: ${tookMs} ms`);
      }
    });
  }
});
