import Emittery from 'emittery';
import type { ExchangeFlow } from '../calls/endpoint-connections.js';
import type { OutgoingExchange } from '../calls/endpoint-exchanges.js';
import { describe } from '../test/describe.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import type { TimerService } from '../runtime/timer-service.js';
import { createRandom } from '../utils/random.js';
import { createPeerChooser } from './choose-peer.js';
import { FORWARD_REFUSAL } from './forward-messages.js';
import type { ForwardListener, ForwardRequest } from './forward-messages.js';
import { createForwarder } from './forwarder.js';
import type { ForwardedListener } from './forwarder.js';

const OFFER_TIMEOUT_MS = 300;
const NAMES = ['p1', 'p2', 'p3'];

interface OpenStream {
  readonly address: string;
  readonly listener: ForwardListener;
  readonly sent: ForwardRequest[];
  isClosed: boolean;
}

function createHarness(isSendAllowed = true) {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const delayed = new Map<() => void, number>();
  const timers: TimerService = {
    clock,
    events: new Emittery(),
    subscribe: () => () => undefined,
    subscribeOnce(delayMs, handler) {
      delayed.set(handler, nowMs + delayMs);
      return () => delayed.delete(handler);
    },
    stop: () => undefined,
  };
  const streams: OpenStream[] = [];
  const events: string[] = [];
  const renewed: string[] = [];
  const forwarder = createForwarder({
    self: 'sender',
    links: {
      open(address, _, listener) {
        const stream: OpenStream = { address, listener, sent: [], isClosed: false };
        streams.push(stream);
        return {
          send: (request) => stream.sent.push(request),
          pause: () => events.push(`pause ${address}`),
          resume: () => events.push(`resume ${address}`),
          close() {
            stream.isClosed = true;
          },
        };
      },
      renew: (address) => renewed.push(address),
      close: () => undefined,
    },
    peers: createPeerChooser({
      dataCentre: 'dc',
      listPeers: () => NAMES.map((name) => ({ name, address: name, dataCentre: 'dc' })),
      random: createRandom(3),
      getNow: clock.monotonicMs,
    }),
    timers,
    getConfigurationVersion: () => 7,
    getKeyConfirmedAt: () => 1,
    onRecord: () => undefined,
  });
  const call = buildCall(
    {
      route: buildSimulatedRoute('call', { timeoutMs: 5000 }),
      sharedTokens: 1,
      ownTokens: 1,
      outputTokens: 1,
      callsPerSecond: 1,
    },
    'c',
    0,
    createRandom(1),
  );
  const exchange: OutgoingExchange = {
    call,
    endpoint: {
      id: 'e',
      startId: 'e@1',
      pool: 'pool',
      address: 'address',
      dataCentre: 'dc',
      slots: 1,
      isLeaving: false,
      isSpot: false,
      softwareVersion: 'v1',
    },
    connectionsMax: 1,
    buildRequest: (remainingMs) => ({
      method: 'POST',
      target: String(Math.round(remainingMs)),
      headers: [],
      body: Buffer.from('order'),
    }),
    hasOtherPlace: () => false,
  };
  const flow: ExchangeFlow = { pause: () => undefined, resume: () => undefined };
  const listener: ForwardedListener = {
    isSendAllowed: () => isSendAllowed,
    onWithheld: () => events.push('withheld'),
    onHead: (status) => events.push(`head ${status}`) > 0,
    onData: (bytes) => events.push(`data ${bytes.toString()}`) > 0,
    onEnd: () => events.push('end'),
    onError: (isSent) => events.push(isSent ? 'broken' : 'unsent'),
    onAnswering: () => events.push('answering'),
    onUnavailable: (isEndpointDown) =>
      events.push(isEndpointDown ? 'endpoint down' : 'unavailable'),
  };
  const close = forwarder.open(exchange, listener, { flow });
  const countHandedOver = (): number =>
    streams.flatMap(({ sent }) => sent).filter(({ kind }) => kind === 'request').length;
  return {
    streams,
    events,
    renewed,
    flow,
    close,
    countHandedOver,
    getLast: () => streams.at(-1) as OpenStream,
    runFor(ms: number) {
      nowMs += ms;
      for (const [handler, dueMs] of [...delayed]) {
        if (dueMs <= nowMs && delayed.delete(handler)) handler();
      }
    },
  };
}

describe('a forwarder', ({ describe: block }) => {
  block('before a peer has accepted', ({ it }) => {
    it('hands over nothing, and asks the next peer once one refuses', (t) => {
      const { streams, events, countHandedOver, getLast } = createHarness();
      getLast().listener.onResponse({ kind: 'refused', reason: FORWARD_REFUSAL.Busy });
      t.is(streams.length, 2);
      t.true(streams[0]?.isClosed);
      t.is(countHandedOver(), 0);
      t.deepEqual(events, []);
    });

    // Guards against a slow caller that holds back a peer which carries nothing for it.
    it('holds the peer back that it has come to', (t) => {
      const { streams, events, flow, getLast } = createHarness();
      getLast().listener.onResponse({ kind: 'refused', reason: FORWARD_REFUSAL.Busy });
      flow.pause();
      flow.resume();
      t.deepEqual(events, [`pause ${streams[1]?.address}`, `resume ${streams[1]?.address}`]);
    });

    // Guards against an old release, which answers that it does not know the call.
    it('goes on where a peer does not know the call, and ends unavailable after the last', (t) => {
      const { events, countHandedOver, getLast } = createHarness();
      for (let index = 0; index < NAMES.length; index += 1)
        getLast().listener.onClosed(true, 'unimplemented');
      t.deepEqual(events, ['unavailable']);
      t.is(countHandedOver(), 0);
    });

    // Guards against a late acceptance that would send the call a second time.
    it('ignores what a peer says after the offer was withdrawn', (t) => {
      const { streams, countHandedOver, getLast } = createHarness();
      const [first] = streams;
      getLast().listener.onClosed(false, 'reset');
      first?.listener.onResponse({ kind: 'accepted' });
      t.is(countHandedOver(), 0);
    });

    it('sends nothing for a caller that left', (t) => {
      const { streams, events, close, countHandedOver } = createHarness();
      close();
      streams[0]?.listener.onResponse({ kind: 'accepted' });
      t.true(streams[0]?.isClosed);
      t.is(countHandedOver(), 0);
      t.deepEqual(events, []);
    });

    it('withholds a call that must not be sent any more', (t) => {
      const { events, countHandedOver, getLast } = createHarness(false);
      getLast().listener.onResponse({ kind: 'accepted' });
      t.deepEqual(events, ['withheld']);
      t.is(countHandedOver(), 0);
    });
  });

  block('after the request was handed over', ({ it }) => {
    it('passes on the answer piece by piece', (t) => {
      const { events, getLast } = createHarness();
      const { listener } = getLast();
      listener.onResponse({ kind: 'accepted' });
      listener.onResponse({ kind: 'head', status: 200, headers: [] });
      listener.onResponse({ kind: 'data', bytes: Buffer.from('a') });
      listener.onResponse({ kind: 'data', bytes: Buffer.from('b') });
      listener.onResponse({ kind: 'ended' });
      t.deepEqual(events, ['answering', 'head 200', 'data a', 'data b', 'end']);
    });

    // Guards against a second run where a peer that died may have sent the request.
    it('never hands it over again where the stream broke', (t) => {
      const { events, countHandedOver, getLast } = createHarness();
      getLast().listener.onResponse({ kind: 'accepted' });
      getLast().listener.onClosed(false, 'reset');
      t.deepEqual(events, ['broken']);
      t.is(countHandedOver(), 1);
    });

    // Guards against an answer that was cut short and looks complete.
    it('reports a stream that ended without its end as broken', (t) => {
      const { events, getLast } = createHarness();
      const { listener } = getLast();
      listener.onResponse({ kind: 'accepted' });
      listener.onResponse({ kind: 'head', status: 200, headers: [] });
      listener.onClosed(false, 'the peer ended the stream');
      t.deepEqual(events, ['answering', 'head 200', 'broken']);
    });

    it('asks another peer where the peer says that nothing was sent', (t) => {
      const { streams, events, countHandedOver, getLast } = createHarness();
      getLast().listener.onResponse({ kind: 'accepted' });
      getLast().listener.onResponse({ kind: 'failed', isSent: false, reason: 'refused' });
      t.is(streams.length, 2);
      getLast().listener.onResponse({ kind: 'accepted' });
      t.is(countHandedOver(), 2);
      getLast().listener.onResponse({ kind: 'failed', isSent: false, reason: 'refused' });
      t.deepEqual(events, ['endpoint down']);
    });

    it('does not where the peer says that it may have been sent', (t) => {
      const { streams, events, getLast } = createHarness();
      getLast().listener.onResponse({ kind: 'accepted' });
      getLast().listener.onResponse({ kind: 'failed', isSent: true, reason: 'reset' });
      t.is(streams.length, 1);
      t.deepEqual(events, ['broken']);
    });

    it('closes the stream when the caller leaves', (t) => {
      const { streams, events, close, getLast } = createHarness();
      getLast().listener.onResponse({ kind: 'accepted' });
      close();
      t.true(streams[0]?.isClosed);
      t.deepEqual(events, []);
    });
  });

  block('of an offer that a peer does not answer', ({ it }) => {
    it('asks the next peer, over a new connection to the silent one from then on', (t) => {
      const { streams, renewed, runFor } = createHarness();
      runFor(OFFER_TIMEOUT_MS);
      t.is(streams.length, 2);
      t.deepEqual(renewed, [streams[0]?.address]);
    });
  });
});
