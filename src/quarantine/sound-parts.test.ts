import { describe } from '../test/describe.js';
import { createSoundParts } from './sound-parts.js';

const MINUTE_MS = 60_000;

describe('parts that ran without a crash', ({ it }) => {
  // Guards against suspecting a popular part of the crashes of a rack.
  it('are excused a few crashes', (t) => {
    const parts = createSoundParts();
    parts.record(['p'], 0);
    t.true([1, 2, 3].every((start) => parts.takeExcuse('p', start, 100)));
    t.true(parts.takeExcuse('p', 2, 100), 'a crash that is reported again');
    t.false(parts.takeExcuse('p', 4, 100));
  });

  // Guards against a part that has begun to crash endpoints and lives on its good name.
  it('are excused again only after another sound run', (t) => {
    const parts = createSoundParts();
    parts.record(['p'], 0);
    for (const start of [1, 2, 3]) parts.takeExcuse('p', start, 100);
    parts.record(['p'], 200);
    t.true(parts.takeExcuse('p', 4, 300));
  });

  it('are forgotten after a time, and others never known', (t) => {
    const parts = createSoundParts();
    parts.record(['p'], 0);
    t.false(parts.takeExcuse('p', 1, 11 * MINUTE_MS));
    t.false(parts.takeExcuse('q', 1, 0));
  });

  // Guards against memory that grows with ever new parts.
  it('are bounded in number', (t) => {
    const parts = createSoundParts();
    for (let index = 0; index < 20_000; index += 1) parts.record([`p${index}`], index);
    t.false(parts.takeExcuse('p0', 1, 20_000));
    t.true(parts.takeExcuse('p19999', 1, 20_000));
  });
});
