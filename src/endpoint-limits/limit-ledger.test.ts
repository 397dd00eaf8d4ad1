import { describe } from '../test/describe.js';
import { createLimitLedger } from './limit-ledger.js';
import type { RateLimitReading } from './rate-limit.js';

const ENDPOINT = 7;
const NONE: RateLimitReading = { kind: 'none' };

function buildReading(perSecond: number): RateLimitReading {
  return { kind: 'limited', perSecond };
}

describe('limit ledger', ({ it }) => {
  it('follows what responses say', (t) => {
    const ledger = createLimitLedger();
    t.is(ledger.recordAnswer(ENDPOINT, NONE, 0, 10), undefined);
    t.is(ledger.recordAnswer(ENDPOINT, buildReading(2), 10, 20)?.previousPerSecond, undefined);
    t.is(ledger.recordAnswer(ENDPOINT, buildReading(2), 20, 30), undefined);
    t.is(ledger.recordAnswer(ENDPOINT, buildReading(3), 30, 40)?.previousPerSecond, 2);
    t.is(ledger.getRate(ENDPOINT), 3);
    t.is(ledger.recordAnswer(ENDPOINT, NONE, 50, 60)?.limit.perSecond, undefined);
    t.is(ledger.getRate(ENDPOINT), undefined);
  });

  // Guards against lifting a limit by a response that was made before the limit was named.
  it('ignores a response without a limit to a request sent before the limit was named', (t) => {
    const ledger = createLimitLedger();
    ledger.recordAnswer(ENDPOINT, buildReading(2), 0, 100);
    t.is(ledger.recordAnswer(ENDPOINT, NONE, 90, 400), undefined);
    t.is(ledger.getRate(ENDPOINT), 2);
  });

  it('keeps a limit when a response names one that cannot be read', (t) => {
    const ledger = createLimitLedger();
    ledger.recordAnswer(ENDPOINT, buildReading(2), 0, 100);
    ledger.recordAnswer(ENDPOINT, { kind: 'unreadable', text: '-1' }, 200, 300);
    t.is(ledger.getRate(ENDPOINT), 2);
  });

  it('learns limits and their end from other instances, the latest first', (t) => {
    const ledger = createLimitLedger();
    ledger.merge([{ endpoint: ENDPOINT, perSecond: 2, ageMs: 100 }], 'a', 1000);
    t.is(ledger.getRate(ENDPOINT), 2);
    ledger.merge([{ endpoint: ENDPOINT, perSecond: 5, ageMs: 900 }], 'b', 1100);
    t.is(ledger.getRate(ENDPOINT), 2);
    ledger.merge([{ endpoint: ENDPOINT, perSecond: undefined, ageMs: 100 }], 'b', 4000);
    t.is(ledger.getRate(ENDPOINT), undefined);
    ledger.merge([{ endpoint: ENDPOINT, perSecond: 2, ageMs: 3000 }], 'c', 4100);
    t.is(ledger.getRate(ENDPOINT), undefined);
  });

  // Guards against a flood after a delayed report of an earlier time without a limit.
  it('does not lift a limit that was named just before by a report in transit', (t) => {
    const ledger = createLimitLedger();
    ledger.recordAnswer(ENDPOINT, buildReading(2), 900, 1000);
    ledger.merge([{ endpoint: ENDPOINT, perSecond: undefined, ageMs: 0 }], 'a', 1300);
    t.is(ledger.getRate(ENDPOINT), 2);
  });

  // Guards against limits that never age because instances report each other's observations.
  it('does not make an observation younger by passing it back and forth', (t) => {
    const [a, b] = [createLimitLedger(), createLimitLedger()];
    a.recordAnswer(ENDPOINT, buildReading(2), 0, 0);
    for (let nowMs = 100; nowMs < 5000; nowMs += 100) {
      b.merge(a.buildReports(nowMs), 'a', nowMs + 4);
      a.merge(b.buildReports(nowMs), 'b', nowMs + 4);
    }
    t.is(a.find(ENDPOINT)?.observedMs, 0);
    t.is(b.find(ENDPOINT)?.observedMs, 4);
  });

  it('forgets an endpoint that ended, and an old lifted limit', (t) => {
    const ledger = createLimitLedger();
    ledger.recordAnswer(ENDPOINT, buildReading(2), 0, 0);
    ledger.remove(ENDPOINT);
    t.false(ledger.hasAny());
    ledger.recordAnswer(ENDPOINT, buildReading(2), 0, 0);
    ledger.recordAnswer(ENDPOINT, NONE, 10, 20);
    ledger.removeExpired(5000);
    t.true(ledger.hasAny());
    ledger.removeExpired(11_000);
    t.false(ledger.hasAny());
  });

  it('reports all limits in turn', (t) => {
    const ledger = createLimitLedger();
    for (let endpoint = 0; endpoint < 20; endpoint += 1)
      ledger.recordAnswer(endpoint, buildReading(2), 0, 0);
    const reported = [...ledger.buildReports(100), ...ledger.buildReports(200)];
    t.is(new Set(reported.map(({ endpoint }) => endpoint)).size, 20);
    t.is(reported[0]?.ageMs, 100);
  });
});
