import type { ExchangeFlow, ExchangeListener } from '../calls/endpoint-connections.js';
import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createAsyncQueue } from '../utils/async-queue.js';
import { createCarrier } from './carrier.js';
import { FORWARD_REFUSAL } from './forward-messages.js';
import type { ForwardOffer, ForwardRefusal, ForwardRequest } from './forward-messages.js';

const ENDPOINT: RegisteredEndpoint = {
  id: 'e',
  startId: 'e@1',
  pool: 'pool',
  address: 'address',
  dataCentre: 'dc',
  slots: 1,
  isLeaving: false,
  isSpot: false,
  softwareVersion: 'v1',
};
const OFFER: ForwardOffer = {
  from: 'sender',
  callId: 'c',
  pool: 'pool',
  endpointStart: 'e@1',
  organisation: undefined,
  host: 'h.example',
  path: '/',
  configurationVersion: 1,
  keyConfirmedAtMs: undefined,
  remainingMs: 2000,
  usesShare: false,
};
const REQUEST: ForwardRequest = {
  kind: 'request',
  request: { method: 'POST', target: '/', headers: [], body: Buffer.from('order') },
};
/** Two of them are more than may wait for the sender. */
const LARGE = Buffer.alloc(40 * 1024);

interface HarnessOptions {
  readonly refusal?: ForwardRefusal;
  readonly hasSlot?: boolean;
}

function createHarness({ refusal, hasSlot = true }: HarnessOptions = {}) {
  let nowMs = 0;
  const flows: string[] = [];
  const remaining: number[] = [];
  let listener: ExchangeListener | undefined;
  let isExchangeClosed = false;
  let slots = 0;
  const carrier = createCarrier({
    getNow: () => nowMs,
    findRefusal: () => refusal,
    findEndpoint: () => ENDPOINT,
    takeSlot() {
      if (!hasSlot) return undefined;
      slots += 1;
      return {
        release() {
          slots -= 1;
        },
      };
    },
    isSendAllowed: () => true,
    updateRemaining(request, remainingMs) {
      remaining.push(remainingMs);
      return request;
    },
    open({ buildRequest, deadlineMs }, opened, flow: ExchangeFlow) {
      buildRequest(deadlineMs - nowMs);
      listener = opened;
      Object.assign(flow, { pause: () => flows.push('pause'), resume: () => flows.push('resume') });
      return () => {
        isExchangeClosed = true;
      };
    },
    onRecord: () => undefined,
  });
  const requests = createAsyncQueue<ForwardRequest>();
  const abort = new AbortController();
  const responses = carrier.run(requests, abort.signal);
  return {
    carrier,
    requests,
    abort,
    flows,
    remaining,
    readNext: async () => (await responses.next()).value,
    getListener: () => listener as ExchangeListener,
    hasOpened: () => listener !== undefined,
    isExchangeClosed: () => isExchangeClosed,
    countSlots: () => slots,
    pass(ms: number) {
      nowMs += ms;
    },
  };
}

describe('a carrier of calls', ({ it }) => {
  it('sends nothing before it got the request', async (t) => {
    const { requests, readNext, hasOpened } = createHarness();
    requests.add({ kind: 'offer', offer: OFFER });
    t.deepEqual(await readNext(), { kind: 'accepted' });
    t.false(hasOpened());
  });

  it('says why it refuses, and ends', async (t) => {
    const { requests, readNext, carrier } = createHarness({ refusal: FORWARD_REFUSAL.PathLost });
    requests.add({ kind: 'offer', offer: OFFER });
    t.deepEqual(await readNext(), { kind: 'refused', reason: 'path_lost' });
    t.is(await readNext(), undefined);
    t.is(carrier.count(), 0);
  });

  it('passes on the answer, and counts the call until its end', async (t) => {
    const { requests, readNext, getListener, carrier } = createHarness();
    requests.add({ kind: 'offer', offer: OFFER });
    await readNext();
    requests.add(REQUEST);
    const head = readNext();
    await new Promise(setImmediate);
    t.is(carrier.count(), 1);
    getListener().onHead(200, []);
    getListener().onData(Buffer.from('a'));
    getListener().onEnd();
    t.like(await head, { kind: 'head', status: 200 });
    t.like(await readNext(), { kind: 'data' });
    t.deepEqual(await readNext(), { kind: 'ended' });
    t.is(await readNext(), undefined);
    t.is(carrier.count(), 0);
  });

  it('states the time that is left after what passed here', async (t) => {
    const { requests, readNext, remaining, pass } = createHarness();
    requests.add({ kind: 'offer', offer: OFFER });
    await readNext();
    pass(300);
    requests.add(REQUEST);
    readNext().catch(() => undefined);
    await new Promise(setImmediate);
    t.deepEqual(remaining, [1700]);
  });

  // Guards against a call that runs long after its sender has given it up.
  it('does not send a request that was held up on its way', async (t) => {
    const { requests, readNext, hasOpened, pass } = createHarness();
    requests.add({ kind: 'offer', offer: OFFER });
    await readNext();
    pass(1500);
    requests.add(REQUEST);
    t.like(await readNext(), { kind: 'failed', isSent: false });
    t.false(hasOpened());
  });

  // Guards against an endpoint that goes on for a caller that left.
  it('closes the connection to the endpoint when the sender gives up', async (t) => {
    const { requests, readNext, abort, carrier, isExchangeClosed } = createHarness();
    requests.add({ kind: 'offer', offer: OFFER });
    await readNext();
    requests.add(REQUEST);
    const next = readNext();
    await new Promise(setImmediate);
    abort.abort();
    t.is(await next, undefined);
    t.true(isExchangeClosed());
    t.is(carrier.count(), 0);
  });

  // Guards against whole answers that pile up in memory for a peer that reads slowly.
  it('holds the endpoint back while the sender does not read', async (t) => {
    const { requests, readNext, getListener, flows } = createHarness();
    requests.add({ kind: 'offer', offer: OFFER });
    await readNext();
    requests.add(REQUEST);
    const head = readNext();
    await new Promise(setImmediate);
    getListener().onHead(200, []);
    await head;
    getListener().onData(LARGE);
    t.deepEqual(flows, []);
    getListener().onData(LARGE);
    t.deepEqual(flows, ['pause']);
    await readNext();
    await readNext();
    t.deepEqual(flows, ['pause', 'resume']);
  });

  it('refuses a call under its share without a free slot, and returns the slot at the end', async (t) => {
    const full = createHarness({ hasSlot: false });
    full.requests.add({ kind: 'offer', offer: { ...OFFER, usesShare: true } });
    t.deepEqual(await full.readNext(), { kind: 'refused', reason: 'no_slot' });
    const free = createHarness();
    free.requests.add({ kind: 'offer', offer: { ...OFFER, usesShare: true } });
    await free.readNext();
    t.is(free.countSlots(), 1);
    free.requests.close();
    t.is(await free.readNext(), undefined);
    t.is(free.countSlots(), 0);
  });
});
