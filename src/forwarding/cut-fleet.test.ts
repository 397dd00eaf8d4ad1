import Emittery from 'emittery';
import type { OutgoingExchange } from '../calls/endpoint-exchanges.js';
import type { Contact } from '../membership/membership-messages.js';
import type { TimerService } from '../runtime/timer-service.js';
import { describe } from '../test/describe.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import { hashName } from '../utils/hash.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { createPeerChooser } from './choose-peer.js';
import { FORWARD_REFUSAL } from './forward-messages.js';
import type { ForwardLinks } from './forward-messages.js';
import { createForwarder } from './forwarder.js';

const DATA_CENTRES = 5;
const CALLS_PER_INSTANCE = 40;
/** Time between two calls of an instance. */
const INTERVAL_MS = 250;
const ENDPOINTS = 9;

interface PlayResult {
  readonly calls: number;
  readonly served: number;
  readonly offers: number;
  /** Calls carried by each instance that reaches endpoints in the data centre of the cut ones. */
  readonly carriedNearby: readonly number[];
}

function buildFleet(size: number): Contact[] {
  return Array.from({ length: size }, (_, index) => ({
    name: `front-${index}`,
    address: `front-${index}`,
    dataCentre: `dc-${index % Math.min(DATA_CENTRES, Math.ceil(size / 2))}`,
  }));
}

function buildExchange(index: number, nowMs: number, random: Random): OutgoingExchange {
  const size = { sharedTokens: 1, ownTokens: 1, outputTokens: 1, callsPerSecond: 1 };
  const route = buildSimulatedRoute('call', { timeoutMs: 5000 });
  const start = `e-${random.nextIndex(ENDPOINTS)}`;
  return {
    call: buildCall({ route, ...size }, `c${index}`, nowMs, random),
    endpoint: {
      id: start,
      startId: start,
      pool: 'pool',
      address: start,
      dataCentre: 'dc-0',
      slots: 8,
      isLeaving: false,
      isSpot: false,
      softwareVersion: 'v1',
    },
    connectionsMax: 8,
    buildRequest: () => ({ method: 'GET', target: '/', headers: [], body: Buffer.alloc(0) }),
    hasOtherPlace: () => false,
  };
}

/** Plays calls of the cut instances; the others accept what they are offered and answer it. */
async function runPlay(fleet: readonly Contact[], cut: ReadonlySet<string>): Promise<PlayResult> {
  let nowMs = 0;
  let served = 0;
  let offers = 0;
  const carried = new Map<string, number>();
  const recordServed = (): void => {
    served += 1;
  };
  const timers: TimerService = {
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    events: new Emittery(),
    subscribe: () => () => undefined,
    subscribeOnce: () => () => undefined,
    stop: () => undefined,
  };
  const links: ForwardLinks = {
    open: (address, _, listener) => ({
      send({ kind }) {
        queueMicrotask(() => {
          if (kind === 'request') {
            carried.set(address, (carried.get(address) ?? 0) + 1);
            listener.onResponse({ kind: 'head', status: 200, headers: [] });
            listener.onResponse({ kind: 'ended' });
            return;
          }
          offers += 1;
          if (cut.has(address))
            listener.onResponse({ kind: 'refused', reason: FORWARD_REFUSAL.PathLost });
          else listener.onResponse({ kind: 'accepted' });
        });
      },
      pause: () => undefined,
      resume: () => undefined,
      close: () => undefined,
    }),
    renew: () => undefined,
    close: () => undefined,
  };
  const forwarders = fleet
    .filter(({ name }) => cut.has(name))
    .map((self) =>
      createForwarder({
        self: self.name,
        links,
        peers: createPeerChooser({
          dataCentre: self.dataCentre,
          listPeers: () => fleet.filter(({ name }) => name !== self.name),
          random: createRandom(hashName(self.name)),
          getNow: () => nowMs,
        }),
        timers,
        getConfigurationVersion: () => 1,
        getKeyConfirmedAt: () => undefined,
        onRecord: () => undefined,
      }),
    );
  const random = createRandom(5);
  for (let call = 0; call < CALLS_PER_INSTANCE; call += 1) {
    for (const forwarder of forwarders) {
      forwarder.open(buildExchange(call, nowMs, random), {
        isSendAllowed: () => true,
        onWithheld: () => undefined,
        onHead: () => true,
        onData: () => true,
        onEnd: recordServed,
        onError: () => undefined,
        onAnswering: () => undefined,
        onUnavailable: () => undefined,
      });
    }
    nowMs += INTERVAL_MS;
    // Lets the messages of this round pass before the next.
    // eslint-disable-next-line no-await-in-loop
    await new Promise(setImmediate);
  }
  const nearby = fleet.filter(({ name, dataCentre }) => dataCentre === 'dc-0' && !cut.has(name));
  return {
    calls: forwarders.length * CALLS_PER_INSTANCE,
    served,
    offers,
    carriedNearby: nearby.map(({ name }) => carried.get(name) ?? 0),
  };
}

/** Names of the first instances of a data centre. */
function listCut(fleet: readonly Contact[], share: number): Set<string> {
  const own = fleet.filter(({ dataCentre }) => dataCentre === 'dc-0');
  return new Set(own.slice(0, Math.max(1, Math.floor(own.length * share))).map(({ name }) => name));
}

describe('a fleet in which instances of one data centre lose all endpoints', ({ it }) => {
  for (const size of [7, 70, 195, 410]) {
    // Guards against one peer for all, and against offers that grow with the fleet.
    it(`serves their calls through many of ${size} where half of them are cut`, async (t) => {
      const fleet = buildFleet(size);
      const { calls, served, offers, carriedNearby } = await runPlay(fleet, listCut(fleet, 0.5));
      t.is(served, calls);
      t.true(offers <= calls * 2, `${offers} offers for ${calls} calls`);
      const mean = calls / carriedNearby.length;
      t.true(Math.max(...carriedNearby) <= mean * 2, `carried: ${carriedNearby.join(', ')}`);
    });

    it(`serves them through other data centres of ${size} where all are cut`, async (t) => {
      const fleet = buildFleet(size);
      const { calls, served, offers } = await runPlay(fleet, listCut(fleet, 1));
      t.is(served, calls);
      t.true(offers <= calls * 3, `${offers} offers for ${calls} calls`);
    });
  }
});
