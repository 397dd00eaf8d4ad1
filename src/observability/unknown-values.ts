/** Reports values of a newer release: logs each value once and counts every occurrence. */
import { createBoundedMap } from '../utils/bounded-map.js';
import type { DecisionLog } from './decision-log.js';

const REPORTED_VALUES_MAX = 256;

export const UNKNOWN_PLACE = {
  Settings: 'settings',
  Configuration: 'configuration',
  Endpoint: 'endpoint',
  Peer: 'peer',
} as const;
export type UnknownPlace = (typeof UNKNOWN_PLACE)[keyof typeof UNKNOWN_PLACE];

export interface UnknownValue {
  readonly place: UnknownPlace;
  readonly field: string;
  readonly value: string;
  /** What is done with the value. */
  readonly handledAs: string;
}

export interface UnknownValues {
  record(unknown: UnknownValue): void;
}

export function createUnknownValues(
  log: DecisionLog,
  countUnknown: (place: UnknownPlace) => void,
): UnknownValues {
  const reported = createBoundedMap<string, true>(REPORTED_VALUES_MAX);
  return {
    record(unknown) {
      countUnknown(unknown.place);
      const id = `${unknown.place}|${unknown.field}|${unknown.value}`;
      if (reported.get(id) === true) return;
      reported.set(id, true);
      log.write({ event: 'unknown_value', ...unknown });
    },
  };
}
