import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { QueryStreamSchema, StreamReplySchema, TellStreamsSchema } from '../gen/peer_pb.js';
import { describe } from '../test/describe.js';
import {
  decodeStreamQuery,
  decodeStreamReply,
  decodeStreams,
  encodeStreamQuery,
  encodeStreamReply,
  encodeStreams,
} from './encode-streams.js';

const KEY = '00112233aabbccdd';
const LIFE_MS = 40_000;

describe('messages about streams', ({ it }) => {
  // Guards against a life of streams that is lost on the way.
  it('carry how long callers try', (t) => {
    const group = { pool: 1, version: 2, keys: [KEY], lifeMs: LIFE_MS };
    const told = toBinary(TellStreamsSchema, encodeStreams([group]));
    t.deepEqual(decodeStreams(fromBinary(TellStreamsSchema, told)), [group]);
    const query = { key: KEY, pool: 1, conclude: true, lifeMs: LIFE_MS };
    const asked = toBinary(QueryStreamSchema, encodeStreamQuery(query));
    t.deepEqual(decodeStreamQuery(fromBinary(QueryStreamSchema, asked)), query);
    const sight = { ageMs: 3, coveredMs: 4, checked: true, registryRevision: 5, lifeMs: LIFE_MS };
    const reply = { key: KEY, answer: 'only', pool: 1, version: 2, ...sight } as const;
    const replied = toBinary(StreamReplySchema, encodeStreamReply(reply));
    t.deepEqual(decodeStreamReply(fromBinary(StreamReplySchema, replied)), reply);
  });

  // Guards against messages of earlier releases, which name no life.
  it('carry none if none is named', (t) => {
    const query = encodeStreamQuery({ key: KEY, pool: 1 });
    t.is(decodeStreamQuery(query).lifeMs, 0);
  });
});
