/** Measures how the cost of a request grows with its tokens, and the cost of a claim. */
import { createClaim } from '../claims/claim.js';
import { createInvariants } from '../runtime/invariants.js';
import { createRequestStateMachine } from '../requests/request-state-machine.js';
import { REPEATABILITY } from '../requests/request-messages.js';
import { buildSlope, computeMicroseconds } from './measure.js';
import type { Slope } from './measure.js';

const TOKEN_SIZES = [10, 100, 300, 1000] as const;
const CLAIM_SIZES = [1, 10, 100, 1000] as const;
const invariants = createInvariants(() => undefined);

function runStateMachine(tokens: number): void {
  const stateMachine = createRequestStateMachine({
    requestId: 'r',
    repeatability: REPEATABILITY.Repeatable,
    deadlineMs: 1e9,
    invariants,
    getFirstFrameTimeoutMs: () => 1e9,
    getFrameGapTimeoutMs: () => 1e9,
    takeRetry: () => true,
    takeClaim: () => true,
  });
  stateMachine.handle({ kind: 'start' }, 0);
  stateMachine.handle({ kind: 'granted', ticketId: 'r.1', endpoint: 'e' }, 0);
  for (let index = 0; index < tokens; index += 1) {
    stateMachine.handle({ kind: 'frame', attemptId: 'r-1', index, text: 'token ' }, index);
  }
  stateMachine.handle({ kind: 'finished', attemptId: 'r-1', index: tokens }, tokens);
}

function runClaims(count: number): void {
  for (let index = 0; index < count; index += 1) {
    const claim = createClaim({ attemptId: `a-${index}`, entry: 'entry', bodyHash: 'hash' });
    claim.handle({ kind: 'start', monotonicMs: 0, wallMs: 0 });
    claim.handle({ kind: 'inserted', result: 'written' });
  }
}

/** Measures requests and claims. */
export function buildRequestSlopes(): Slope[] {
  return [
    buildSlope(
      'data path',
      'µs of a request’s life',
      'tokens',
      TOKEN_SIZES.map((size) => ({
        size,
        value: computeMicroseconds(200, () => runStateMachine(size)),
      })),
    ),
    buildSlope(
      'claims',
      'µs of the claim’s core',
      'claims',
      CLAIM_SIZES.map((size) => ({ size, value: computeMicroseconds(50, () => runClaims(size)) })),
    ),
  ];
}
