import { setImmediate as waitImmediate } from 'node:timers/promises';
import type { ExchangeFlow, ExchangeListener } from '../calls/endpoint-connections.js';
import type { OutgoingExchange } from '../calls/endpoint-exchanges.js';
import { CONNECTION_RESULT } from '../quarantine/crash-detector.js';
import type { ConnectionResult } from '../quarantine/crash-detector.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import { describe } from '../test/describe.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import { createRandom } from '../utils/random.js';
import { createForwardedExchanges } from './forwarded-exchanges.js';
import type { ForwardedListener } from './forwarder.js';
import { createPathLedger } from './path-ledger.js';

const ROUTE = buildSimulatedRoute('call', { timeoutMs: 60_000, targetMs: 200 });
/** Silence after which the path of a call is doubted. */
const DOUBTED_MS = 1500;

function buildExchange(): OutgoingExchange {
  const source = { sharedTokens: 1, ownTokens: 1, outputTokens: 1, callsPerSecond: 1 };
  return {
    call: buildCall({ route: ROUTE, ...source }, 'c', 0, createRandom(1)),
    endpoint: {
      id: 'a',
      startId: 'a',
      pool: 'pool',
      address: 'a:80',
      dataCentre: 'd',
      slots: 8,
      isLeaving: false,
      isSpot: false,
      softwareVersion: 'v1',
    },
    connectionsMax: 8,
    buildRequest: () => ({ method: 'POST', target: '/', headers: [], body: Buffer.alloc(0) }),
    hasOtherPlace: () => false,
  };
}

/** Records what a call is told, in order. */
function createListener(): { readonly told: string[]; readonly listener: ExchangeListener } {
  const told: string[] = [];
  return {
    told,
    listener: {
      isSendAllowed: () => true,
      onWithheld: () => told.push('withheld'),
      onHead: () => told.push('head') > 0,
      onData: () => told.push('data') > 0,
      onEnd: () => told.push('end'),
      onError: () => told.push('error'),
      onPathLost: () => told.push('path lost'),
    },
  };
}

/** An instance whose endpoint never answers it, while peers get answers at once. */
function createHarness(connection: ConnectionResult) {
  const time = createVirtualTime();
  const timers = time.createTimers(createActor('front-1'), 0);
  let checks = 0;
  const ledger = createPathLedger({
    getNow: () => timers.clock.monotonicMs(),
    onChanged: () => undefined,
  });
  const exchanges = createForwardedExchanges({
    connections: { open: () => () => undefined, closeIdle: () => undefined },
    ledger,
    forwarder: {
      open(_, listener: ForwardedListener) {
        listener.onAnswering(timers.clock.monotonicMs());
        listener.onHead(200, []);
        listener.onEnd();
        return () => undefined;
      },
    },
    checkConnection() {
      checks += 1;
      return Promise.resolve(connection);
    },
    timers,
    listOwners: () => undefined,
    onPeerAnswered: () => undefined,
  });
  return {
    exchanges,
    countChecks: () => checks,
    async runFor(ms: number) {
      // The result of a check comes between two events.
      await waitImmediate();
      await time.runUntil(time.getNow() + ms);
    },
  };
}

describe('an exchange that falls silent while a peer gets answers', ({ it }) => {
  // Guards against an endpoint's answer to one request that is taken for the end of another.
  it('goes on, and its path is asked before it counts as lost', async (t) => {
    const { exchanges, runFor, countChecks } = createHarness(CONNECTION_RESULT.Accepted);
    const silent = createListener();
    exchanges.open(buildExchange(), silent.listener);
    await runFor(DOUBTED_MS);
    exchanges.open(buildExchange(), createListener().listener);
    await runFor(10 * DOUBTED_MS);
    t.deepEqual(silent.told, []);
    t.is(countChecks(), 1);
  });

  // Guards against an early end that gains nothing for a call that nobody may repeat.
  it('is told of the loss of its path, and not ended', async (t) => {
    const { exchanges, runFor } = createHarness(CONNECTION_RESULT.Unreachable);
    const silent = createListener();
    exchanges.open(buildExchange(), silent.listener);
    await runFor(DOUBTED_MS);
    exchanges.open(buildExchange(), createListener().listener);
    await runFor(DOUBTED_MS);
    t.deepEqual([...new Set(silent.told)], ['path lost']);
  });

  // Guards against a peer that ends what it carries by a doubt of its own.
  it('goes on if it is carried for a peer', async (t) => {
    const { exchanges, runFor } = createHarness(CONNECTION_RESULT.Unreachable);
    const { endpoint, connectionsMax, buildRequest } = buildExchange();
    const carried = createListener();
    const flow: ExchangeFlow = { pause: () => undefined, resume: () => undefined };
    const request = buildRequest(1);
    exchanges.openCarried({ endpoint, connectionsMax, request }, carried.listener, flow);
    await runFor(2 * DOUBTED_MS);
    exchanges.open(buildExchange(), createListener().listener);
    await runFor(10 * DOUBTED_MS);
    t.false(carried.told.includes('error'));
  });
});

/** An instance whose endpoint refuses connections, and that no peer reaches. */
function createUnreachedHarness() {
  const time = createVirtualTime();
  const timers = time.createTimers(createActor('front-1'), 0);
  const asked: (number | undefined)[] = [];
  const ledger = createPathLedger({
    getNow: () => timers.clock.monotonicMs(),
    onChanged: () => undefined,
  });
  const exchanges = createForwardedExchanges({
    connections: {
      open(_address, _connectionsMax, _request, listener) {
        queueMicrotask(() => listener.onError(false, 'refused', true));
        return () => undefined;
      },
      closeIdle: () => undefined,
    },
    ledger,
    forwarder: {
      open(_, listener: ForwardedListener, way) {
        asked.push(way?.peersMax);
        queueMicrotask(() => listener.onUnavailable(false));
        return () => undefined;
      },
    },
    checkConnection: () => Promise.resolve(CONNECTION_RESULT.Refused),
    timers,
    listOwners: () => undefined,
    onPeerAnswered: () => undefined,
  });
  return { exchanges, asked };
}

describe('an exchange whose endpoint refuses connections', ({ it }) => {
  // Guards against calls that ask one peer after the other while another endpoint has room.
  it('ends unsent at once if its call has another place', async (t) => {
    const { exchanges, asked } = createUnreachedHarness();
    const { told, listener } = createListener();
    exchanges.open({ ...buildExchange(), hasOtherPlace: () => true }, listener);
    await waitImmediate();
    t.deepEqual(told, ['error']);
    t.deepEqual(asked, []);
  });

  it('asks one peer later on if its call has another place', async (t) => {
    const { exchanges, asked } = createUnreachedHarness();
    const { listener } = createListener();
    exchanges.open({ ...buildExchange(), hasOtherPlace: () => true }, listener);
    await waitImmediate();
    exchanges.open({ ...buildExchange(), hasOtherPlace: () => true }, listener);
    await waitImmediate();
    t.deepEqual(asked, [1]);
  });

  // Guards against an instance without any path that refuses calls which its peers can carry.
  it('goes through peers if its call has no other place', async (t) => {
    const { exchanges, asked } = createUnreachedHarness();
    exchanges.open(buildExchange(), createListener().listener);
    await waitImmediate();
    t.deepEqual(asked, [undefined]);
  });
});
