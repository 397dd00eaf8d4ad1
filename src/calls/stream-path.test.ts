import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { openAnswer } from '../test/open-answer.js';
import { NO_NOTICE } from '../endpoint-availability/availability-notice.js';
import { NOT_BRITTLE } from '../slot-shares/brittle-reading.js';
import { CALL_KIND } from '../types/traffic.js';
import { createAttemptReader } from './attempt-reader.js';
import type { DecodedHead } from './attempt-reader.js';
import type { CallCommand, CallMessage } from './call-messages.js';
import { createCallStateMachine } from './call-state-machine.js';

const HEAD: DecodedHead = {
  callId: 'c',
  isNotRun: false,
  isWrongEndpoint: false,
  isSigned: true,
  isEventStream: true,
  rateLimit: { kind: 'none' },
  notice: NO_NOTICE,
  brittle: NOT_BRITTLE,
  headers: [],
};
const EVENTS = [
  'id: 1\ndata: a\n\n',
  'id:2\r\ndata: b\r\n\r\n',
  'weights: 3\nid: 5\ndata: c\ndata: c\n\n',
  ': waits\n\n',
  'data: d\nid: 6\n\n',
];
const IDS = [1, 2, 5, 5, 6];
const WHOLE = EVENTS.join('');

function buildRest(lastEventId: string | undefined): Buffer {
  const last = Number(lastEventId ?? 0);
  // A comment belongs to the event before it.
  return Buffer.from(EVENTS.filter((_, index) => (IDS[index] ?? 0) > last).join(''));
}

interface PlayedStream {
  readonly body: string;
  readonly final: CallCommand['kind'] | undefined;
}

/** Plays a stream whose first attempts are cut at these bytes and read in parts of this size. */
function runStream(cuts: readonly number[], partSize: number): PlayedStream {
  const stateMachine = createCallStateMachine({
    kind: CALL_KIND.ResumableStream,
    attemptsMax: cuts.length + 1,
    deadlineMs: 1000,
    lastEventId: undefined,
    firstResponseTimeoutMs: 500,
    streamIdleTimeoutMs: 500,
    getReturnMs: () => 0,
    hasRetry: () => true,
    takeRetry: () => true,
  });
  let body = '';
  let final: CallCommand['kind'] | undefined;

  function applyMessage(message: CallMessage): void {
    for (const command of stateMachine.handle(message, 0)) {
      if (command.kind === 'attempt') runAttempt(command.attempt, command.lastEventId);
      else if (command.kind === 'deliver_event') body += command.bytes.toString();
      else final = command.kind;
    }
  }

  function runAttempt(attempt: number, lastEventId: string | undefined): void {
    const messages: CallMessage[] = [{ kind: 'dispatched', attempt }];
    const reader = createAttemptReader(
      { callId: 'c', isStream: true, lastEventId },
      {
        onRateLimit: () => undefined,
        onBrittle: () => undefined,
        onNotice: () => undefined,
        onStreamStarted: (head) => messages.push({ kind: 'stream_started', attempt, head }),
        onEvent: (event) => messages.push({ kind: 'event', attempt, ...event }),
        onEnded: (end) => messages.push({ kind: 'ended', attempt, end }),
      },
      openAnswer(),
    );
    const rest = buildRest(lastEventId);
    const cut = cuts[attempt - 1];
    const sent = cut === undefined ? rest : rest.subarray(0, cut);
    reader.readHead(200, HEAD);
    for (let at = 0; at < sent.length; at += partSize)
      reader.readData(sent.subarray(at, at + partSize));
    if (cut === undefined) reader.readEnd();
    else reader.readError(true, 'cut');
    messages.forEach(applyMessage);
  }

  applyMessage({ kind: 'start' });
  return { body, final };
}

/** Comments may be lost with a cut; pieces may not. */
function listPieces(body: string): string {
  return body.replaceAll(': waits\n\n', '');
}

describe('the way of a stream from endpoints to its caller', ({ it }) => {
  // Guards against half events, and pieces that are missing or come twice, at some cut.
  it('brings each piece once, wherever one attempt is cut', (t) => {
    for (let cut = 0; cut <= WHOLE.length; cut += 1) {
      for (const partSize of [1, 2, 3, 7, WHOLE.length]) {
        const { body, final } = runStream([cut], partSize);
        t.is(listPieces(body), listPieces(WHOLE), `cut at ${cut}`);
        t.is(final, 'deliver_end');
      }
    }
  });

  it('brings each piece once, wherever several attempts are cut', (t) => {
    const cuts = fc.array(fc.nat(WHOLE.length), { maxLength: 5 });
    fc.assert(
      fc.property(cuts, fc.integer({ min: 1, max: 40 }), (attempts, partSize) => {
        const { body, final } = runStream(attempts, partSize);
        return listPieces(body) === listPieces(WHOLE) && final === 'deliver_end';
      }),
    );
    t.pass();
  });
});
