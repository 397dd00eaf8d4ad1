/** Answers of endpoints of each framing, with what their readers must get. */
import fc from 'fast-check';

/** Names of the headers that the tests' endpoints add. */
export const CALL_HEADER = 'X-Call';
export const SIGNATURE_HEADER = 'X-Signature';
export const NOT_RUN_HEADER = 'X-Not-Run';
export const CALL_ID = 'mine';

export type AnswerKind = 'plain' | 'stream' | 'rejection';

export interface Answer {
  readonly kind: AnswerKind;
  readonly status: number;
  /** The whole answer, as latin1. */
  readonly text: string;
  readonly body: string;
  /** From here on a reader can know that the body is whole. */
  readonly provenAt: number;
  /** Neither a length nor chunks say where it ends. */
  readonly endsWithConnection: boolean;
  readonly closesConnection: boolean;
}

type Framing = 'length' | 'chunks' | 'close';

interface Parts {
  readonly kind: AnswerKind;
  readonly status: number;
  readonly body: string;
  readonly framing: Framing;
  readonly informational: readonly number[];
  /** Where the body is cut into chunks. */
  readonly chunkCuts: readonly number[];
  readonly extension: string;
  readonly trailers: string;
  readonly isClosing: boolean;
}

const REASON = { 102: 'Processing', 103: 'Early Hints' } as const;
const BODY_MAX = 120;
const EVENTS_MAX = 6;

function formatInformational(status: number): string {
  const reason = REASON[status as keyof typeof REASON];
  return `HTTP/1.1 ${status} ${reason}\r\n${status === 103 ? 'Link: </a>\r\n' : ''}\r\n`;
}

function formatChunk(chunk: string, extension: string): string {
  return `${chunk.length.toString(16)}${extension}\r\n${chunk}\r\n`;
}

function formatChunks({ body, chunkCuts, extension }: Parts): string {
  const cuts = [...new Set(chunkCuts.map((cut) => cut % (body.length + 1)))].sort((a, b) => a - b);
  const ends = [...cuts, body.length];
  return ends
    .map((end, index) => body.slice(ends[index - 1] ?? 0, end))
    .filter((chunk) => chunk !== '')
    .map((chunk) => formatChunk(chunk, extension))
    .join('');
}

function listFraming({ framing, body }: Parts): readonly string[] {
  if (framing === 'length') return [`Content-Length: ${body.length}`];
  return framing === 'chunks' ? ['Transfer-Encoding: chunked'] : [];
}

function formatHead(parts: Parts): string {
  const { kind, status, framing, isClosing } = parts;
  const fields = [
    `HTTP/1.1 ${status} Some`,
    `${CALL_HEADER}: ${CALL_ID}`,
    `${SIGNATURE_HEADER}: s`,
    `Content-Type: ${kind === 'stream' ? 'text/event-stream' : 'text/plain'}`,
    ...(kind === 'rejection' ? [`${NOT_RUN_HEADER}: 1`] : []),
    ...(isClosing || framing === 'close' ? ['Connection: close'] : []),
    ...listFraming(parts),
  ];
  return `${fields.join('\r\n')}\r\n\r\n`;
}

function buildAnswer(parts: Parts): Answer {
  const { kind, status, body, framing, informational, extension, trailers, isClosing } = parts;
  const head = informational.map(formatInformational).join('') + formatHead(parts);
  const isChunked = framing === 'chunks';
  const framed = isChunked ? `${formatChunks(parts)}0${extension}\r\n` : body;
  const proven = head + framed;
  const endsWithConnection = framing === 'close';
  return {
    kind,
    status,
    text: isChunked ? `${proven}${trailers}\r\n` : proven,
    body,
    provenAt: proven.length,
    endsWithConnection,
    closesConnection: endsWithConnection || isClosing,
  };
}

const BODIES = fc
  .array(fc.integer({ min: 0, max: 255 }), { minLength: 1, maxLength: BODY_MAX })
  .map((bytes) => String.fromCharCode(...bytes));

const STREAM_BODIES = fc
  .array(fc.constantFrom('event', 'no id', 'comment', 'blank', 'crlf'), {
    minLength: 1,
    maxLength: EVENTS_MAX,
  })
  .map((events) =>
    events
      .map((event, index) => {
        switch (event) {
          case 'event':
            return `id: ${index + 1}\ndata: piece ${index + 1}\n\n`;
          case 'no id':
            return `data: piece\ndata: of two lines\n\n`;
          case 'crlf':
            return `id: ${index + 1}\r\ndata: piece\r\n\r\n`;
          case 'comment':
            return ': hi\n\n';
          default:
            return '\n';
        }
      })
      .join(''),
  );

const SHARED = {
  framing: fc.constantFrom<Framing>('length', 'chunks', 'close'),
  informational: fc.array(fc.constantFrom(102, 103), { maxLength: 3 }),
  chunkCuts: fc.array(fc.nat(BODY_MAX), { maxLength: 8 }),
  extension: fc.constantFrom('', ';a', ';a=b'),
  trailers: fc.constantFrom('', 'X-More: 1\r\n', 'X-More: 1\r\nX-Most: 2\r\n'),
  isClosing: fc.boolean(),
};

/** Any sound answer. */
export const ANSWERS = fc
  .oneof(
    fc.record({
      kind: fc.constant('plain' as const),
      status: fc.constantFrom(200, 201, 404, 500),
      body: BODIES,
      ...SHARED,
    }),
    fc.record({
      kind: fc.constant('stream' as const),
      status: fc.constant(200),
      body: STREAM_BODIES,
      ...SHARED,
    }),
    fc.record({
      kind: fc.constant('rejection' as const),
      status: fc.constant(503),
      body: BODIES,
      ...SHARED,
    }),
  )
  .map(buildAnswer);
