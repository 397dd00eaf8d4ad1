/** Converts messages about the software versions that began streams to and from their wire form. */
import { create } from '@bufbuild/protobuf';
import {
  QueryStreamSchema,
  StreamAnswer,
  StreamGroupSchema,
  StreamReplySchema,
  TellStreamsSchema,
} from '../gen/peer_pb.js';
import type { QueryStream, StreamReply, TellStreams } from '../gen/peer_pb.js';
import { BINDING_ANSWER } from '../stream-versions/binding-messages.js';
import type {
  BindingAnswer,
  BindingQuery,
  BindingReply,
} from '../stream-versions/binding-messages.js';
import { STREAM_KEY_DIGITS } from '../stream-versions/stream-binding.js';
import type { BindingGroup, StreamKey } from '../stream-versions/stream-binding.js';
import { encodeUint32 } from './encode-uint32.js';

const KEY_BYTES = STREAM_KEY_DIGITS / 2;

const WIRE_ANSWER: Readonly<Record<BindingAnswer, StreamAnswer>> = {
  bound: StreamAnswer.BOUND,
  only: StreamAnswer.ONLY,
  unknown: StreamAnswer.UNKNOWN,
};

function encodeKeys(keys: readonly StreamKey[]): Uint8Array {
  return Buffer.from(keys.join(''), 'hex');
}

function decodeKeys(bytes: Uint8Array): StreamKey[] {
  const text = Buffer.from(bytes).toString('hex');
  const count = Math.floor(bytes.length / KEY_BYTES);
  return Array.from({ length: count }, (_, index) =>
    text.slice(index * STREAM_KEY_DIGITS, (index + 1) * STREAM_KEY_DIGITS),
  );
}

/** Answers of a newer release count as unknown. */
function decodeAnswer(answer: StreamAnswer): BindingAnswer {
  switch (answer) {
    case StreamAnswer.BOUND:
      return BINDING_ANSWER.Bound;
    case StreamAnswer.ONLY:
      return BINDING_ANSWER.Only;
    default:
      return BINDING_ANSWER.Unknown;
  }
}

export function encodeStreams(groups: readonly BindingGroup[]): TellStreams {
  return create(TellStreamsSchema, {
    groups: groups.map(({ pool, version, keys, lifeMs = 0 }) =>
      create(StreamGroupSchema, {
        pool,
        version,
        keys: encodeKeys(keys),
        lifeMs: encodeUint32(lifeMs),
      }),
    ),
  });
}

export function decodeStreams({ groups }: TellStreams): BindingGroup[] {
  return groups.map(({ pool, version, keys, lifeMs }) => ({
    pool,
    version,
    keys: decodeKeys(keys),
    lifeMs,
  }));
}

export function encodeStreamQuery({ key, pool, conclude, lifeMs = 0 }: BindingQuery): QueryStream {
  return create(QueryStreamSchema, {
    key: encodeKeys([key]),
    pool,
    conclude: conclude === true,
    lifeMs: encodeUint32(lifeMs),
  });
}

export function decodeStreamQuery({ key, pool, conclude, lifeMs }: QueryStream): BindingQuery {
  return { key: decodeKeys(key)[0] ?? '', pool, conclude, lifeMs };
}

export function encodeStreamReply(reply: BindingReply): StreamReply {
  const { key, answer, pool, version, ageMs, coveredMs, checked, registryRevision } = reply;
  const { lifeMs = 0 } = reply;
  return create(StreamReplySchema, {
    key: encodeKeys([key]),
    answer: WIRE_ANSWER[answer],
    pool,
    version,
    agoMs: encodeUint32(ageMs),
    coveredMs: encodeUint32(coveredMs),
    checked: checked === true,
    registryRevision: registryRevision ?? 0,
    lifeMs: encodeUint32(lifeMs),
  });
}

export function decodeStreamReply({
  key,
  answer,
  pool,
  version,
  agoMs,
  coveredMs,
  checked,
  registryRevision,
  lifeMs,
}: StreamReply): BindingReply {
  return {
    key: decodeKeys(key)[0] ?? '',
    answer: decodeAnswer(answer),
    pool,
    version,
    ageMs: agoMs,
    coveredMs,
    checked,
    registryRevision,
    lifeMs,
  };
}
