import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { hashContent } from './content-id.js';
import type { CallContent } from './content-id.js';

const CONTENT: CallContent = {
  method: 'POST',
  host: 'h.example',
  target: '/draft/1?x=2',
  organisation: 'depots',
  body: Buffer.from('two crates'),
};

describe('content ids', ({ it }) => {
  it('are equal for equal contents', (t) => {
    t.is(hashContent(CONTENT), hashContent({ ...CONTENT, body: Buffer.from('two crates') }));
    t.regex(hashContent(CONTENT), /^[0-9a-f]{16}$/);
  });

  it('differ if any part differs, even if the concatenated parts are equal', (t) => {
    const part = fc.string();
    fc.assert(
      fc.property(part, part, part, part, part, part, (a, b, c, d, e, f) => {
        const one = hashContent({ ...CONTENT, target: a, organisation: b, body: Buffer.from(c) });
        const other = hashContent({ ...CONTENT, target: d, organisation: e, body: Buffer.from(f) });
        return (one === other) === (a === d && b === e && c === f);
      }),
    );
    t.not(hashContent(CONTENT), hashContent({ ...CONTENT, organisation: undefined }));
    t.not(hashContent(CONTENT), hashContent({ ...CONTENT, method: 'PUT' }));
    t.not(hashContent(CONTENT), hashContent({ ...CONTENT, host: 'i.example' }));
  });
});
