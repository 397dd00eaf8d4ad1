/**
 * Carries exchanges with endpoints for peers that do not reach them. Each is one offer and one
 * request; the endpoint is the one that the peer names, reached over this instance's own connections.
 */
import type {
  EndpointRequest,
  ExchangeFlow,
  ExchangeListener,
} from '../calls/endpoint-connections.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { SlotTicket } from '../slot-shares/slot-shares.js';
import { FORWARD_REFUSAL } from './forward-messages.js';
import type {
  ForwardOffer,
  ForwardRefusal,
  ForwardRequest,
  ForwardResponse,
} from './forward-messages.js';
import { createResponseQueue } from './response-queue.js';

/** A request that comes later after its offer was held up on the way and is not sent. */
const REQUEST_DELAY_MAX_MS = 1000;

/** The sender counts the call in its own share. */
const NO_SLOT: SlotTicket = { release: () => undefined };

/** An exchange carried for a peer. */
export interface CarriedExchange {
  readonly offer: ForwardOffer;
  readonly endpoint: RegisteredEndpoint;
  readonly buildRequest: (remainingMs: number) => EndpointRequest;
  readonly deadlineMs: number;
}

interface AcceptedOffer {
  readonly offer: ForwardOffer;
  readonly endpoint: RegisteredEndpoint;
  /** When the offer came. */
  readonly offeredMs: number;
}

export interface CarriedRecord {
  readonly offer: ForwardOffer;
  readonly result: 'taken' | 'ended' | 'refused' | 'failed';
  readonly detail: string;
  readonly tookMs: number;
}

export interface CarrierOptions {
  readonly getNow: () => number;
  /** `carried`: exchanges that are carried now. */
  readonly findRefusal: (offer: ForwardOffer, carried: number) => ForwardRefusal | undefined;
  readonly findEndpoint: (start: string) => RegisteredEndpoint | undefined;
  /** Takes a slot of this instance's share of a brittle endpoint; undefined if none is free. */
  readonly takeSlot: (endpoint: RegisteredEndpoint) => SlotTicket | undefined;
  /** Looked at right before the request is written. */
  readonly isSendAllowed: (offer: ForwardOffer, endpoint: RegisteredEndpoint) => boolean;
  /** States another time left in a request. */
  readonly updateRemaining: (request: EndpointRequest, remainingMs: number) => EndpointRequest;
  /** Starts the exchange over this instance's own connections. */
  readonly open: (
    exchange: CarriedExchange,
    listener: ExchangeListener,
    flow: ExchangeFlow,
  ) => () => void;
  readonly onRecord: (record: CarriedRecord) => void;
}

export interface Carrier {
  /** Carries one exchange; `signal` is aborted when the peer gives it up. */
  run(
    requests: AsyncIterable<ForwardRequest>,
    signal: AbortSignal,
  ): AsyncGenerator<ForwardResponse>;
  /** Exchanges that are carried now. */
  count(): number;
}

export function createCarrier(options: CarrierOptions): Carrier {
  const { getNow } = options;
  let carried = 0;

  function record(
    offer: ForwardOffer,
    startedMs: number,
    result: CarriedRecord['result'],
    detail = '',
  ): void {
    options.onRecord({ offer, result, detail, tookMs: getNow() - startedMs });
  }

  async function* runExchange(exchange: CarriedExchange, signal: AbortSignal) {
    const { offer, endpoint } = exchange;
    const startedMs = getNow();
    const flow: ExchangeFlow = { pause: () => undefined, resume: () => undefined };
    const queue = createResponseQueue({ pause: () => flow.pause(), resume: () => flow.resume() });

    function closeWith(response: ForwardResponse, result: 'ended' | 'failed', detail = ''): void {
      record(offer, startedMs, result, detail);
      queue.add(response);
      queue.close();
    }

    const close = options.open(
      exchange,
      {
        isSendAllowed: () => options.isSendAllowed(offer, endpoint),
        onWithheld: () => closeWith({ kind: 'withheld' }, 'failed', 'withheld'),
        onHead(status, headers) {
          queue.add({ kind: 'head', status, headers });
          return true;
        },
        onData(bytes) {
          queue.add({ kind: 'data', bytes });
          return true;
        },
        onEnd: () => closeWith({ kind: 'ended' }, 'ended'),
        onError: (isSent, reason) =>
          closeWith({ kind: 'failed', isSent, reason }, 'failed', reason),
      },
      flow,
    );
    const stop = (): void => {
      close();
      queue.close();
    };
    if (signal.aborted) stop();
    else signal.addEventListener('abort', stop, { once: true });
    try {
      yield* queue;
    } finally {
      signal.removeEventListener('abort', stop);
      close();
    }
  }

  async function* runOffer(
    offer: ForwardOffer,
    requests: AsyncIterator<ForwardRequest>,
    signal: AbortSignal,
  ): AsyncGenerator<ForwardResponse> {
    const offeredMs = getNow();
    const reason = options.findRefusal(offer, carried);
    const endpoint = options.findEndpoint(offer.endpointStart);
    if (reason !== undefined || endpoint === undefined) {
      const refusal = reason ?? FORWARD_REFUSAL.EndpointUnknown;
      record(offer, offeredMs, 'refused', refusal);
      yield { kind: 'refused', reason: refusal };
      return;
    }
    const slot = offer.usesShare ? options.takeSlot(endpoint) : NO_SLOT;
    if (slot === undefined) {
      record(offer, offeredMs, 'refused', FORWARD_REFUSAL.NoSlot);
      yield { kind: 'refused', reason: FORWARD_REFUSAL.NoSlot };
      return;
    }
    try {
      yield { kind: 'accepted' };
      yield* runAccepted({ offer, endpoint, offeredMs }, requests, signal);
    } finally {
      slot.release(signal.aborted);
    }
  }

  async function* runAccepted(
    { offer, endpoint, offeredMs }: AcceptedOffer,
    requests: AsyncIterator<ForwardRequest>,
    signal: AbortSignal,
  ): AsyncGenerator<ForwardResponse> {
    const next = await requests.next();
    // The peer withdrew its offer.
    if (next.done === true || next.value.kind !== 'request' || signal.aborted) return;
    const { request } = next.value;
    if (getNow() - offeredMs > REQUEST_DELAY_MAX_MS) {
      record(offer, offeredMs, 'failed', 'the request was held up on its way');
      yield { kind: 'failed', isSent: false, reason: 'the request was held up on its way' };
      return;
    }
    record(offer, offeredMs, 'taken');
    yield* runExchange(
      {
        offer,
        endpoint,
        buildRequest: (remainingMs) => options.updateRemaining(request, remainingMs),
        deadlineMs: offeredMs + offer.remainingMs,
      },
      signal,
    );
  }

  return {
    async *run(requests, signal) {
      const iterator = requests[Symbol.asyncIterator]();
      const first = await iterator.next();
      if (first.done === true || first.value.kind !== 'offer') return;
      carried += 1;
      try {
        yield* runOffer(first.value.offer, iterator, signal);
      } finally {
        carried -= 1;
      }
    },
    count: () => carried,
  };
}
