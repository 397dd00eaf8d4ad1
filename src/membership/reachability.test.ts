import { describe } from '../test/describe.js';
import { SILENCE_TIMEOUT_MS, createReachability } from './reachability.js';

const DATA_CENTRES = ['own', 'far'];

describe('reachability of data centres', ({ it }) => {
  // Guards against calls to a data centre that is cut off while its endpoints are still registered.
  it('reports a data centre whose instances are all silent', (t) => {
    const reachability = createReachability('own');
    for (const name of DATA_CENTRES) reachability.recordHeard(name, 0);
    reachability.recordHeard('own', SILENCE_TIMEOUT_MS);
    t.true(reachability.isDataCentreUnreachable('far', SILENCE_TIMEOUT_MS));
    reachability.recordHeard('far', SILENCE_TIMEOUT_MS + 1);
    t.false(reachability.isDataCentreUnreachable('far', SILENCE_TIMEOUT_MS + 2));
  });

  // Guards against avoiding other data centres when only this instance is cut off from its peers.
  it('reports nothing if no instance at all is heard', (t) => {
    const reach = createReachability('own');
    for (const name of DATA_CENTRES) reach.recordHeard(name, 0);
    t.false(reach.isDataCentreUnreachable('far', SILENCE_TIMEOUT_MS));
  });

  it('reports neither its own data centre nor one that was never heard', (t) => {
    const reach = createReachability('own');
    reach.recordHeard('own', 0);
    t.false(reach.isDataCentreUnreachable('far', 1));
    t.false(reach.isDataCentreUnreachable('own', SILENCE_TIMEOUT_MS + 1));
  });
});
