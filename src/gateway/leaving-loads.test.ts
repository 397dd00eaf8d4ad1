import { createFleetTime } from '../duties/fleet-time.js';
import type { Contact } from '../membership/membership-messages.js';
import { createEndpointLoads } from '../placement/endpoint-loads.js';
import { createInvariants } from '../runtime/invariants.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import { describe } from '../test/describe.js';
import { buildContacts } from '../test/simulated-contacts.js';
import { createSimulatedNetwork } from '../test/simulated-network.js';
import type { SimulatedNetwork } from '../test/simulated-network.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { Random } from '../utils/random.js';
import { createRandom } from '../utils/random.js';
import { Ok } from '../utils/result.js';
import { createPeerExchange } from './peer-exchange.js';

const ENGINE: RegisteredEndpoint = {
  id: 'engine',
  startId: 'engine',
  pool: 'p',
  address: 'engine:1',
  dataCentre: 'dc-0',
  slots: 24,
  isLeaving: false,
  isSpot: false,
  softwareVersion: 'v1',
};
const WARM_UP_MS = 6000;
/** Longer than loads are kept without being repeated, shorter than a drain. */
const DRAINING_MS = 3000;

interface InstanceOptions {
  readonly self: Contact;
  readonly contacts: readonly Contact[];
  readonly timers: TimerService;
  readonly random: Random;
  readonly network: SimulatedNetwork;
}

function createInstance({ self, contacts, timers, random, network }: InstanceOptions) {
  const loads = createEndpointLoads();
  let isLeaving = false;
  const exchange = createPeerExchange({
    self,
    incarnation: 1,
    seeds: contacts.slice(0, 3).map(({ address }) => address),
    timers,
    random,
    invariants: createInvariants(() => undefined),
    log: { write: () => undefined },
    links: network.createLinks(self),
    datagrams: network.createDatagrams(self),
    time: createFleetTime(),
    instances: {
      list: async () => Ok(contacts.map((contact) => ({ ...contact, state: 'live' }))),
      register: async () => Ok(undefined),
    },
    loads,
    quarantine: { takeReports: () => [], merge: () => undefined },
    shares: { takeReports: () => [] },
    limits: { takeReports: () => [] },
    availability: { takeReports: () => [] },
    knowledge: {
      applyResponse: () => undefined,
      applySummary: () => false,
      computeAge: () => 0,
      computeEndpointsAge: () => 0,
      getSummary: () => ({ configurationRevision: 1, endpointsRevision: 1, confirmedAtMs: 0 }),
      setRole: () => undefined,
    },
    isLeaving: () => isLeaving,
  });
  network.add(self.address, exchange);
  return {
    countRunning: () => loads.get(ENGINE.startId).running,
    startCall: (nowMs: number) => loads.start(ENGINE, 500, nowMs),
    leave() {
      isLeaving = true;
      exchange.leave();
    },
  };
}

/** Lets some instances leave; returns how many calls each instance counts at the engine a while later. */
async function countBesideLeaving(contacts: readonly Contact[], leaving: readonly number[]) {
  const time = createVirtualTime();
  const network = createSimulatedNetwork(time, createRandom(1), { lossProbability: 0 });
  const fleet = contacts.map((self, index) =>
    createInstance({
      self,
      contacts,
      timers: time.createTimers(createActor(self.name), 0),
      random: createRandom(index + 2),
      network,
    }),
  );
  await time.runUntil(WARM_UP_MS);
  for (const instance of fleet) instance.startCall(WARM_UP_MS);
  for (const index of leaving) fleet[index]?.leave();
  await time.runUntil(WARM_UP_MS + DRAINING_MS);
  return fleet.map((instance) => instance.countRunning());
}

describe('instances that are leaving', ({ it }) => {
  // Guards against a leaving instance that takes the engines for idle and fills them with what waits there.
  it('know the calls of the others, which know theirs', async (t) => {
    const cases = [
      [buildContacts(6, 3), [0]],
      [buildContacts(6, 3), [1, 2, 4]],
      // The last data centre has one instance, which leaves.
      [[...buildContacts(5, 2), { name: 'alone', address: 'alone:1', dataCentre: 'dc-9' }], [5]],
      [buildContacts(70, 3), [0, 7, 33]],
    ] as const;
    for (const [contacts, leaving] of cases) {
      // One fleet after the other.
      // eslint-disable-next-line no-await-in-loop
      const counts = await countBesideLeaving(contacts, leaving);
      t.deepEqual(new Set(counts), new Set([contacts.length]), `${leaving.join()} leave`);
    }
  });
});
