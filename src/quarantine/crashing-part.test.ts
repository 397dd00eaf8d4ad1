import type { ExecutionContext } from 'ava';
import { runCrashSimulation } from '../test/crash-simulation.js';
import type {
  CrashSimulationOptions,
  CrashSimulationResult,
  ObservedCall,
  PartTraffic,
} from '../test/crash-simulation.js';
import { describe } from '../test/describe.js';
import { buildSimulatedRoute } from '../test/simulated-routes.js';
import type { SimulatedRoute } from '../test/simulated-routes.js';
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind } from '../types/traffic.js';
import type { Random } from '../utils/random.js';

const ENGINES = 12;
const LENGTH_MS = 24_000;
const SEEDS = [1, 2];
/** Crash from which requests with the part may reach endpoints only for as long as the next bound. */
const COUNTED_CRASH = 5;
const NOTICE_MAX_MS = 3000;
const LATE_SENDS_MAX = 3;
/** Only refusals by the quarantine name a longer time. */
const CONDEMNED_RETRY_MIN_MS = 60_000;
/** Share of sound calls with the same first part that begin, as of those at other times. */
const SOUND_SHARE_MIN = 0.5;
const SOUND_PARTS = 12;

function buildDigest(callsPerSecond: number, kind: CallKind = CALL_KIND.Stream): SimulatedRoute {
  return {
    route: buildSimulatedRoute('digest', { kind, priority: 2, targetMs: 1500, gapTargetMs: 1000 }),
    sharedTokens: 13_300,
    ownTokens: 3720,
    outputTokens: 120,
    callsPerSecond,
  };
}

function chooseSound(random: Random): string {
  return `sound-${random.nextIndex(SOUND_PARTS)}`;
}

/** Sound calls of the same route, each with two of the popular parts. */
function buildSoundTraffic(callsPerSecond: number): PartTraffic {
  return {
    simulatedRoute: buildDigest(callsPerSecond),
    chooseParts: (random) => [chooseSound(random), chooseSound(random)],
  };
}

/** Calls with the part beside sound ones, no two alike. */
function buildBadTraffic(part: string, callsPerSecond: number, kind?: CallKind): PartTraffic {
  return {
    simulatedRoute: buildDigest(callsPerSecond, kind),
    chooseParts: (random) => [chooseSound(random), part, chooseSound(random)],
  };
}

function runPlays(options: Partial<CrashSimulationOptions>): Promise<CrashSimulationResult[]> {
  return Promise.all(
    SEEDS.map((seed) =>
      runCrashSimulation({
        seed,
        instances: 7,
        engines: ENGINES,
        dataCentres: 3,
        repeats: [],
        routes: [],
        lengthMs: LENGTH_MS,
        ...options,
      }),
    ),
  );
}

function countLateSends({ sends, crashes }: CrashSimulationResult, part: string): number {
  const counted = crashes.filter((crash) => crash.part === part)[COUNTED_CRASH - 1];
  if (counted === undefined) return 0;
  const fromMs = counted.atMs + NOTICE_MAX_MS;
  return sends.filter((send) => send.part === part && send.atMs > fromMs).length;
}

function isCondemned({ retryAfterMs = 0 }: ObservedCall): boolean {
  return retryAfterMs > CONDEMNED_RETRY_MIN_MS;
}

function listSound({ calls }: CrashSimulationResult, badParts: readonly string[]): ObservedCall[] {
  return calls.filter(({ parts }) => !parts.some((part) => badParts.includes(part)));
}

function assertStopped(
  t: ExecutionContext,
  plays: readonly CrashSimulationResult[],
  badParts: readonly string[],
): void {
  for (const play of plays) {
    for (const part of badParts) {
      const crashes = play.crashes.filter((crash) => crash.part === part).length;
      const late = countLateSends(play, part);
      t.true(crashes > 0, `${part} crashed nothing`);
      t.true(late <= LATE_SENDS_MAX, `${part}: ${late} late sends, ${crashes} endpoints crashed`);
    }
    const sound = listSound(play, badParts);
    const refused = sound.filter(isCondemned).length;
    t.is(refused, 0, `${refused} of ${sound.length} sound calls refused`);
    const whole = sound.filter(({ end }) => end === 'whole').length;
    t.true(whole >= sound.length * SOUND_SHARE_MIN, `${whole} of ${sound.length} sound calls`);
  }
}

const BAD = ['bad'];

describe('a part of a prompt that crashes every endpoint that begins on it', ({ it }) => {
  // Guards against knowing a request by all that it holds, so that each new one is a stranger.
  it('is no longer sent, in whichever request it comes', async (t) => {
    const partTraffic = [buildBadTraffic('bad', 4), buildSoundTraffic(8)];
    assertStopped(t, await runPlays({ partTraffic, culpritParts: BAD }), BAD);
  });

  // Guards against an instance that itself tries such a request at one endpoint after the other.
  it('is no longer sent in streams that may be resumed', async (t) => {
    const partTraffic = [
      buildBadTraffic('bad', 3, CALL_KIND.ResumableStream),
      buildSoundTraffic(8),
    ];
    assertStopped(t, await runPlays({ partTraffic, culpritParts: BAD }), BAD);
  });

  // Guards against trials that each instance counts for itself.
  it('is no longer sent by 70 instances', async (t) => {
    const partTraffic = [buildBadTraffic('bad', 6), buildSoundTraffic(25)];
    const options = { partTraffic, culpritParts: BAD, instances: 70, engines: 42 };
    const [play] = await runPlays({ ...options, lengthMs: 12_000 });
    assertStopped(t, play === undefined ? [] : [play], BAD);
  });

  // Guards against evidence of one part that hides the other's.
  it('is found beside another one', async (t) => {
    const partTraffic = [
      buildBadTraffic('bad', 3),
      buildBadTraffic('worse', 3),
      buildSoundTraffic(8),
    ];
    const parts = ['bad', 'worse'];
    assertStopped(t, await runPlays({ partTraffic, culpritParts: parts }), parts);
  });
});

describe('sound parts beside one that crashes endpoints', ({ it }) => {
  // Guards against condemning popular parts, which stand in nearly every crash.
  it('are not refused when several endpoints lose power at once', async (t) => {
    const partTraffic = [buildBadTraffic('bad', 3), buildSoundTraffic(8)];
    const crashes = [5, 9, 13, 17, 21].flatMap((second) =>
      [0, 1, 2].map((engine) => ({ atMs: second * 1000, engine })),
    );
    assertStopped(t, await runPlays({ partTraffic, culpritParts: BAD, crashes }), BAD);
  });

  // Guards against a part that is refused for ever since it always came beside the bad one.
  it('are served alone though they came beside the bad one only', async (t) => {
    const companion: PartTraffic = {
      simulatedRoute: buildDigest(1.5),
      chooseParts: (random) => [chooseSound(random), 'companion', 'bad'],
      toMs: 12_000,
    };
    const alone: PartTraffic = {
      simulatedRoute: buildDigest(2),
      chooseParts: (random) => [chooseSound(random), 'companion'],
      fromMs: 16_000,
    };
    const partTraffic = [companion, alone, buildSoundTraffic(8)];
    const plays = await runPlays({ partTraffic, culpritParts: BAD });
    for (const { calls } of plays) {
      const ofAlone = calls.filter(
        ({ parts }) => parts.includes('companion') && !parts.includes('bad'),
      );
      const whole = ofAlone.filter(({ end }) => end === 'whole');
      t.true(whole.length >= ofAlone.length * SOUND_SHARE_MIN, `${whole.length} served`);
    }
  });
});
