import { describe } from '../test/describe.js';
import { listRequestHistory } from './explain.js';

function buildLine(second: number, instance: string, message: string, fields: object): string {
  const timestamp = `2026-05-29T22:58:${String(second).padStart(2, '0')}.000Z`;
  return JSON.stringify({ timestamp, instance, message, level: 'info', ...fields });
}

describe('explaining a request', ({ it }) => {
  it('lists its lines and state changes of its instance in order of time', (t) => {
    const story = listRequestHistory('r1', [
      buildLine(37, 'front-1', 'request_refused', { request: 'r1', knowledgeAgeMs: 4569 }),
      'something else',
      buildLine(34, 'front-1', 'source_lost', { feed: 'configuration' }),
      buildLine(34, 'front-2', 'source_lost', { feed: 'configuration' }),
      buildLine(33, 'front-1', 'endpoint_changed', { endpoint: 'i-9' }),
      buildLine(10, 'front-1', 'started', {}),
    ]);
    t.deepEqual(
      story.map((line) => line.split(' ').slice(1, 3).join(' ')),
      ['front-1 source_lost', 'front-1 request_refused'],
    );
    t.regex(story[1] ?? '', /knowledgeAgeMs=4569/);
  });

  it('returns nothing for a request without log lines', (t) => {
    t.deepEqual(listRequestHistory('r2', [buildLine(1, 'front-1', 'started', {})]), []);
  });

  // Guards against an unexplained refusal of a request whose content failed in earlier calls.
  it('lists earlier calls with the same content', (t) => {
    const story = listRequestHistory('r2', [
      buildLine(1, 'front-1', 'attempt_failed', { request: 'r1', content: 'x', endpoint: 'e1' }),
      buildLine(2, 'front-2', 'attempt_failed', { request: 'r9', content: 'y', endpoint: 'e2' }),
      buildLine(3, 'front-2', 'content_refused', { request: 'r2', content: 'x' }),
      buildLine(4, 'front-1', 'content_refused', { request: 'r3', content: 'x' }),
    ]);
    t.is(story.length, 2);
    t.regex(story[0] ?? '', /attempt_failed request="r1" content="x" endpoint="e1"$/);
    t.regex(story[1] ?? '', /content_refused content="x"$/);
  });
});
