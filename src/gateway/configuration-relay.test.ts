import type { FetchKnowledgeResponse } from '../gen/peer_pb.js';
import { describe } from '../test/describe.js';
import {
  FOLLOW,
  WATCH,
  buildConfigurationResponse,
  buildKnowledgeRequest,
  createKnowledgeHarness,
  sendKnowledge,
} from '../test/knowledge-harness.js';

describe('configuration passed on to peers', ({ it }) => {
  // Guards against passing on old rows under a newer version after an older response came late.
  it('is the version in force when an older response arrives late', async (t) => {
    const watcher = createKnowledgeHarness(t);
    const relay = createKnowledgeHarness(t, FOLLOW);
    const follower = createKnowledgeHarness(t, FOLLOW);
    await watcher.waitUntilWatched();
    const sentMs = performance.now();
    const lateResponse = watcher.store.buildResponse(buildKnowledgeRequest(relay.store));
    watcher.configuration.setRows([{ key: 'config', value: '9' }]);
    await watcher.waitUntilWatched();
    sendKnowledge(watcher.store, relay.store, sentMs);
    relay.store.applyResponse('watcher', lateResponse, sentMs);
    sendKnowledge(relay.store, follower.store, sentMs);
    t.is(relay.store.getConfiguration()?.version, 9);
    t.is(follower.store.getConfiguration()?.version, 9);
  });

  // Guards against passing on old rows under a newer version while a resumed feed replays changes.
  it('is the version in force while its own feed replays older changes', async (t) => {
    const relay = createKnowledgeHarness(t);
    const follower = createKnowledgeHarness(t, FOLLOW);
    await relay.waitUntilWatched();
    relay.store.applyResponse(
      'peer',
      buildConfigurationResponse({ version: 9, announcedVersion: 9 }),
      performance.now(),
    );
    relay.configuration.setRows([{ key: 'config', value: '8' }]);
    await relay.waitUntilWatched();
    sendKnowledge(relay.store, follower.store, performance.now());
    t.is(follower.store.getConfiguration()?.version, 9);
  });

  // Guards against accepting a revoked key because a replay of older changes counts as a confirmation.
  it('is not confirmed by a feed that replays older changes', async (t) => {
    const relay = createKnowledgeHarness(t, FOLLOW);
    relay.store.applyResponse(
      'peer',
      buildConfigurationResponse({ version: 9, announcedVersion: 9, ageMs: 1000 }),
      performance.now(),
    );
    relay.configuration.setRows([{ key: 'config', value: '8' }]);
    relay.configuration.setAnswersMax(1);
    relay.store.setRole(WATCH);
    await relay.waitUntilConfigurationCalls(2);
    t.is(relay.store.getConfiguration()?.version, 9);
    t.true(relay.store.computeAge() >= 1000);
  });

  // Guards against taking an old version for confirmed when a peer sends it under a newer one.
  it('confirms no version but the one it was sent as', async (t) => {
    const follower = createKnowledgeHarness(t, FOLLOW);
    const send = (response: FetchKnowledgeResponse): void =>
      follower.store.applyResponse('peer', response, performance.now());
    send(buildConfigurationResponse({ version: 7, announcedVersion: 7, ageMs: 1000 }));
    send(buildConfigurationResponse({ version: 7, announcedVersion: 9, ageMs: 0 }));
    t.is(follower.store.getConfiguration()?.version, 7);
    t.true(follower.store.computeAge() >= 1000);
  });
});
