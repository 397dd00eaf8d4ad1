import { describe } from '../test/describe.js';
import {
  FOLLOW,
  buildKnowledgeRequest,
  createKnowledgeHarness,
  sendKnowledge,
  waitMs,
} from '../test/knowledge-harness.js';

const SILENT_MS = 1500;
/** Far more than passes between a confirmation and its check. */
const AGE_MAX_MS = 1000;

describe('the age of the endpoints', ({ it }) => {
  // Guards against a follower whose links to peers are silent, while their datagrams confirm its configuration.
  it('grows on a follower that hears of a change and does not get it', async (t) => {
    const watcher = createKnowledgeHarness(t);
    const follower = createKnowledgeHarness(t, FOLLOW);
    await watcher.waitUntilWatched();
    sendKnowledge(watcher.store, follower.store, performance.now());
    watcher.endpoints.setRows([{ key: 'a', value: 'leaving' }]);
    await waitMs(SILENT_MS);
    watcher.configuration.setRows([{ key: 'config', value: '7' }]);
    watcher.endpoints.setRows([{ key: 'b', value: 'leaving' }]);
    await watcher.waitUntilWatched();
    follower.store.applySummary(watcher.store.getSummary());
    t.true(follower.store.computeAge() < AGE_MAX_MS);
    t.true(follower.store.computeEndpointsAge() >= SILENT_MS);
    sendKnowledge(watcher.store, follower.store, performance.now());
    t.true(follower.store.computeEndpointsAge() < AGE_MAX_MS);
  });

  it('is kept young by the summaries of those that know no later change', async (t) => {
    const watcher = createKnowledgeHarness(t);
    const follower = createKnowledgeHarness(t, FOLLOW);
    await watcher.waitUntilWatched();
    sendKnowledge(watcher.store, follower.store, performance.now());
    const summary = follower.store.getSummary();
    const { endpointsConfirmedAtMs = 0 } = watcher.store.getSummary();
    t.is(summary.endpointsConfirmedAtMs, endpointsConfirmedAtMs);
    await waitMs(SILENT_MS);
    const confirmed = { ...summary, endpointsConfirmedAtMs: performance.now() };
    follower.store.applySummary({ ...confirmed, endpointsRevision: 99 });
    t.true(follower.store.computeEndpointsAge() >= SILENT_MS);
    follower.store.applySummary({ ...confirmed, endpointsRevision: 0 });
    t.true(follower.store.computeEndpointsAge() >= SILENT_MS);
    follower.store.applySummary(confirmed);
    t.true(follower.store.computeEndpointsAge() < AGE_MAX_MS);
  });

  // Guards against a list from seconds ago, taken for the newest.
  it('is unknown before a watch has answered', async (t) => {
    const watcher = createKnowledgeHarness(t);
    watcher.endpoints.setAnswersMax(0);
    await watcher.waitUntilWatched();
    t.true(Number.isFinite(watcher.store.computeAge()));
    t.is(watcher.store.computeEndpointsAge(), Infinity);
    const follower = createKnowledgeHarness(t, FOLLOW);
    const sourceMs = performance.now();
    sendKnowledge(watcher.store, follower.store, sourceMs);
    follower.store.applySummary(watcher.store.getSummary());
    t.true(follower.store.computeAge() < AGE_MAX_MS);
    t.true(follower.store.computeEndpointsAge() >= sourceMs);
  });

  // Guards against an instance that begins no streams beside those of an earlier release.
  it('is that of the configuration by the word of an earlier release', async (t) => {
    const watcher = createKnowledgeHarness(t);
    const follower = createKnowledgeHarness(t, FOLLOW);
    await watcher.waitUntilWatched();
    const { endpoints, ...response } = watcher.store.buildResponse(
      buildKnowledgeRequest(follower.store),
    );
    if (endpoints === undefined) throw new TypeError('no endpoints were sent');
    const { knownAtMs, ...table } = endpoints;
    t.true(knownAtMs !== undefined);
    follower.store.applyResponse('old', { ...response, endpoints: table }, performance.now());
    t.true(follower.store.computeEndpointsAge() < AGE_MAX_MS);
    await waitMs(SILENT_MS);
    t.true(follower.store.computeEndpointsAge() >= SILENT_MS);
    const { endpointsConfirmedAtMs, ...summary } = follower.store.getSummary();
    t.true(endpointsConfirmedAtMs !== undefined);
    follower.store.applySummary({ ...summary, confirmedAtMs: performance.now() });
    t.true(follower.store.computeEndpointsAge() < AGE_MAX_MS);
  });
});
