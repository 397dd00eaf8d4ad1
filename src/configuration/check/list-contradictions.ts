/** Lists limits that are valid one by one, but contradict each other. */
import { BURST_SECONDS } from '../../limits/organisation-limits.js';
import type {
  ClassDeclaration,
  Declarations,
  OrganisationDeclaration,
} from '../../types/declarations.js';
import { FINDING } from './findings.js';
import type { Fault, GetPlace } from './findings.js';

/** A bucket holds `BURST_SECONDS` of the rate, and a request takes 1: under this rate none is admitted. */
export const ADMITTED_RATE_MIN = 1 / BURST_SECONDS;

const TARGETS = ['firstTokenMs', 'betweenTokensMs'] as const;

function listOfClass(declaration: ClassDeclaration, getPlace: GetPlace): Fault[] {
  const { name, deadlineMs } = declaration;
  return TARGETS.filter((target) => declaration[target] > deadlineMs).map((target) => ({
    kind: FINDING.TargetOverDeadline,
    place: getPlace(['classes', name, target]),
    value: declaration[target],
    deadlineMs,
  }));
}

function listOfOrganisation(
  organisation: OrganisationDeclaration,
  classes: ReadonlyMap<string, ClassDeclaration>,
  getPlace: GetPlace,
): Fault[] {
  const { requestsPerSecond } = organisation.limits;
  const path = ['organisations', organisation.name, 'limits', 'requestsPerSecond'];
  if (requestsPerSecond < ADMITTED_RATE_MIN) {
    return [
      {
        kind: FINDING.RateNeverAdmits,
        place: getPlace(path),
        value: requestsPerSecond,
        minimum: ADMITTED_RATE_MIN,
      },
    ];
  }
  const faults: Fault[] = [];
  for (const className of new Set(organisation.classes)) {
    const deadlineMs = classes.get(className)?.deadlineMs ?? Infinity;
    if (requestsPerSecond * deadlineMs < 1000) {
      faults.push({
        kind: FINDING.RateUnderDeadline,
        place: getPlace(path),
        value: requestsPerSecond,
        className,
        deadlineMs,
      });
    }
  }
  return faults;
}

export function listContradictions(declarations: Declarations, getPlace: GetPlace): Fault[] {
  const { classes, organisations } = declarations;
  const faults: Fault[] = [];
  for (const declaration of classes.values()) faults.push(...listOfClass(declaration, getPlace));
  for (const organisation of organisations.values()) {
    faults.push(...listOfOrganisation(organisation, classes, getPlace));
  }
  return faults;
}
