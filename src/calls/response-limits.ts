/** Sizes beyond which what an endpoint sends is no answer but a fault. */

/** Bytes of one event: the largest that are declared are under a kilobyte. */
export const EVENT_BYTES_MAX = 256 * 1024;
/** Bytes of an answer that is no stream: four times the largest body a caller may send. */
export const RESPONSE_BYTES_MAX = 16 * 1024 * 1024;
