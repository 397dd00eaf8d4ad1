import type { PromptShape } from '../calls/call-messages.js';
import { describe } from '../test/describe.js';
import { buildShare } from '../test/load-shares.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { chooseEndpoint } from './choose-endpoint.js';
import type { ChoiceInput } from './choose-endpoint.js';
import { ENDPOINT_VERDICT, createEndpointLoads } from './endpoint-loads.js';
import type { EndpointLoads, LoadTicket } from './endpoint-loads.js';

function buildEndpoint(id: string, dataCentre = 'own'): RegisteredEndpoint {
  const address = `${id}:1`;
  return {
    id,
    startId: id,
    pool: 'p',
    address,
    dataCentre,
    slots: 128,
    isLeaving: false,
    isSpot: false,
  };
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
    isAvoided: () => false,
    loads: createTrainedLoads(),
    random: createRandom(7),
    targetMs: 1500,
    eventsExpected: 0,
    isUrgent: false,
    reserved: new Set(),
    waitedShare: 0,
    nowMs: 0,
    ...change,
  };
}

/** Milliseconds in which the engines of these tests read a token. */
const TOKEN_MS = 1 / 112;

/** Loads that know the engines' pace from prompts read elsewhere. */
function createTrainedLoads(): EndpointLoads {
  const loads = createEndpointLoads();
  for (let count = 0; count < 20; count += 1) {
    const tokens = 1000 + count * 500;
    const ticket = loads.start(buildEndpoint('elsewhere'), tokens, 0);
    ticket.recordEvent(45 + tokens * TOKEN_MS);
    ticket.recordEnd(ENDPOINT_VERDICT.Good, 700);
  }
  return loads;
}

function addRunning(loads: EndpointLoads, id: string, count: number, unreadTokens: number): void {
  for (let index = 0; index < count; index += 1) loads.start(buildEndpoint(id), 0, 0);
  loads.start(buildEndpoint(id), unreadTokens, 0);
}

/** Milliseconds that each call under way adds to the pause between two events. */
const PAUSE_MS_PER_CALL = 1;

/** Lets loads learn how pauses grow with calls, from streams at an engine of its own. */
function addStreamPauses(loads: EndpointLoads): void {
  const engine = buildEndpoint('streaming');
  for (let running = 1; running <= 20; running += 1) {
    const ticket = loads.start(engine, 0, 0);
    for (let event = 0; event < 5; event += 1) {
      ticket.recordEvent(event * (20 + running * PAUSE_MS_PER_CALL));
    }
  }
}

/** Plays histories with kept parts on six engines; returns tokens read and the longest reading queue. */
function runSharedPrompts(choose: (input: ChoiceInput) => string): {
  read: number;
  longestMs: number;
} {
  const random = createRandom(11);
  const loads = createTrainedLoads();
  const cachedParts = new Map<string, Set<string>>();
  const freeAtMs = new Map<string, number>();
  let read = 0;
  let longestMs = 0;
  for (let count = 0; count < 1500; count += 1) {
    const nowMs = count * 30;
    const part = `part-${random.nextIndex(150)}`;
    const chosen = choose(buildInput({ prompt: buildPrompt(part, 13_300, 3720), loads, random }));
    const parts = cachedParts.get(chosen) ?? new Set();
    const tokens = 3720 + (parts.has(part) ? 0 : 13_300);
    cachedParts.set(chosen, parts.add(part));
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
      const together = runSharedPrompts((input) => chooseEndpoint(input)?.endpoint.id ?? '');
      const spread = runSharedPrompts(
        ({ endpoints, random }) => endpoints[random.nextIndex(endpoints.length)]?.id ?? '',
      );
      t.true(together.read < spread.read * 0.8, `${together.read} against ${spread.read}`);
      t.true(together.longestMs < spread.longestMs, `${together.longestMs}, ${spread.longestMs}`);
    });

    // One part is asked for far more than others; its engine is behind by more than reading the part
    // elsewhere would take.
    it('leaves an engine that is too far behind', (t) => {
      const loads = createTrainedLoads();
      const prompt = buildPrompt('x', 2000, 1000);
      const home = chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id ?? '';
      loads.start(buildEndpoint(home), 20_000, 0);
      t.is(chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id, home);
      loads.start(buildEndpoint(home), 30_000, 0);
      const placement = chooseEndpoint(buildInput({ prompt, loads }));
      t.not(placement?.endpoint.id, home);
      t.is(placement?.readTokens, 3000);
    });

    // Lookups end after ten seconds or never, all at one engine. In a burst it had fewest prompts
    // unread, which a lookup never waits behind, and 60 to 130 calls under way where the others had 35
    // to 50: each call adds to every step, and a lookup takes 170 of them. Proved by a played day: 205 of
    // 248 logged lookups of a burst went to one of three engines.
    it('keeps long answers from an engine where many calls lengthen each step', (t) => {
      const loads = createTrainedLoads();
      const endpoints = ['a', 'b'].map((id) => buildEndpoint(id));
      addRunning(loads, 'a', 90, 0);
      addRunning(loads, 'b', 30, 20_000);
      addStreamPauses(loads);
      const lookup = { endpoints, prompt: buildPrompt('x', 0, 1110), loads, targetMs: 300 };
      const placements = [3, 34].map(
        (eventsExpected) => chooseEndpoint(buildInput({ ...lookup, eventsExpected }))?.endpoint.id,
      );
      t.deepEqual(placements, ['a', 'b']);
    });

    // A fleet of engines with 16 slots each, and one shared part in great demand: its home has 20
    // calls under way. Beyond its slots it would refuse; a call with time left waits for it, one that
    // is about to be late goes where the part must be read first.
    it('leaves a home without a free slot only when time runs out', (t) => {
      const endpoints = ['a', 'b', 'c'].map((id) => ({ ...buildEndpoint(id), slots: 16 }));
      const loads = createTrainedLoads();
      const input = { endpoints, prompt: buildPrompt('x', 6300, 2890), loads };
      const home = chooseEndpoint(buildInput(input))?.endpoint.id ?? '';
      for (let count = 0; count < 20; count += 1) loads.start(buildEndpoint(home), 0, 0);
      t.is(chooseEndpoint(buildInput(input))?.endpoint.id, home);
      t.not(chooseEndpoint(buildInput({ ...input, waitedShare: 0.6 }))?.endpoint.id, home);
    });

    it('counts what other instances tell of an engine', (t) => {
      const loads = createTrainedLoads();
      const prompt = buildPrompt('x', 200, 1000);
      const home = chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id ?? '';
      loads.remote.set(
        'other',
        [buildShare({ endpoint: home, running: 4, unreadTokens: 30_000 })],
        true,
        0,
      );
      t.not(chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id, home);
      loads.remote.removeExpired(5000, 1000);
      t.is(chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id, home);
    });
  });

  block('where an endpoint fails part of its calls', ({ it }) => {
    /** Plays 20 s of calls at 15 a second on six endpoints, `a` of which fails 45% of them at once; returns how many failed. */
    function countFailed(prompt: (count: number) => PromptShape | undefined): number {
      const random = createRandom(5);
      const loads = createTrainedLoads();
      const ending: { ticket: LoadTicket; atMs: number }[] = [];
      let failed = 0;
      for (let count = 0; count < 300; count += 1) {
        const nowMs = count * 66;
        while ((ending[0]?.atMs ?? Infinity) <= nowMs) {
          ending.shift()?.ticket.recordEnd(ENDPOINT_VERDICT.Good, nowMs);
        }
        const placement = chooseEndpoint(
          buildInput({ prompt: prompt(count), loads, random, nowMs }),
        );
        const id = placement?.endpoint.id ?? '';
        const ticket = loads.start(buildEndpoint(id), placement?.readTokens ?? 0, nowMs);
        if (id === 'a' && random.next() < 0.45) {
          failed += 1;
          ticket.recordEnd(ENDPOINT_VERDICT.Errored, nowMs);
        } else ending.push({ ticket, atMs: nowMs + 400 });
      }
      return failed;
    }

    // A clerk's queries come back with errors again and again. One runner of six answers 45% of its
    // calls with an error within milliseconds, so it always has the fewest calls under way, and its
    // health says it is sound. Where failures do not count, 38 of 300 plain calls fail; counted, 7.
    it('keeps plain calls from it', (t) => {
      const failed = countFailed(() => undefined);
      t.true(failed <= 12, `${failed} of 300 failed`);
    });

    // The same for prompts, whose shared parts have their home there: 150 parts, a sixth of them at
    // the failing engine. Where failures do not count, 18 of 300 prompts fail; counted, 10.
    it('keeps prompts from it though their shared parts are there', (t) => {
      const failed = countFailed((count) => buildPrompt(`part-${(count * 7) % 150}`, 6300, 2890));
      t.true(failed <= 13, `${failed} of 300 failed`);
    });

    it('believes what instances of the own data centre tell, while they tell it', (t) => {
      const loads = createTrainedLoads();
      const failing = buildShare({ answers: 9, failures: 5 });
      loads.remote.set('far', [failing], false, 0);
      t.is(loads.getFailureRate('a', 0), 0);
      loads.remote.set('near', [failing], true, 0);
      t.true(loads.getFailureRate('a', 0) > 0.3);
      loads.remote.removeExpired(5000, 1000);
      t.is(loads.getFailureRate('a', 5000), 0);
    });

    it('trusts it again after a while, and forgives a single failure', (t) => {
      const loads = createTrainedLoads();
      loads.start(buildEndpoint('a'), 0, 0).recordEnd(ENDPOINT_VERDICT.Errored, 0);
      t.is(loads.getFailureRate('a', 0), 0);
      for (let count = 0; count < 4; count += 1) {
        loads.start(buildEndpoint('a'), 0, 0).recordEnd(ENDPOINT_VERDICT.Errored, 0);
      }
      t.true(loads.getFailureRate('a', 0) > 0.5);
      t.is(loads.getFailureRate('a', 10_000), 0);
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
      const loads = createTrainedLoads();
      const endpoints = [buildEndpoint('dead'), buildEndpoint('live')];
      loads.start(buildEndpoint('dead'), 0, 0).recordEnd(ENDPOINT_VERDICT.Unreachable, 0);
      for (let count = 0; count < 5; count += 1) {
        t.is(chooseEndpoint(buildInput({ endpoints, loads, nowMs: 500 }))?.endpoint.id, 'live');
        loads.start(buildEndpoint('live'), 0, 0);
      }
      t.is(chooseEndpoint(buildInput({ endpoints, loads, nowMs: 1500 }))?.endpoint.id, 'dead');
      const probe = loads.start(buildEndpoint('dead'), 0, 0);
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
