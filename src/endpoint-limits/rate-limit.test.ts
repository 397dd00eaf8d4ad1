import { describe } from '../test/describe.js';
import { RATE_MIN_PER_SECOND, parseRateLimit } from './rate-limit.js';

describe('rate limit in a response', ({ it }) => {
  it('is a decimal number of requests a second', (t) => {
    t.deepEqual(parseRateLimit([]), { kind: 'none' });
    t.deepEqual(parseRateLimit(['1.5']), { kind: 'limited', perSecond: 1.5 });
    t.deepEqual(parseRateLimit([' 40 ']), { kind: 'limited', perSecond: 40 });
  });

  // Guards against exceeding the stricter of two limits in one response.
  it('is the lowest of several', (t) => {
    t.deepEqual(parseRateLimit(['8', '2.5']), { kind: 'limited', perSecond: 2.5 });
    t.deepEqual(parseRateLimit(['8, 2.5']), { kind: 'limited', perSecond: 2.5 });
    t.deepEqual(parseRateLimit(['fast', '3']), { kind: 'limited', perSecond: 3 });
  });

  // Guards against an endpoint that takes nothing and so could never lift its limit.
  it('is never lower than a request now and then', (t) => {
    t.deepEqual(parseRateLimit(['0']), { kind: 'limited', perSecond: RATE_MIN_PER_SECOND });
  });

  // Guards against lifting a limit, or refusing all calls, because of a value that makes no sense.
  it('is unreadable if it is no number or negative', (t) => {
    for (const text of ['-1', 'NaN', '', 'Infinity', '1e3', '0x10', '9'.repeat(400)])
      t.is(parseRateLimit([text]).kind, 'unreadable', text);
  });
});
