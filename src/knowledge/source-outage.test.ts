import { describe } from '../test/describe.js';
import { createSourceOutage } from './source-outage.js';

function createHarness() {
  const events: string[] = [];
  const outage = createSourceOutage({
    log: {
      write: (event) => events.push('feed' in event ? `${event.event} ${event.feed}` : event.event),
    },
    computeAge: () => 0,
    onEndpointsLost: (feed) => events.push(`endpoints lost by ${feed}`),
    onEndpointsBack: () => events.push('endpoints back'),
  });
  return {
    outage,
    /** Returns what happened since the last call. */
    takeEvents: () => events.splice(0),
  };
}

describe('outage of the source', ({ it }) => {
  // Guards against an answer of one feed, taken for one of the other.
  it('of the endpoints goes on while the configuration answers', (t) => {
    const { outage, takeEvents } = createHarness();
    outage.recordLost('endpoints', 'silent');
    outage.recordAnswer('configuration');
    outage.recordLost('endpoints', 'silent');
    t.true(outage.isLost('endpoints'));
    t.deepEqual(takeEvents(), ['source_lost endpoints', 'endpoints lost by endpoints']);
    outage.recordAnswer('endpoints');
    t.false(outage.isAnyLost());
    t.deepEqual(takeEvents(), ['source_back endpoints', 'endpoints back']);
  });

  // Guards against lapsed endpoints that are kept, and get calls, while only the configuration is lost.
  it('of the configuration goes on while the endpoints answer, which are back at once', (t) => {
    const { outage, takeEvents } = createHarness();
    outage.recordLost('configuration', 'silent');
    t.true(outage.isLost('endpoints'), 'no call for them has been answered since');
    outage.recordAnswer('endpoints');
    outage.recordLost('configuration', 'silent');
    outage.recordAnswer('endpoints');
    t.false(outage.isLost('endpoints'));
    t.true(outage.isLost('configuration'));
    t.deepEqual(takeEvents(), [
      'source_lost configuration',
      'endpoints lost by configuration',
      'source_back endpoints',
      'endpoints back',
    ]);
  });

  it('of both feeds ends for each with its own answer', (t) => {
    const { outage, takeEvents } = createHarness();
    outage.recordLost('endpoints', 'silent');
    outage.recordLost('configuration', 'silent');
    t.deepEqual(takeEvents(), [
      'source_lost endpoints',
      'endpoints lost by endpoints',
      'source_lost configuration',
    ]);
    outage.recordAnswer('configuration');
    t.true(outage.isLost('endpoints'));
    t.false(outage.isLost('configuration'));
    outage.recordAnswer('endpoints');
    t.false(outage.isAnyLost());
  });

  it('ends for all feeds when the instance relies on its peers', (t) => {
    const { outage, takeEvents } = createHarness();
    outage.recordPeers();
    t.deepEqual(takeEvents(), []);
    outage.recordLost('configuration', 'silent');
    takeEvents();
    outage.recordPeers();
    t.false(outage.isAnyLost());
    t.deepEqual(takeEvents(), ['source_back peers', 'endpoints back']);
  });
});
