import { describe } from '../test/describe.js';
import { createCaseLedger } from './case-ledger.js';
import type { CaseLedger } from './case-ledger.js';
import { createOrganisationBackoff } from './organisation-backoff.js';
import type { OrganisationBackoff } from './organisation-backoff.js';

const ORGANISATION = 7;
const OTHER = 8;

/** Records three crashes of one content, the last at `atMs`. */
function recordCulprit(
  ledger: CaseLedger,
  backoff: OrganisationBackoff,
  index: number,
  atMs: number,
): void {
  for (let count = 0; count < 3; count += 1) {
    const crashedMs = atMs - (2 - count) * 100;
    const change = ledger.recordCrash(
      {
        content: `culprit-${index}`,
        organisation: ORGANISATION,
        start: index * 3 + count,
        sentMs: crashedMs - 50,
        crashedMs,
      },
      crashedMs,
    );
    if (change !== undefined) backoff.recordChange(change);
  }
}

describe('organisation backoff', ({ it }) => {
  // Guards against an organisation that sends a new crashing request each time, each of which costs
  // three endpoints before it is condemned.
  it('doubles the pause with each condemned content beyond the allowance', (t) => {
    const ledger = createCaseLedger();
    const backoff = createOrganisationBackoff();
    const pauses = [1, 2, 3, 4, 5, 6, 7, 20].map((index) => {
      recordCulprit(ledger, backoff, index, index * 1000);
      return backoff.computeRemainingMs(ORGANISATION, index * 1000);
    });
    t.deepEqual(pauses, [0, 0, 0, 0, 1000, 2000, 4000, 8000]);
    t.is(backoff.computeRemainingMs(ORGANISATION, 28_000), 0);
    t.is(backoff.computeRemainingMs(OTHER, 20_000), 0);
  });

  it('no longer counts released contents', (t) => {
    const ledger = createCaseLedger();
    const backoff = createOrganisationBackoff();
    [1, 2, 3, 4, 5].forEach((index) => recordCulprit(ledger, backoff, index, index * 1000));
    const change = ledger.release('culprit-1', 5000);
    if (change !== undefined) backoff.recordChange(change);
    t.is(backoff.computeRemainingMs(ORGANISATION, 5000), 0);
  });
});
