/** HTTP protocol of the endpoints, implemented by each deployment. */
import type { DecodedHead } from './attempt-reader.js';
import type { HeaderField, RoutedCall } from './call-messages.js';
import type { EndpointRequest } from './endpoint-connections.js';

/** Encodes requests to endpoints and decodes the heads of their responses. */
export interface EndpointProtocol {
  encode(call: RoutedCall, attempt: EncodedAttempt): EndpointRequest;
  /** Returns a request that states another time left. */
  updateRemaining(request: EndpointRequest, remainingMs: number): EndpointRequest;
  decode(status: number, headers: readonly HeaderField[]): DecodedHead;
}

/** Values that differ between attempts. */
export interface EncodedAttempt {
  readonly endpointId: string;
  /** Time left until the deadline of the call. */
  readonly remainingMs: number;
  readonly lastEventId: string | undefined;
}
