import fc from 'fast-check';
import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { buildStartId } from './start-id.js';
import { RENEWAL_WINDOW_MS, createEndpointDirectory } from './endpoint-directory.js';
import type { DirectoryMessage } from './endpoint-directory.js';

function buildEndpoint(id: string, isLeaving = false, startedMs = 1): RegisteredEndpoint {
  const startId = buildStartId(id, startedMs);
  return {
    id,
    startId,
    pool: 'p',
    address: `${id}:1`,
    dataCentre: 'd',
    slots: 1,
    isLeaving,
    isSpot: false,
    softwareVersion: 'v1',
  };
}

describe('endpoint directory', ({ describe: block }) => {
  block('while the registry answers', ({ it }) => {
    it('excludes leaving and removed endpoints', (t) => {
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

  block('with entries that cannot be read', ({ it }) => {
    // Guards against one that counts for ever, or is forgotten while it is there.
    it('knows of them until they can be read, are removed or missing from a list', (t) => {
      const directory = createEndpointDirectory();
      const apply = (message: DirectoryMessage): boolean => {
        directory.handle(message, 0);
        return directory.hasUnreadable();
      };
      t.true(apply({ kind: 'unreadable', id: 'a' }));
      t.true(apply({ kind: 'tick' }));
      t.true(apply({ kind: 'removed', id: 'b' }));
      t.false(apply({ kind: 'registered', endpoint: buildEndpoint('a') }));
      t.true(apply({ kind: 'unreadable', id: 'a' }));
      t.false(apply({ kind: 'removed', id: 'a' }));
      t.true(apply({ kind: 'unreadable', id: 'a' }));
      t.true(apply({ kind: 'listed', endpoints: [] }));
      t.false(apply({ kind: 'listed', endpoints: [] }));
    });
  });

  block('during and after a registry outage', ({ it }) => {
    // Guards against refusing every call after a registry outage that lost all entries, before the
    // endpoints have had time to renew them.
    it('keeps lapsed endpoints until the renewal window ends', (t) => {
      const directory = createEndpointDirectory();
      directory.handle({ kind: 'listed', endpoints: [buildEndpoint('a'), buildEndpoint('b')] }, 0);
      directory.handle({ kind: 'source_lost' }, 100);
      directory.handle({ kind: 'source_back' }, 5000);
      directory.handle({ kind: 'listed', endpoints: [] }, 5001);
      t.is(directory.listOpen('p').length, 2);
      directory.handle({ kind: 'registered', endpoint: buildEndpoint('a') }, 6000);
      directory.handle({ kind: 'tick' }, 5000 + RENEWAL_WINDOW_MS - 1);
      t.is(directory.listOpen('p').length, 2);
      const changes = directory.handle({ kind: 'tick' }, 5000 + RENEWAL_WINDOW_MS);
      t.deepEqual(changes, [{ endpoint: buildEndpoint('b'), change: 'removed' }]);
    });

    // Guards against calls to a removed endpoint while the registry refuses only this instance: an
    // endpoint that peers report as removed has not lapsed.
    it('removes at once an endpoint that a peer with registry access reports as removed', (t) => {
      const directory = createEndpointDirectory();
      directory.handle({ kind: 'listed', endpoints: [buildEndpoint('a'), buildEndpoint('b')] }, 0);
      directory.handle({ kind: 'source_lost' }, 100);
      directory.handle({ kind: 'renewing', forMs: 0 }, 200);
      directory.handle({ kind: 'removed', id: 'b' }, 200);
      t.deepEqual(
        directory.listOpen('p').map(({ id }) => id),
        ['a'],
      );
      // Reaching the registry again starts the renewal window, as after any outage.
      directory.handle({ kind: 'source_back' }, 5000);
      directory.handle({ kind: 'listed', endpoints: [] }, 5001);
      t.is(directory.listOpen('p').length, 1);
    });

    // Guards against keeping an endpoint that announced before the outage that it is leaving.
    it('does not keep an endpoint that was leaving', (t) => {
      const directory = createEndpointDirectory();
      directory.handle({ kind: 'listed', endpoints: [buildEndpoint('a', true)] }, 0);
      directory.handle({ kind: 'source_lost' }, 100);
      directory.handle({ kind: 'source_back' }, 5000);
      directory.handle({ kind: 'listed', endpoints: [] }, 5001);
      t.is(directory.find('a'), undefined);
    });

    // Guards against calls to an endpoint whose entry was overwritten with unreadable data during
    // an outage.
    it('does not keep an endpoint whose entry cannot be read', (t) => {
      const directory = createEndpointDirectory();
      directory.handle({ kind: 'listed', endpoints: [buildEndpoint('a')] }, 0);
      directory.handle({ kind: 'source_lost' }, 100);
      directory.handle({ kind: 'unreadable', id: 'a' }, 200);
      t.deepEqual(directory.listOpen('p'), []);
    });
  });

  block('when an endpoint restarts under its id', ({ it }) => {
    // Guards against carrying over the load, cache and connection state of an endpoint that crashed
    // and registered again under its id before its entry lapsed.
    it('reports the end of the earlier start once', (t) => {
      const directory = createEndpointDirectory();
      directory.handle({ kind: 'listed', endpoints: [buildEndpoint('a', false, 500)] }, 0);
      // The endpoint's clock stepped back between its starts.
      const again = { kind: 'registered', endpoint: buildEndpoint('a', false, 400) } as const;
      t.deepEqual(directory.handle(again, 10), [
        { endpoint: buildEndpoint('a', false, 500), change: 'restarted' },
      ]);
      t.deepEqual(directory.handle(again, 20), []);
      t.is(directory.find('a')?.startId, buildStartId('a', 400));
    });

    it('clears the leaving state of the earlier start', (t) => {
      const directory = createEndpointDirectory();
      directory.handle({ kind: 'listed', endpoints: [buildEndpoint('a', true, 1)] }, 0);
      directory.handle({ kind: 'registered', endpoint: buildEndpoint('a', false, 2) }, 1);
      t.is(directory.listOpen('p').length, 1);
    });
  });

  block('for any order of events', ({ it }) => {
    type Step =
      | { readonly kind: 'entry'; readonly id: string; readonly startedMs: number }
      | { readonly kind: 'gone' | 'unreadable'; readonly id: string }
      | { readonly kind: 'lost' | 'back' | 'list' };
    const ids = fc.constantFrom('a', 'b', 'c');
    const steps = fc.array(
      fc.oneof(
        fc.record({ kind: fc.constant('entry' as const), id: ids, startedMs: fc.nat(3) }),
        fc.record({ kind: fc.constantFrom('gone' as const, 'unreadable' as const), id: ids }),
        fc.record({ kind: fc.constantFrom('lost' as const, 'back' as const, 'list' as const) }),
      ),
      { maxLength: 40 },
    );

    function buildMessage(step: Step, rows: Map<string, RegisteredEndpoint>): DirectoryMessage {
      switch (step.kind) {
        case 'entry': {
          const endpoint = buildEndpoint(step.id, false, step.startedMs);
          rows.set(step.id, endpoint);
          return { kind: 'registered', endpoint };
        }
        case 'gone':
          rows.delete(step.id);
          return { kind: 'removed', id: step.id };
        case 'unreadable':
          rows.delete(step.id);
          return { kind: 'unreadable', id: step.id };
        case 'list':
          return { kind: 'listed', endpoints: [...rows.values()] };
        default:
          return { kind: step.kind === 'lost' ? 'source_lost' : 'source_back' };
      }
    }

    it('uses the newest readable entries and reports the end of each replaced start', (t) => {
      fc.assert(
        fc.property(steps, (sequence) => {
          const directory = createEndpointDirectory();
          const rows = new Map<string, RegisteredEndpoint>();
          const live = new Set<string>();
          sequence.forEach((step, index) => {
            for (const { endpoint, change } of directory.handle(buildMessage(step, rows), index)) {
              if (change === 'removed' || change === 'restarted') live.delete(endpoint.startId);
            }
            directory.listOpen('p').forEach(({ startId }) => live.add(startId));
            t.is(live.size, directory.listOpen('p').length);
            for (const [id, row] of rows) t.is(directory.find(id)?.startId, row.startId);
          });
          directory.handle({ kind: 'source_back' }, 1000);
          directory.handle({ kind: 'tick' }, 1000 + RENEWAL_WINDOW_MS);
          t.is(directory.listOpen('p').length, rows.size);
        }),
      );
    });
  });
});
