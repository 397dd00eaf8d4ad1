import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { RENEWAL_MS, createEndpointDirectory } from './endpoint-directory.js';

function buildEndpoint(id: string, isLeaving = false): RegisteredEndpoint {
  return { id, pool: 'p', address: `${id}:1`, dataCentre: 'd', slots: 1, isLeaving };
}

describe('endpoint directory', ({ describe: block }) => {
  block('while the registry answers', ({ it }) => {
    it('closes an endpoint that is leaving and one whose entry is gone', (t) => {
      const directory = createEndpointDirectory();
      directory.handle(
        { kind: 'listed', endpoints: ['a', 'b', 'c'].map((id) => buildEndpoint(id)) },
        0,
      );
      directory.handle({ kind: 'registered', endpoint: buildEndpoint('a', true) }, 1);
      directory.handle({ kind: 'removed', id: 'b' }, 1);
      t.deepEqual(
        directory.listOpen('p').map(({ id }) => id),
        ['c'],
      );
    });
  });

  block('around an outage of the registry', ({ it }) => {
    // The registry is away for five seconds and forgets every entry; endpoints renew theirs up to
    // two seconds after its return. Emptying the pool meanwhile would refuse every call.
    it('keeps lapsed endpoints until they had time to renew', (t) => {
      const directory = createEndpointDirectory();
      directory.handle({ kind: 'listed', endpoints: [buildEndpoint('a'), buildEndpoint('b')] }, 0);
      directory.handle({ kind: 'source_lost' }, 100);
      directory.handle({ kind: 'source_back' }, 5000);
      directory.handle({ kind: 'listed', endpoints: [] }, 5001);
      t.is(directory.listOpen('p').length, 2);
      directory.handle({ kind: 'registered', endpoint: buildEndpoint('a') }, 6000);
      directory.handle({ kind: 'tick' }, 5000 + RENEWAL_MS - 1);
      t.is(directory.listOpen('p').length, 2);
      const changes = directory.handle({ kind: 'tick' }, 5000 + RENEWAL_MS);
      t.deepEqual(changes, [{ id: 'b', pool: 'p', change: 'removed' }]);
    });

    // An endpoint said before the outage that it leaves: its missing entry is no lapse.
    it('does not keep an endpoint that was leaving', (t) => {
      const directory = createEndpointDirectory();
      directory.handle({ kind: 'listed', endpoints: [buildEndpoint('a', true)] }, 0);
      directory.handle({ kind: 'source_lost' }, 100);
      directory.handle({ kind: 'source_back' }, 5000);
      directory.handle({ kind: 'listed', endpoints: [] }, 5001);
      t.is(directory.find('a'), undefined);
    });
  });
});
