/** Limits beyond which a response of an endpoint counts as invalid. */

/** Size of one server-sent event. */
export const EVENT_BYTES_MAX = 256 * 1024;
/** Events without data between two with data, such as one each 100 ms for 25 minutes. */
export const IDLE_EVENTS_MAX = 16 * 1024;
/** Size of these events. */
export const IDLE_BYTES_MAX = 1024 * 1024;
/** Size of the body of a rejection, which nobody reads. */
export const REJECTION_BYTES_MAX = 64 * 1024;
/** Size of a response body that is not a stream: four times the largest body that a caller may send. */
export const RESPONSE_BYTES_MAX = 16 * 1024 * 1024;
