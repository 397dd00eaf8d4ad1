import { createRouteRanks } from '../routes/route-rank.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import { describe } from '../test/describe.js';
import { buildContacts } from '../test/simulated-contacts.js';
import { createSimulatedEngines } from '../test/simulated-engines.js';
import { createSimulatedInstance } from '../test/simulated-instance.js';
import { createSimulatedNetwork } from '../test/simulated-network.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import type { SimulatedRoute } from '../test/simulated-routes.js';
import type { Contact } from '../membership/membership-messages.js';
import { createRandom } from '../utils/random.js';
import type { CallSink, RoutedCall } from './call-messages.js';
import { WAIT_REASON, computeNextTryMs } from './wait-reason.js';

const SLOTS = 4;
/** Time without load in which an instance without peers learns that it has none. */
const START_MS = 2000;
/** Within the time for which a call may wait. */
const WATCH_MS = 1000;
/** Tries of one waiting call in that time: one for each twentieth of its target of 1,500 ms, and the first. */
const TRIES_MAX = 14;

function buildRoute(name: string, priority: number, targetMs: number): SimulatedRoute {
  const route = buildSimulatedRoute(name, { priority, targetMs });
  return { route, sharedTokens: 100, ownTokens: 100, outputTokens: 2000, callsPerSecond: 0 };
}

const LOOKUP = buildRoute('lookup', 0, 250);
const HISTORY = buildRoute('history', 1, 1500);

const SINK: CallSink = {
  onHead: () => undefined,
  onEvent: () => undefined,
  onEnd: () => undefined,
  onResponse: () => undefined,
  onBroken: () => undefined,
  onFailure: () => undefined,
};

/** Counts the times at which a history is tried whose only engine is full of lookups. */
async function countTries(): Promise<number> {
  const time = createVirtualTime();
  const random = createRandom(1);
  const calls = new Map<string, RoutedCall>();
  const engines = createSimulatedEngines({
    options: { engines: 1, slots: SLOTS, queueMax: SLOTS },
    time,
    arrivalsStartMs: 0,
    calls,
  });
  const contacts = buildContacts(1, 1);
  const timers = time.createTimers(createActor('a'), 0);
  const ranks = createRouteRanks([LOOKUP.route, HISTORY.route]);
  const triedMs = new Set<number>();
  const { runner } = createSimulatedInstance({
    self: contacts[0] as Contact,
    contacts,
    timers,
    random,
    network: createSimulatedNetwork(time, random),
    listOpen: () => engines.listRegistered(0),
    ranks: {
      get(route, pool) {
        if (route === HISTORY.route) triedMs.add(time.getNow());
        return ranks.get(route, pool);
      },
    },
    connections: engines.connections,
    takeTrialLease: () => Promise.resolve(false),
    checkConnection: (address) => engines.checkConnection(address),
    onAttempt: () => undefined,
  });
  function run(route: SimulatedRoute, callId: string): void {
    const call = buildCall(route, callId, time.getNow(), random);
    calls.set(callId, call);
    runner.run(call, SINK);
  }
  await time.runUntil(START_MS);
  for (let index = 0; index < SLOTS; index += 1) run(LOOKUP, `lookup-${index}`);
  run(HISTORY, 'history');
  await time.runUntil(START_MS + WATCH_MS);
  timers.stop();
  return triedMs.size;
}

describe('a call that waits for room', ({ it }) => {
  // Guards against less urgent calls that wait and whose tries keep an instance from its urgent ones.
  it('is tried in proportion to its target', async (t) => {
    const tries = await countTries();
    t.true(tries > 1 && tries <= TRIES_MAX, `${tries} tries`);
  });

  // Guards against calls with a target of minutes that never find the slot that has just become free.
  it('is tried ten times a second at least', (t) => {
    t.is(computeNextTryMs(WAIT_REASON.EngineRoom, 60_000, 1000), 1100);
    t.is(computeNextTryMs(WAIT_REASON.EngineRoom, 400, 1000), 1020);
  });

  // Guards against a stream that goes on late since its version was found between two tries.
  it('is tried at each chance if it waits for anything else', (t) => {
    t.is(computeNextTryMs(WAIT_REASON.StreamVersion, 1500, 1000), 1000);
  });
});
