/** Words of a newer release that this one does not know: each is said once in the log and counted each time. */
import { createBoundedMap } from '../utils/bounded-map.js';
import type { DecisionLog } from './decision-log.js';

/** Words that are remembered, so that each is said once. */
const SAID_MAX = 256;

/** Where a word was read. */
export const UNKNOWN_PLACE = {
  Settings: 'settings',
  Configuration: 'configuration',
  Endpoint: 'endpoint',
  Peer: 'peer',
} as const;
export type UnknownPlace = (typeof UNKNOWN_PLACE)[keyof typeof UNKNOWN_PLACE];

/** A word that is not known. */
export interface UnknownValue {
  readonly place: UnknownPlace;
  readonly field: string;
  readonly value: string;
  /** What is done instead. */
  readonly handledAs: string;
}

/** Words that were not known. */
export interface UnknownValues {
  record(unknown: UnknownValue): void;
}

/** Builds a record of none. */
export function createUnknownValues(
  log: DecisionLog,
  countUnknown: (place: UnknownPlace) => void,
): UnknownValues {
  const said = createBoundedMap<string, true>(SAID_MAX);
  return {
    record(unknown) {
      countUnknown(unknown.place);
      const id = `${unknown.place}|${unknown.field}|${unknown.value}`;
      if (said.get(id) === true) return;
      said.set(id, true);
      log.write({ event: 'unknown_value', ...unknown });
    },
  };
}
