/** Reads bodies of responses whose size nobody vouches for. */
import { createJoinedBytes } from '../memory/joined-bytes.js';

/** Far above every answer that is used; a body without end is given up here. */
export const TEXT_BYTES_MAX = 16 * 1024 * 1024;

/** Reads a body as UTF-8; rejects if it is larger than `bytesMax`, which closes its connection. */
export async function readText(
  body: AsyncIterable<Uint8Array>,
  bytesMax = TEXT_BYTES_MAX,
): Promise<string> {
  const joined = createJoinedBytes();
  for await (const chunk of body) {
    if (joined.getLength() + chunk.length > bytesMax)
      throw new Error(`the body exceeds ${bytesMax} bytes; check what answers at this address`);
    joined.add(chunk);
  }
  return joined.build().toString('utf8');
}
