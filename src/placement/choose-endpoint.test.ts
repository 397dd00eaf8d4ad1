import type { PromptShape } from '../calls/call-messages.js';
import { describe } from '../test/describe.js';
import { buildLoadShare } from '../test/load-shares.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { chooseEndpoint } from './choose-endpoint.js';
import type { ChoiceInput } from './choose-endpoint.js';
import { ENDPOINT_VERDICT, createEndpointLoads } from './endpoint-loads.js';
import type { EndpointLoads, LoadTicket } from './endpoint-loads.js';
import { LOAD_CLASS } from './load-class.js';
import type { LoadClass } from './load-class.js';

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
    softwareVersion: 'v1',
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
    isDataCentreUnreachable: () => false,
    isAvoided: () => false,
    loads: createTrainedLoads(),
    random: createRandom(7),
    targetMs: 1500,
    gapTargetMs: Infinity,
    isTimed: false,
    eventsExpected: 0,
    isUrgent: false,
    reserved: new Set(),
    slow: new Set(),
    waitedShare: 0,
    nowMs: 0,
    ...change,
  };
}

/** Time in which the engines of these tests read a token. */
const TOKEN_MS = 1 / 112;

/** Loads that have learned the prefill speed of the pool. */
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

/** Increase in the pause between two events per running call. */
const PAUSE_MS_PER_CALL = 1;

/** Records streams at a separate engine, from which the loads learn how pauses grow with calls. */
function addStreamPauses(loads: EndpointLoads): void {
  const engine = buildEndpoint('streaming');
  for (let running = 1; running <= 20; running += 1) {
    const ticket = loads.start(engine, 0, 0);
    for (let event = 0; event < 5; event += 1) {
      ticket.recordEvent(event * (20 + running * PAUSE_MS_PER_CALL));
    }
  }
}

/**
 * Simulates prompts with shared prefixes on six engines; returns the tokens read and the longest
 * wait.
 */
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
    it('sends prompts with the same shared prefix to one endpoint, on every instance', (t) => {
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

    // Guards against spreading the shared prefixes over all engines, each of which would read every
    // one of them.
    it('reads far fewer tokens than random placement', (t) => {
      const together = runSharedPrompts((input) => chooseEndpoint(input)?.endpoint.id ?? '');
      const spread = runSharedPrompts(
        ({ endpoints, random }) => endpoints[random.nextIndex(endpoints.length)]?.id ?? '',
      );
      t.true(together.read < spread.read * 0.8, `${together.read} against ${spread.read}`);
      t.true(together.longestMs < spread.longestMs, `${together.longestMs}, ${spread.longestMs}`);
    });

    // Guards against queueing behind a busy home for longer than reading the prefix elsewhere takes.
    it('leaves the home when its queue of unread tokens is too long', (t) => {
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

    describe('with the timing of each engine', ({ it: itTimed }) => {
      const prompt = buildPrompt('x', 13_300, 3720);
      const timed = {
        prompt,
        isTimed: true,
        targetMs: 2000,
        gapTargetMs: 1000,
        eventsExpected: 24,
      };

      function addPauses(loads: EndpointLoads, engine: string, pauseMs: number): void {
        loads.remote.set(
          engine,
          [buildLoadShare({ endpoint: engine, running: 10, pauses: 200, pauseMs: 200 * pauseMs })],
          true,
          0,
        );
      }

      // Guards against streams that pause at a slow home until their deadline while others have room.
      itTimed('leaves a home whose streams pause for longer than they may', (t) => {
        const loads = createTrainedLoads();
        const home = chooseEndpoint(buildInput({ ...timed, loads }))?.endpoint.id ?? '';
        addPauses(loads, home, 900);
        t.not(chooseEndpoint(buildInput({ ...timed, loads }))?.endpoint.id, home);
      });

      // Guards against a prefix that is read at a different engine by each call that leaves its home.
      itTimed('sends what leaves a home to the same second engine', (t) => {
        const loads = createTrainedLoads();
        const home = chooseEndpoint(buildInput({ ...timed, loads }))?.endpoint.id ?? '';
        addPauses(loads, home, 900);
        const chosen = [1, 2, 3, 4, 5].map(
          (seed) =>
            chooseEndpoint(buildInput({ ...timed, loads, random: createRandom(seed) }))?.endpoint
              .id,
        );
        t.is(new Set(chosen).size, 1);
      });

      // Guards against slow engines that read as many prompts as fast ones.
      itTimed('gives slow engines fewer homes', (t) => {
        const count = (slow: ReadonlySet<string>): number =>
          Array.from({ length: 600 }, (_, index) => buildPrompt(`p${index}`, 13_300, 3720))
            .map((each) => chooseEndpoint(buildInput({ ...timed, prompt: each, slow })))
            .filter((placement) => placement?.endpoint.id === 'a').length;
        const before = count(new Set());
        const after = count(new Set(['a']));
        t.true(after < before * 0.7, `${before} -> ${after}`);
        t.true(after > 0);
      });
    });

    // Guards against sending long answers to the engine with the fewest unread tokens although its
    // many running calls slow down streams.
    it('avoids engines with many running calls for long answers', (t) => {
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

    // Guards against leaving a cached prefix at once when its home is full, and against missing the
    // target by waiting for a slot there.
    it('leaves a home without a free slot only when the call is about to miss its target', (t) => {
      const endpoints = ['a', 'b', 'c'].map((id) => ({ ...buildEndpoint(id), slots: 16 }));
      const loads = createTrainedLoads();
      const input = { endpoints, prompt: buildPrompt('x', 6300, 2890), loads };
      const home = chooseEndpoint(buildInput(input))?.endpoint.id ?? '';
      for (let count = 0; count < 20; count += 1) loads.start(buildEndpoint(home), 0, 0);
      t.is(chooseEndpoint(buildInput(input))?.endpoint.id, home);
      t.not(chooseEndpoint(buildInput({ ...input, waitedShare: 0.6 }))?.endpoint.id, home);
    });

    // Guards against urgent calls that queue at the reserved engine while others have a free slot.
    it('sends urgent calls to an engine with a free slot, or one that preempts, before a full one', (t) => {
      const loads = createTrainedLoads();
      const endpoints = ['a', 'b', 'c'].map((id) => ({ ...buildEndpoint(id), slots: 4 }));
      const [, second, third] = endpoints as [
        RegisteredEndpoint,
        RegisteredEndpoint,
        RegisteredEndpoint,
      ];
      const input = buildInput({
        endpoints,
        loads,
        prompt: buildPrompt('s', 300, 1000),
        targetMs: 250,
        isUrgent: true,
        reserved: new Set(['a']),
      });
      const start = (endpoint: RegisteredEndpoint, count: number, loadClass: LoadClass): void => {
        for (let index = 0; index < count; index += 1) loads.start(endpoint, 1000, 0, loadClass);
      };
      addRunning(loads, 'a', 4, 0);
      start(second, 3, LOAD_CLASS.Preemptible);
      start(third, 4, LOAD_CLASS.Preemptible);
      t.is(chooseEndpoint(input)?.endpoint.id, 'b');
      start(second, 4, LOAD_CLASS.Urgent);
      t.is(chooseEndpoint(input)?.endpoint.id, 'c');
    });

    // Guards against urgent calls that leave full engines for one that has crashed and looks idle.
    it('sends urgent calls to a full engine before one that fails', (t) => {
      const loads = createTrainedLoads();
      const endpoints = ['a', 'b'].map((id) => ({ ...buildEndpoint(id), slots: 4 }));
      addRunning(loads, 'a', 6, 0);
      for (let count = 0; count < 4; count += 1)
        loads.start(buildEndpoint('b'), 0, 0).recordEnd(ENDPOINT_VERDICT.Errored, 0);
      const prompt = buildPrompt('s', 300, 1000);
      const input = buildInput({ endpoints, loads, prompt, targetMs: 250, isUrgent: true });
      t.is(chooseEndpoint(input)?.endpoint.id, 'a');
    });

    it('counts load reported by other instances', (t) => {
      const loads = createTrainedLoads();
      const prompt = buildPrompt('x', 200, 1000);
      const home = chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id ?? '';
      loads.remote.set(
        'other',
        [buildLoadShare({ endpoint: home, running: 4, unreadTokens: 30_000 })],
        true,
        0,
      );
      t.not(chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id, home);
      loads.remote.removeExpired(5000, 1000);
      t.is(chooseEndpoint(buildInput({ prompt, loads }))?.endpoint.id, home);
    });
  });

  block('when an endpoint fails some of its calls', ({ it }) => {
    /**
     * Simulates 20 s of calls at 15 per second on six endpoints, of which `a` fails 45% at once;
     * returns the number of failures.
     */
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

    // Guards against an endpoint that fails quickly and attracts calls because few of them run
    // there.
    it('sends it few calls without a prompt', (t) => {
      const failed = countFailed(() => undefined);
      t.true(failed <= 12, `${failed} of 300 failed`);
    });

    // The same for prompts, a sixth of which have their home at the failing engine.
    it('sends it few prompts even if it is their home', (t) => {
      const failed = countFailed((count) => buildPrompt(`part-${(count * 7) % 150}`, 6300, 2890));
      t.true(failed <= 13, `${failed} of 300 failed`);
    });

    it('uses failures reported within its data centre until the report expires', (t) => {
      const loads = createTrainedLoads();
      const failing = buildLoadShare({ answers: 9, failures: 5 });
      loads.remote.set('far', [failing], false, 0);
      t.is(loads.getFailureRate('a', 0), 0);
      loads.remote.set('near', [failing], true, 0);
      t.true(loads.getFailureRate('a', 0) > 0.3);
      loads.remote.removeExpired(5000, 1000);
      t.is(loads.getFailureRate('a', 5000), 0);
    });

    it('ignores a single failure and forgets failures after a while', (t) => {
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
    // The endpoints of an unreachable data centre are still registered.
    it('skips unreachable data centres while there are other endpoints', (t) => {
      const endpoints = [buildEndpoint('near'), buildEndpoint('far', 'cut')];
      const isDataCentreUnreachable = (dataCentre: string): boolean => dataCentre === 'cut';
      t.is(chooseEndpoint(buildInput({ endpoints, isDataCentreUnreachable }))?.endpoint.id, 'near');
      const excluded = ['near'];
      t.is(
        chooseEndpoint(buildInput({ endpoints, isDataCentreUnreachable, excluded }))?.endpoint.id,
        'far',
      );
    });

    // A crashed endpoint stays registered for some seconds.
    it('skips an unreachable endpoint and probes it with one call at a time', (t) => {
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

    // Guards against urgent calls that find out for all others whether an endpoint is back.
    it('probes it with an urgent call only after less urgent ones had time to', (t) => {
      const loads = createTrainedLoads();
      const endpoints = [buildEndpoint('dead'), buildEndpoint('live')];
      const choose = (nowMs: number): string | undefined =>
        chooseEndpoint(buildInput({ endpoints, loads, isUrgent: true, nowMs }))?.endpoint.id;
      loads.start(buildEndpoint('dead'), 0, 0).recordEnd(ENDPOINT_VERDICT.Good, 0);
      loads.start(buildEndpoint('dead'), 0, 0).recordEnd(ENDPOINT_VERDICT.Unreachable, 0);
      loads.start(buildEndpoint('live'), 0, 0);
      t.is(choose(1500), 'live');
      t.is(choose(5500), 'dead');
    });

    // Guards against calls that follow one whose peers are still being asked.
    it('skips an endpoint to which no connection could be made while a call looks for a way', (t) => {
      const loads = createTrainedLoads();
      const endpoints = [buildEndpoint('dead'), buildEndpoint('live')];
      const choose = (): string | undefined =>
        chooseEndpoint(buildInput({ endpoints, loads, nowMs: 1500 }))?.endpoint.id;
      loads.start(buildEndpoint('dead'), 0, 0);
      for (let count = 0; count < 3; count += 1) loads.start(buildEndpoint('live'), 0, 0);
      loads.recordUnreachable('dead');
      t.is(choose(), 'live');
      loads.recordReachable('dead');
      t.is(choose(), 'dead');
    });

    it('returns undefined when every endpoint was tried', (t) => {
      const endpoints = [buildEndpoint('a')];
      t.is(chooseEndpoint(buildInput({ endpoints, excluded: ['a'] })), undefined);
    });
  });
});
