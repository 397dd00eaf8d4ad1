/**
 * Identifies one start of an endpoint. An endpoint that crashes may register again under the same
 * id without its previous state, so what is known of it must not outlive the start.
 */

const START_TIME_RADIX = 36;

/**
 * Builds the id from the start time by the endpoint's own clock. The times are never compared for
 * order, since that clock may step back between two starts.
 */
export function buildStartId(id: string, startedMs: number | undefined): string {
  return startedMs === undefined ? id : `${id}@${startedMs.toString(START_TIME_RADIX)}`;
}
