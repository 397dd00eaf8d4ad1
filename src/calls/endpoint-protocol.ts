/** How endpoints are spoken to; a deployment's interface brings its own. */
import type { DecodedHead } from './attempt-reader.js';
import type { HeaderField, RoutedCall } from './call-messages.js';
import type { EndpointRequest } from './endpoint-connections.js';

/** Headers and bodies of exchanges with endpoints. */
export interface EndpointProtocol {
  encode(call: RoutedCall, attempt: EncodedAttempt): EndpointRequest;
  decode(status: number, headers: readonly HeaderField[]): DecodedHead;
}

/** What differs from attempt to attempt. */
export interface EncodedAttempt {
  readonly endpointId: string;
  /** Time the endpoint may take, in milliseconds. */
  readonly remainingMs: number;
  readonly lastEventId: string | undefined;
}
