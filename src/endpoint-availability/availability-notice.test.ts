import { describe } from '../test/describe.js';
import { REST_MAX_MS, parseRetryAfter } from './availability-notice.js';

describe('parseRetryAfter', ({ it }) => {
  it('reads seconds and fractions, and the longest of several values', (t) => {
    t.deepEqual(parseRetryAfter(['3']), { kind: 'rest', restMs: 3000 });
    t.deepEqual(parseRetryAfter([' 0.25 ']), { kind: 'rest', restMs: 250 });
    t.deepEqual(parseRetryAfter(['2', '7']), { kind: 'rest', restMs: 7000 });
    t.deepEqual(parseRetryAfter(['2, 7']), { kind: 'rest', restMs: 7000 });
    t.deepEqual(parseRetryAfter(['soon', '7']), { kind: 'rest', restMs: 7000 });
  });

  it('takes no value and zero as no rest', (t) => {
    t.deepEqual(parseRetryAfter([]), { kind: 'none' });
    t.deepEqual(parseRetryAfter(['0']), { kind: 'none' });
    t.deepEqual(parseRetryAfter(['0.0']), { kind: 'none' });
  });

  // Guards against an endpoint that is kept out for ever by a mistaken value.
  it('bounds a huge rest', (t) => {
    t.deepEqual(parseRetryAfter(['9'.repeat(400)]), { kind: 'rest', restMs: REST_MAX_MS });
  });

  // Guards against a rest computed from the wall clocks of two machines.
  it('reads neither dates nor nonsense', (t) => {
    for (const text of ['-3', 'NaN', '1e3', '', 'Fri, 01 Jan 2027 00:00:00 GMT'])
      t.is(parseRetryAfter([text]).kind, 'unreadable', text);
  });
});
