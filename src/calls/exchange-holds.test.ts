import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { HOLD_REASON, createExchangeHolds } from './exchange-holds.js';

const STEP = fc.record({
  isHold: fc.boolean(),
  reason: fc.constantFrom(...Object.values(HOLD_REASON)),
});

describe('holds of an exchange', ({ it }) => {
  // Guards against reading on while one of several reasons still holds the exchange.
  it('let it be read exactly while no reason holds it, and tell each change once', (t) => {
    fc.assert(
      fc.property(fc.array(STEP), (steps) => {
        let isPaused = false;
        const changes: boolean[] = [];
        const holds = createExchangeHolds((isHeld) => changes.push(isHeld));
        Object.assign(holds.flow, {
          pause() {
            isPaused = true;
          },
          resume() {
            isPaused = false;
          },
        });
        const reasons = new Set<string>();
        for (const { isHold, reason } of steps) {
          if (isHold) {
            reasons.add(reason);
            holds.hold(reason);
          } else {
            reasons.delete(reason);
            holds.release(reason);
          }
          if (isPaused !== reasons.size > 0 || holds.isHeld() !== isPaused) return false;
        }
        return changes.every((isHeld, index) => isHeld === (index % 2 === 0));
      }),
    );
    t.pass();
  });
});
