/**
 * Names one start of an endpoint. An endpoint that crashes may register itself again under its id;
 * it then holds nothing and knows nothing of before. Beliefs kept by id alone would outlive the
 * start they were gained from.
 */

const START_TIME_RADIX = 36;

/**
 * Names the start of an endpoint at `startedMs`, the moment of its start by its own clock, in
 * milliseconds. The moment only tells starts apart and is never compared for order, since that clock
 * may step back between two starts.
 */
export function buildStartId(id: string, startedMs: number | undefined): string {
  return startedMs === undefined ? id : `${id}@${startedMs.toString(START_TIME_RADIX)}`;
}
