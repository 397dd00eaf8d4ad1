import { describe } from '../test/describe.js';
import { createKnowledgeHarness, waitMs } from '../test/knowledge-harness.js';

/** Longer than the pause between two tries of a feed. */
const RETRIES_MS = 1500;
const STEP_MS = 50;

describe('a feed of the endpoints that fails', ({ it }) => {
  // Guards against an answer of the other feed, taken for one of the endpoints.
  it('makes its instance fetch them from peers, while that of the configuration answers', async (t) => {
    const { store, configuration, endpoints, waitUntilWatched, waitUntilSourceLost } =
      createKnowledgeHarness(t);
    await waitUntilWatched();
    endpoints.setReachable(false);
    await waitUntilSourceLost();
    await waitMs(RETRIES_MS);
    configuration.setRows([{ key: 'config', value: '8' }]);
    let fetches = 0;
    for (let step = 0; step < 4; step += 1) {
      // The feeds are read meanwhile.
      // eslint-disable-next-line no-await-in-loop
      await waitMs(STEP_MS);
      const { confirmedAtMs, configurationRevision } = store.getSummary();
      const summary = { configurationRevision, confirmedAtMs, endpointsRevision: 99 };
      if (store.applySummary(summary)) fetches += 1;
    }
    t.is(fetches, 4);
  });
});
