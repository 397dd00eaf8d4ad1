/** Exchanges of calls with endpoints, whichever way they take. */
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { RoutedCall } from './call-messages.js';
import type {
  EndpointConnections,
  EndpointRequest,
  ExchangeFlow,
  ExchangeListener,
} from './endpoint-connections.js';

/** One attempt of a call at an endpoint, about to be sent. */
export interface OutgoingExchange {
  readonly call: RoutedCall;
  readonly endpoint: RegisteredEndpoint;
  readonly connectionsMax: number;
  /** Built when it is sent, since it states the time that is left. */
  readonly buildRequest: (remainingMs: number) => EndpointRequest;
  /** Whether the call can go to another endpoint at once if this one cannot be reached. */
  readonly hasOtherPlace: () => boolean;
}

export interface EndpointExchanges {
  /**
   * Starts an exchange; the returned function ends it without further notifications. `flow`: its
   * functions are set to hold the response back, whichever way it takes.
   */
  open(exchange: OutgoingExchange, listener: ExchangeListener, flow?: ExchangeFlow): () => void;
}

/** Exchanges over this instance's own connections alone. */
export function createDirectExchanges(
  connections: Pick<EndpointConnections, 'open'>,
  getNow: () => number,
): EndpointExchanges {
  return {
    open: ({ call, endpoint, connectionsMax, buildRequest }, listener, flow) =>
      connections.open(
        endpoint.address,
        connectionsMax,
        buildRequest(call.deadlineMs - getNow()),
        listener,
        flow,
      ),
  };
}
