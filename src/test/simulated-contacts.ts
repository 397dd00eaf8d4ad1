/** Contacts of a simulated fleet, spread evenly over data centres. */
import type { Contact } from '../membership/membership-messages.js';

export function buildDataCentre(index: number, dataCentres: number): string {
  return `dc-${index % dataCentres}`;
}

export function buildContacts(instances: number, dataCentres: number): readonly Contact[] {
  return Array.from({ length: instances }, (_, index) => {
    const name = `instance-${index + 1}`;
    return { name, address: `${name}:1`, dataCentre: buildDataCentre(index, dataCentres) };
  });
}
