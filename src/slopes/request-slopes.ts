/** What a request costs in the cores, against its tokens, and what a claim costs. */
import { createClaim } from '../claims/claim.js';
import { createInvariants } from '../runtime/invariants.js';
import { createRequestLife } from '../requests/request-life.js';
import { REPEATABILITY } from '../requests/life-messages.js';
import { buildSlope, computeMicroseconds } from './measure.js';
import type { Slope } from './measure.js';

const TOKEN_SIZES = [10, 100, 300, 1000] as const;
const CLAIM_SIZES = [1, 10, 100, 1000] as const;
const invariants = createInvariants(() => undefined);

function runLife(tokens: number): void {
  const life = createRequestLife({
    requestId: 'r',
    repeatability: REPEATABILITY.Repeatable,
    deadlineMs: 1e9,
    invariants,
    getFirstBound: () => 1e9,
    getGapBound: () => 1e9,
    takeRetry: () => true,
    takeClaim: () => true,
  });
  life.handle({ kind: 'start' }, 0);
  life.handle({ kind: 'granted', ticketId: 'r.1', endpoint: 'e' }, 0);
  for (let index = 0; index < tokens; index += 1) {
    life.handle({ kind: 'frame', attemptId: 'r-1', index, text: 'token ' }, index);
  }
  life.handle({ kind: 'finished', attemptId: 'r-1', index: tokens }, tokens);
}

function runClaims(count: number): void {
  for (let index = 0; index < count; index += 1) {
    const claim = createClaim({ attemptId: `a-${index}`, entry: 'entry', bodyHash: 'hash' });
    claim.handle({ kind: 'start', monotonicMs: 0, wallMs: 0 });
    claim.handle({ kind: 'inserted', ending: 'written' });
  }
}

/** Measures requests and claims. */
export function buildRequestSlopes(): Slope[] {
  return [
    buildSlope(
      'data path',
      'µs of a request’s life',
      'tokens',
      TOKEN_SIZES.map((size) => ({ size, value: computeMicroseconds(200, () => runLife(size)) })),
    ),
    buildSlope(
      'claims',
      'µs of the claim’s core',
      'claims',
      CLAIM_SIZES.map((size) => ({ size, value: computeMicroseconds(50, () => runClaims(size)) })),
    ),
  ];
}
