import type { RoutedCall } from '../calls/call-messages.js';
import { describe } from '../test/describe.js';
import { buildSimulatedRoute } from '../test/simulated-routes.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { ALL_FEATURES } from '../types/features.js';
import { createRandom } from '../utils/random.js';
import { createEndpointLoads } from './endpoint-loads.js';
import { ADMISSION } from './admission-decision.js';
import { createPlacer } from './placer.js';

const ENGINE: RegisteredEndpoint = {
  id: 'a',
  startId: 'a',
  pool: 'p',
  address: 'a:1',
  dataCentre: 'd',
  slots: 16,
  isLeaving: false,
  isSpot: false,
  softwareVersion: 'v1',
};
const CALL: RoutedCall = {
  callId: 'c',
  contentId: 'c',
  route: buildSimulatedRoute('draft', { priority: 1 }),
  pool: ENGINE.pool,
  organisation: undefined,
  isAuthenticated: false,
  urgency: 1,
  prompt: { model: 'm', inputTokens: 10, outputTokensMax: 10, parts: [{ id: 'x', tokens: 10 }] },
  payload: { method: 'POST', target: '/', headers: [], body: Buffer.alloc(0) },
  lastEventId: undefined,
  resumedCallId: undefined,
  receivedMs: 0,
  deadlineMs: 5000,
};

describe('placer', ({ it }) => {
  // Guards against refusing a call whose engine crashed after its answer had begun.
  it('sends a call whose answer has begun where a new call is refused', (t) => {
    const loads = createEndpointLoads();
    for (let count = 0; count < 24; count += 1) loads.start(ENGINE, 0, 0);
    const placer = createPlacer({
      loads,
      random: createRandom(1),
      features: ALL_FEATURES,
      listOpen: () => [ENGINE],
      getRouteRank: () => ({ rank: 1, ranks: 3, nextPauseMs: Infinity, urgentPauseMs: 250 }),
      isDataCentreUnreachable: () => false,
      isAvoided: () => false,
    });
    const placement = { endpoint: ENGINE, readTokens: 10 };
    t.is(placer.chooseAdmission(CALL, placement, false, 3000), ADMISSION.Refuse);
    t.is(placer.chooseAdmission(CALL, placement, true, 3000), ADMISSION.Send);
  });

  // Guards against refusing a call while less urgent ones hold the slots that it would get from the engine.
  it('sends a call to an engine that is full of less urgent ones', (t) => {
    const ranks = { draft: 1, plan: 2 };
    const loads = createEndpointLoads();
    const placer = createPlacer({
      loads,
      random: createRandom(1),
      features: ALL_FEATURES,
      listOpen: () => [ENGINE],
      getRouteRank: ({ name }) => ({
        rank: ranks[name as keyof typeof ranks],
        ranks: 3,
        nextPauseMs: Infinity,
        urgentPauseMs: 250,
      }),
      isDataCentreUnreachable: () => false,
      isAvoided: () => false,
    });
    const placement = { endpoint: ENGINE, readTokens: 10 };
    const plan: RoutedCall = { ...CALL, route: buildSimulatedRoute('plan', { priority: 2 }) };
    for (let count = 0; count < ENGINE.slots; count += 1) placer.start(plan, placement, 0);
    t.is(placer.chooseAdmission(plan, placement, false, 100), ADMISSION.Wait);
    t.is(placer.chooseAdmission(CALL, placement, false, 100), ADMISSION.Send);
    for (let count = 0; count < ENGINE.slots * 0.75; count += 1) placer.start(CALL, placement, 0);
    t.is(placer.chooseAdmission(CALL, placement, false, 100), ADMISSION.Send);
    for (let count = 0; count < ENGINE.slots * 0.25; count += 1) placer.start(CALL, placement, 0);
    t.is(placer.chooseAdmission(CALL, placement, false, 100), ADMISSION.Wait);
  });

  // Guards against an instance without measurements that sends all its waiting prompts to one engine.
  it('sends the least urgent prompts one by one until it knows how fast engines read', (t) => {
    const loads = createEndpointLoads();
    const placer = createPlacer({
      loads,
      random: createRandom(1),
      features: ALL_FEATURES,
      listOpen: () => [ENGINE],
      getRouteRank: () => ({ rank: 1, ranks: 2, nextPauseMs: Infinity, urgentPauseMs: 250 }),
      isDataCentreUnreachable: () => false,
      isAvoided: () => false,
    });
    // More urgent calls that make room scarce.
    for (let count = 0; count < ENGINE.slots * 0.25; count += 1) loads.start(ENGINE, 0, 0);
    const placement = { endpoint: ENGINE, readTokens: 10 };
    const decide = () => placer.chooseAdmission(CALL, placement, false, 100);
    t.is(decide(), ADMISSION.Send);
    placer.start(CALL, placement, 100);
    t.is(decide(), ADMISSION.Send);
    const ticket = placer.start(CALL, placement, 100);
    t.is(decide(), ADMISSION.Wait);
    ticket.recordEvent(200);
    t.is(decide(), ADMISSION.Send);
  });

  // Guards against taking an engine for slow that has to read a prefix which it would have cached.
  it('counts a shared prefix among the tokens that an engine with a cold cache reads', (t) => {
    const loads = createEndpointLoads();
    let isCold = true;
    const placer = createPlacer({
      loads,
      random: createRandom(1),
      listOpen: () => [ENGINE],
      getRouteRank: () => ({ rank: 0, ranks: 1, nextPauseMs: Infinity, urgentPauseMs: 250 }),
      isDataCentreUnreachable: () => false,
      isAvoided: () => false,
      features: ALL_FEATURES,
      takeColdPrefix: () => isCold,
    });
    const parts = [
      { id: 'shared', tokens: 900 },
      { id: 'own', tokens: 100 },
    ];
    const prompt = { model: 'm', inputTokens: 1000, outputTokensMax: 10, parts };
    const placement = { endpoint: ENGINE, readTokens: 100 };
    placer.start({ ...CALL, prompt }, placement, 0);
    t.is(loads.get(ENGINE.startId).unreadTokens, 1000);
    isCold = false;
    placer.start({ ...CALL, prompt }, placement, 0);
    t.is(loads.get(ENGINE.startId).unreadTokens, 1100);
  });
});
