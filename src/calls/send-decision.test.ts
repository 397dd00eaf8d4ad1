import type { SendChoice } from '../endpoint-limits/send-limits.js';
import { ADMISSION } from '../placement/admission-decision.js';
import type { Admission } from '../placement/admission-decision.js';
import { describe } from '../test/describe.js';
import { createRandom } from '../utils/random.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createSendDecider } from './send-decision.js';
import type { SendDecider } from './send-decision.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';

function buildEndpoint(id: string): RegisteredEndpoint {
  return {
    id,
    startId: id,
    pool: 'engines',
    address: id,
    dataCentre: 'd',
    slots: 1,
    isLeaving: false,
    isSpot: false,
    softwareVersion: 'v1',
  };
}

const LEAVING: RequestFailure = {
  type: FAILURE.NotReady,
  message: 'leaves',
  outcome: OUTCOME.NotRun,
};
const FREE = buildEndpoint('free');
const LIMITED = buildEndpoint('limited');
const CALL = buildCall(
  {
    route: buildSimulatedRoute('call', {}),
    sharedTokens: 1,
    ownTokens: 1,
    outputTokens: 1,
    callsPerSecond: 1,
  },
  'c',
  0,
  createRandom(1),
);

function chooseRoom(isFull: boolean, isWaitExhausted: boolean): Admission {
  if (!isFull) return ADMISSION.Send;
  return isWaitExhausted ? ADMISSION.Refuse : ADMISSION.Wait;
}

interface DeciderSetup {
  readonly choice: SendChoice;
  /** Endpoints that have no room. */
  readonly full: readonly string[];
  /** Endpoints that have no send left. */
  readonly spent?: readonly string[];
  readonly isWaitExhausted?: boolean;
  readonly isLeaving?: boolean;
  readonly onRefused?: () => void;
}

function createDecider({
  choice,
  full,
  spent = [],
  isWaitExhausted = false,
  isLeaving = false,
  onRefused = () => undefined,
}: DeciderSetup): SendDecider {
  return createSendDecider({
    placer: {
      choose(_, endpoints, tried) {
        const endpoint = endpoints.find(({ id }) => !tried.includes(id));
        return endpoint === undefined ? undefined : { endpoint, readTokens: 0 };
      },
      recordRefused: onRefused,
      chooseAdmission: (_, { endpoint }) => chooseRoom(full.includes(endpoint.id), isWaitExhausted),
    },
    availability: { choose: () => ({ kind: 'open' }) },
    limits: { choose: () => choice, take: (_, __, { id }) => !spent.includes(id) },
    shares: { choose: (_, endpoints) => ({ kind: 'send', endpoints }) },
    quarantine: { check: () => ({ kind: 'send', isAlone: false }) },
    streams: { resolve: () => ({ kind: 'any' }), isFit: () => true },
    listRegistered: () => [FREE, LIMITED],
    checkSendable: () => (isLeaving ? LEAVING : undefined),
    triesOtherEngines: () => true,
    getNow: () => 0,
  });
}

/** Decides on a call; `full` endpoints have no room and `spent` ones no send left. */
function chooseFor(
  choice: SendChoice,
  full: readonly string[],
  spent: readonly string[] = [],
  isWaitExhausted = false,
) {
  const decision = createDecider({ choice, full, spent, isWaitExhausted }).choose(
    CALL,
    { attempt: 1, lastEventId: undefined },
    { tried: [], version: undefined },
  );
  return decision.kind === 'send' ? decision.placement.endpoint.id : decision.kind;
}

/** Where a call that is silent at the endpoints `tried` could go on. */
function findPlaceFor(setup: DeciderSetup, tried: readonly string[]): string | undefined {
  const command = { attempt: 2, lastEventId: undefined };
  const place = createDecider(setup).findPlace(CALL, command, { tried, version: undefined });
  return place?.endpoint.id;
}

describe('the place for a call that is silent elsewhere', ({ it }) => {
  const choice: SendChoice = { kind: 'send', endpoints: [FREE, LIMITED] };

  it('is an endpoint with room that it was not sent to', (t) => {
    t.is(findPlaceFor({ choice, full: [] }, ['free']), 'limited');
    t.is(findPlaceFor({ choice, full: ['limited'] }, ['free']), undefined);
    t.is(findPlaceFor({ choice, full: [], spent: ['limited'] }, ['free']), undefined);
    t.is(findPlaceFor({ choice, full: [] }, ['free', 'limited']), undefined);
  });

  // Guards against a stream that is given up at an instance that has no time left for another run.
  it('is none while the call must not be sent', (t) => {
    t.is(findPlaceFor({ choice, full: [], isLeaving: true }, ['free']), undefined);
  });

  // Guards against a search that counts as a refusal of the call.
  it('is sought without a refusal of the call', (t) => {
    let refused = 0;
    const setup: DeciderSetup = {
      choice,
      full: ['free', 'limited'],
      isWaitExhausted: true,
      onRefused() {
        refused += 1;
      },
    };
    t.is(findPlaceFor(setup, ['free']), undefined);
    t.is(refused, 0);
    createDecider(setup).choose(
      CALL,
      { attempt: 1, lastEventId: undefined },
      { tried: [], version: undefined },
    );
    t.is(refused, 1);
  });
});

describe('send decision', ({ it }) => {
  const choice: SendChoice = { kind: 'send', endpoints: [FREE], untested: LIMITED };

  // Guards against calls that all wait for a limited endpoint without room.
  it('tests a limit only if the endpoint has room', (t) => {
    t.is(chooseFor(choice, []), 'limited');
    t.is(chooseFor(choice, ['limited']), 'free');
  });

  // Guards against refusing a call that waited for the home of its prefix while others have room.
  it('sends a call to another endpoint with room before it is refused', (t) => {
    const both: SendChoice = { kind: 'send', endpoints: [LIMITED, FREE] };
    t.is(chooseFor(both, ['limited']), 'wait');
    t.is(chooseFor(both, ['limited'], [], true), 'free');
    t.is(chooseFor(both, ['limited', 'free'], [], true), 'reject');
  });

  // Guards against waits of which nobody can tell what they were for.
  it('says what a call waits for', (t) => {
    const command = { attempt: 1, lastEventId: undefined };
    const history = { tried: [], version: undefined };
    const one: SendChoice = { kind: 'send', endpoints: [FREE] };
    const decide = (setup: DeciderSetup) => createDecider(setup).choose(CALL, command, history);
    t.deepEqual(decide({ choice: one, full: ['free'] }), { kind: 'wait', reason: 'engine_room' });
    t.deepEqual(decide({ choice: { kind: 'wait' }, full: [] }), {
      kind: 'wait',
      reason: 'rate_limit',
    });
  });

  // Guards against a request that reaches a limited endpoint without being charged.
  it('sends nothing to an endpoint that has no send left', (t) => {
    t.is(chooseFor({ kind: 'send', endpoints: [LIMITED] }, [], ['limited']), 'wait');
    t.is(chooseFor({ kind: 'wait' }, []), 'wait');
  });
});
