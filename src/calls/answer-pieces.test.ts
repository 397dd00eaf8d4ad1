/** Fuzzes the answers of endpoints over loopback: pieces, cuts and changed bytes. */
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { NO_NOTICE } from '../endpoint-availability/availability-notice.js';
import { NOT_BRITTLE } from '../slot-shares/brittle-reading.js';
import {
  ANSWERS,
  CALL_HEADER,
  CALL_ID,
  NOT_RUN_HEADER,
  SIGNATURE_HEADER,
} from '../test/answer-arbitraries.js';
import type { Answer } from '../test/answer-arbitraries.js';
import { describe } from '../test/describe.js';
import { openAnswer } from '../test/open-answer.js';
import { resolveFuzzOptions } from '../test/fuzz-options.js';
import { MUTATIONS, applyMutations } from '../test/mutate-bytes.js';
import { listPieces, sendPieces } from '../test/send-pieces.js';
import { createAttemptReader } from './attempt-reader.js';
import type { AttemptListener, DecodedHead } from './attempt-reader.js';
import type { AttemptEnd, HeaderField } from './call-messages.js';
import { createEndpointConnections } from './endpoint-connections.js';
import { closeWithReset } from '../runtime/close-with-reset.js';

const ALL_CUTS_RUNS = 4;
const PIECES_RUNS = 150;
const CUT_RUNS = 250;
const MUTATION_RUNS = 250;
const POSITION_MAX = 2000;
/** Time in which a second end would show. */
const SECOND_END_MS = 5;
const TIMEOUT_MS = 110_000;

interface Outcome {
  readonly ends: readonly AttemptEnd[];
  /** Bytes of all events, as latin1. */
  readonly events: string;
}

type Play = (socket: Socket) => void;

function decodeHead(status: number, headers: readonly HeaderField[]): DecodedHead {
  const find = (wanted: string): string | undefined =>
    headers.find(({ name }) => name.toLowerCase() === wanted.toLowerCase())?.value;
  return {
    callId: find(CALL_HEADER),
    isNotRun: find(NOT_RUN_HEADER) !== undefined,
    isWrongEndpoint: status === 421,
    isSigned: find(SIGNATURE_HEADER) !== undefined,
    isEventStream: find('content-type')?.startsWith('text/event-stream') === true,
    rateLimit: { kind: 'none' },
    notice: NO_NOTICE,
    brittle: NOT_BRITTLE,
    headers,
  };
}

/** An endpoint that plays what it is told, and exchanges with it. */
async function startExchanges(t: ExecutionContext) {
  let play: Play = () => undefined;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => play(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const connections = createEndpointConnections();
  t.teardown(async () => {
    await connections.close();
    server.close();
  });
  const request = { method: 'POST', target: '/x', headers: [], body: Buffer.from('order') };

  async function runExchange(isStream: boolean, nextPlay: Play): Promise<Outcome> {
    play = nextPlay;
    const ends: AttemptEnd[] = [];
    let events = '';
    await new Promise<void>((resolve) => {
      const expected = { callId: CALL_ID, isStream, lastEventId: undefined };
      const listener: AttemptListener = {
        onRateLimit: () => undefined,
        onBrittle: () => undefined,
        onNotice: () => undefined,
        onStreamStarted: () => undefined,
        onEvent({ bytes }) {
          events += bytes.toString('latin1');
        },
        onEnded(end) {
          ends.push(end);
          resolve();
        },
      };
      const reader = createAttemptReader(expected, listener, openAnswer());
      connections.open(address, 8, request, {
        isSendAllowed: () => true,
        onWithheld: () => reader.readWithheld(),
        onHead: (status, headers) => reader.readHead(status, decodeHead(status, headers)),
        onData: (bytes) => reader.readData(bytes),
        onEnd: () => reader.readEnd(),
        onError: (isSent, reason) => reader.readError(isSent, reason),
      });
    });
    return { ends, events };
  }

  return { runExchange };
}

/** What a reader has got of an answer: how it ended, and its body. */
function describeOutcome({ ends, events }: Outcome): string {
  const all = ends.map((end) => {
    if (end.kind !== 'answered') return end.kind;
    return `${end.kind} ${end.head.status} ${end.body.toString('latin1')}`;
  });
  return JSON.stringify({ all, events });
}

function describeExpected({ kind, status, body }: Answer): string {
  if (kind === 'plain') return JSON.stringify({ all: [`answered ${status} ${body}`], events: '' });
  if (kind === 'rejection') return JSON.stringify({ all: ['rejected'], events: '' });
  return JSON.stringify({ all: ['stream_ended'], events: body });
}

function buildWholePlay(answer: Answer, cuts: readonly number[]): Play {
  const pieces = listPieces(
    answer.text,
    cuts.map((cut) => cut % answer.text.length),
  );
  return (socket) => {
    sendPieces(socket, pieces)
      .then(() => answer.closesConnection && socket.end())
      .catch(() => undefined);
  };
}

function buildEndingPlay(text: string, isReset: boolean): Play {
  return (socket) => {
    if (isReset) socket.write(text, 'latin1', () => closeWithReset(socket));
    else socket.end(text, 'latin1');
  };
}

const CUTS = fc.array(fc.nat(POSITION_MAX), { maxLength: 20 });

describe('an answer over a connection', ({ it }) => {
  // Guards against another result where bytes of an answer arrive in other pieces.
  it('is the same in pieces of any size', async (t) => {
    t.timeout(TIMEOUT_MS);
    const { runExchange } = await startExchanges(t);
    await fc.assert(
      fc.asyncProperty(ANSWERS, CUTS, async (answer, cuts) => {
        const play = buildWholePlay(answer, cuts);
        const outcome = await runExchange(answer.kind === 'stream', play);
        return describeOutcome(outcome) === describeExpected(answer);
      }),
      resolveFuzzOptions(PIECES_RUNS),
    );
    t.pass();
  });

  // Guards against another result where an answer is cut at one byte of its framing.
  it('is the same in two pieces, cut at any byte, and byte by byte', async (t) => {
    t.timeout(TIMEOUT_MS);
    const { runExchange } = await startExchanges(t);
    await fc.assert(
      fc.asyncProperty(ANSWERS, async (answer) => {
        const positions = Array.from(answer.text, (_, index) => index);
        const expected = describeExpected(answer);
        for (const cuts of [...positions.map((position) => [position]), positions]) {
          const play = buildWholePlay(answer, cuts);
          // One exchange after the other.
          // eslint-disable-next-line no-await-in-loop
          const outcome = await runExchange(answer.kind === 'stream', play);
          if (describeOutcome(outcome) !== expected) throw new Error(`cut at ${cuts.join()}`);
        }
      }),
      resolveFuzzOptions(ALL_CUTS_RUNS),
    );
    t.pass();
  });

  // Guards against a whole answer from one that was cut, and against events that its endpoint never sent.
  it('is never whole if it is cut', async (t) => {
    t.timeout(TIMEOUT_MS);
    const { runExchange } = await startExchanges(t);
    const answers = ANSWERS.filter(({ endsWithConnection }) => !endsWithConnection);
    await fc.assert(
      fc.asyncProperty(answers, fc.nat(POSITION_MAX), fc.boolean(), async (answer, at, isReset) => {
        const end = at % answer.provenAt;
        const play = buildEndingPlay(answer.text.slice(0, end), isReset);
        const outcome = await runExchange(answer.kind === 'stream', play);
        const kinds = outcome.ends.map(({ kind }) => kind).join();
        const isAsExpected =
          kinds === 'broken' || (kinds === 'rejected' && answer.kind === 'rejection');
        if (!isAsExpected) throw new Error(describeOutcome(outcome));
        if (!answer.body.startsWith(outcome.events)) throw new Error(describeOutcome(outcome));
      }),
      resolveFuzzOptions(CUT_RUNS),
    );
    t.pass();
  });

  // Guards against uncaught errors, and calls that end twice or never, by bytes that make no sense.
  it('ends once with bytes changed in any way', async (t) => {
    t.timeout(TIMEOUT_MS);
    const { runExchange } = await startExchanges(t);
    await fc.assert(
      fc.asyncProperty(ANSWERS, MUTATIONS, fc.boolean(), async (answer, mutations, isReset) => {
        const play = buildEndingPlay(applyMutations(answer.text, mutations), isReset);
        const outcome = await runExchange(answer.kind === 'stream', play);
        await new Promise((resolve) => {
          setTimeout(resolve, SECOND_END_MS);
        });
        return outcome.ends.length === 1;
      }),
      resolveFuzzOptions(MUTATION_RUNS),
    );
    t.pass();
  });

  // Guards against a broken call where an endpoint says 100 Continue though nobody asked.
  it('is whole behind a 100 Continue', async (t) => {
    const { runExchange } = await startExchanges(t);
    const [answer] = fc.sample(
      ANSWERS.filter(({ kind }) => kind === 'plain'),
      { numRuns: 1, seed: 1 },
    );
    if (answer === undefined) throw new Error('no answer was built');
    const text = `HTTP/1.1 100 Continue\r\n\r\n${answer.text}`;
    const outcome = await runExchange(false, buildWholePlay({ ...answer, text }, []));
    t.is(describeOutcome(outcome), describeExpected(answer));
  });
});
