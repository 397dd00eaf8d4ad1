import type { PromptShape } from '../calls/call-messages.js';
import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { chooseEndpoint } from './choose-endpoint.js';
import type { ChoiceInput } from './choose-endpoint.js';
import { ENDPOINT_VERDICT, createEndpointLoads } from './endpoint-loads.js';

function buildEndpoint(id: string, dataCentre = 'own'): RegisteredEndpoint {
  return { id, pool: 'p', address: `${id}:1`, dataCentre, slots: 128, isLeaving: false };
}

function buildPrompt(shared: string, sharedTokens: number, ownTokens: number): PromptShape {
  return {
    model: 'm',
    inputTokens: sharedTokens + ownTokens,
    outputTokensMax: 100,
    parts: [
      { id: shared, tokens: sharedTokens },
      { id: `${shared}-own`, tokens: ownTokens },
    ],
  };
}

function buildInput(change: Partial<ChoiceInput> = {}): ChoiceInput {
  return {
    endpoints: ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => buildEndpoint(id)),
    prompt: undefined,
    excluded: [],
    isCut: () => false,
    loads: createEndpointLoads(),
    random: createRandom(7),
    nowMs: 0,
    ...change,
  };
}

/** Milliseconds in which an engine of the deployments reads a token. */
const TOKEN_MS = 1 / 112;

/** Plays histories with kept parts on six engines; returns tokens read and the longest reading queue. */
function runHistories(choose: (input: ChoiceInput) => string): { read: number; longestMs: number } {
  const random = createRandom(11);
  const loads = createEndpointLoads();
  const kept = new Map<string, Set<string>>();
  const freeAtMs = new Map<string, number>();
  let read = 0;
  let longestMs = 0;
  for (let count = 0; count < 1500; count += 1) {
    const nowMs = count * 30;
    const part = `part-${random.nextIndex(150)}`;
    const chosen = choose(buildInput({ prompt: buildPrompt(part, 13_300, 3720), loads, random }));
    const parts = kept.get(chosen) ?? new Set();
    const tokens = 3720 + (parts.has(part) ? 0 : 13_300);
    kept.set(chosen, parts.add(part));
    read += tokens;
    const doneMs = Math.max(nowMs, freeAtMs.get(chosen) ?? 0) + tokens * TOKEN_MS;
    freeAtMs.set(chosen, doneMs);
    longestMs = Math.max(longestMs, doneMs - nowMs);
  }
  return { read, longestMs };
}

describe('choosing an endpoint', ({ describe: block }) => {
  block('for prompts', ({ it }) => {
    it('keeps prompts with a shared part together, on every instance alike', (t) => {
      for (const part of ['x', 'y', 'z']) {
        const chosen = [1, 2, 3].map(
          (seed) =>
            chooseEndpoint(
              buildInput({ prompt: buildPrompt(part, 13_300, 3000), random: createRandom(seed) }),
            )?.endpoint.id,
        );
        t.is(new Set(chosen).size, 1);
      }
    });

    // The load: one history in 30 ms over 150 shared parts of 13,300 tokens. Spread at random nearly
    // every part is read by every engine; kept together each is read once.
    it('reads far fewer tokens than spreading them', (t) => {
      const together = runHistories((input) => chooseEndpoint(input)?.endpoint.id ?? '');
      const spread = runHistories(
        ({ endpoints, random }) => endpoints[random.nextIndex(endpoints.length)]?.id ?? '',
      );
      t.true(together.read < spread.read * 0.8, `${together.read} against ${spread.read}`);
      t.true(together.longestMs < spread.longestMs, `${together.longestMs}, ${spread.longestMs}`);
    });

    // One part is asked for far more than others; its engine is behind by more than reading the part
    // elsewhere would take.
    it('leaves an engine that is too far behind', (t) => {
      const loads = createEndpointLoads();
      const prompt = buildPrompt('x', 2000, 1000);
      const home = chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id ?? '';
      loads.start(home, 20_000);
      const placement = chooseEndpoint(buildInput({ prompt, loads }));
      t.not(placement?.endpoint.id, home);
      t.is(placement?.readTokens, 3000);
    });

    it('counts what other instances tell of an engine', (t) => {
      const loads = createEndpointLoads();
      const prompt = buildPrompt('x', 200, 1000);
      const home = chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id ?? '';
      loads.setTold('other', [{ endpoint: home, running: 4, unreadTokens: 30_000 }], 0);
      t.not(chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id, home);
      loads.advance(5000);
      t.is(chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id, home);
    });
  });

  block('for any call', ({ it }) => {
    // A data centre is cut off; its endpoints are still registered. Calls go to those in reach, and
    // to the others only where nothing else is left.
    it('passes over what is out of reach', (t) => {
      const endpoints = [buildEndpoint('near'), buildEndpoint('far', 'cut')];
      const isCut = (dataCentre: string): boolean => dataCentre === 'cut';
      t.is(chooseEndpoint(buildInput({ endpoints, isCut }))?.endpoint.id, 'near');
      const excluded = ['near'];
      t.is(chooseEndpoint(buildInput({ endpoints, isCut, excluded }))?.endpoint.id, 'far');
    });

    // An endpoint crashed; its entry stays for some seconds. After one refused connection it gets no
    // further call, then one at a time until it answers.
    it('sets an unreachable endpoint aside and asks it again with one call', (t) => {
      const loads = createEndpointLoads();
      const endpoints = [buildEndpoint('dead'), buildEndpoint('live')];
      loads.start('dead', 0).recordEnd(ENDPOINT_VERDICT.Unreachable, 0);
      for (let count = 0; count < 5; count += 1) {
        t.is(chooseEndpoint(buildInput({ endpoints, loads, nowMs: 500 }))?.endpoint.id, 'live');
        loads.start('live', 0);
      }
      t.is(chooseEndpoint(buildInput({ endpoints, loads, nowMs: 1500 }))?.endpoint.id, 'dead');
      const probe = loads.start('dead', 0);
      t.is(chooseEndpoint(buildInput({ endpoints, loads, nowMs: 1500 }))?.endpoint.id, 'live');
      probe.recordEnd(ENDPOINT_VERDICT.Good, 1600);
      t.is(chooseEndpoint(buildInput({ endpoints, loads, nowMs: 1600 }))?.endpoint.id, 'dead');
    });

    it('gives nothing where every endpoint was tried', (t) => {
      const endpoints = [buildEndpoint('a')];
      t.is(chooseEndpoint(buildInput({ endpoints, excluded: ['a'] })), undefined);
    });
  });
});
