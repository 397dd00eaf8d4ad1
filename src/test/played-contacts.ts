/** The instances of a played fleet, spread evenly over data centres. */
import type { Contact } from '../membership/membership-messages.js';

/** The data centre of the instance or engine with this number. */
export function buildDataCentre(index: number, dataCentres: number): string {
  return `dc-${index % dataCentres}`;
}

/** Names and addresses of a fleet. */
export function buildContacts(instances: number, dataCentres: number): readonly Contact[] {
  return Array.from({ length: instances }, (_, index) => {
    const name = `instance-${index + 1}`;
    return { name, address: `${name}:1`, dataCentre: buildDataCentre(index, dataCentres) };
  });
}
