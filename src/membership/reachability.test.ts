import { describe } from '../test/describe.js';
import { SILENT_MS, createReachability } from './reachability.js';

const PEERS = [
  { name: 'near', dataCentre: 'own' },
  { name: 'far-1', dataCentre: 'far' },
  { name: 'far-2', dataCentre: 'far' },
];

describe('reachability of data centres', ({ it }) => {
  // A data centre is cut off; its endpoints are still registered, and each call sent there waits
  // until its caller gives up. Its instances fall silent while the neighbours still tell their loads.
  it('notices a data centre whose instances all fell silent', (t) => {
    const reach = createReachability('own');
    for (const { name } of PEERS) reach.recordHeard(name, 0);
    reach.recordHeard('near', SILENT_MS);
    t.true(reach.isCut('far', PEERS, SILENT_MS));
    reach.recordHeard('far-2', SILENT_MS + 1);
    t.false(reach.isCut('far', PEERS, SILENT_MS + 2));
  });

  // This instance alone is cut off from its peers; endpoints everywhere still answer it.
  it('takes its own silence for no cut of the others', (t) => {
    const reach = createReachability('own');
    for (const { name } of PEERS) reach.recordHeard(name, 0);
    t.false(reach.isCut('far', PEERS, SILENT_MS));
  });

  it('knows nothing of instances it never heard', (t) => {
    const reach = createReachability('own');
    reach.recordHeard('near', 0);
    t.false(reach.isCut('far', PEERS, 1));
    t.false(reach.isCut('own', PEERS, SILENT_MS + 1));
  });
});
