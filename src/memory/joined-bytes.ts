/**
 * Joins the pieces of a body as they come. Performs no I/O.
 *
 * Guards against pieces that cost far more than their bytes: each would be an object, and would keep
 * the whole buffer alive that its connection was read into.
 */

/** Smallest block, so that single bytes do not take one each. */
const BLOCK_BYTES_MIN = 1024;
/** Largest block that is taken ahead of its bytes. */
const BLOCK_BYTES_MAX = 64 * 1024;
/** Largest blocks that are kept for use again, since the garbage collector frees them late. */
const SPARE_BLOCKS_MAX = 256;

export interface JoinedBytes {
  /** Copies a piece, so that it is not kept. */
  add(piece: Uint8Array): void;
  getLength(): number;
  /** Bytes of memory held. */
  getHeld(): number;
  /** Bytes of memory that `add` would take for a piece. */
  computeGrowth(pieceBytes: number): number;
  /** Returns the whole, and holds nothing any more. */
  build(): Buffer;
  /** Lets go of all that was added. */
  release(): void;
}

interface Block {
  readonly bytes: Buffer;
  used: number;
}

const spareBlocks: Buffer[] = [];

function takeBlock(size: number): Buffer {
  const spare = size === BLOCK_BYTES_MAX ? spareBlocks.pop() : undefined;
  return spare ?? Buffer.allocUnsafeSlow(size);
}

function releaseBlock(bytes: Buffer): void {
  if (bytes.length === BLOCK_BYTES_MAX && spareBlocks.length < SPARE_BLOCKS_MAX)
    spareBlocks.push(bytes);
}

export function createJoinedBytes(): JoinedBytes {
  let blocks: Block[] = [];
  let length = 0;
  let held = 0;

  function countFree(): number {
    const last = blocks.at(-1);
    return last === undefined ? 0 : last.bytes.length - last.used;
  }

  /** Blocks grow with what is held, so that their number stays small and less than half is unused. */
  function computeGrowth(pieceBytes: number): number {
    const missing = pieceBytes - countFree();
    if (missing <= 0) return 0;
    return Math.max(missing, BLOCK_BYTES_MIN, Math.min(held, BLOCK_BYTES_MAX));
  }

  function addBlock(size: number): void {
    blocks.push({ bytes: takeBlock(size), used: 0 });
    held += size;
  }

  /** Copies a piece that fits into the last block. */
  function addToLast(piece: Uint8Array): void {
    const last = blocks.at(-1);
    if (last === undefined) return;
    last.bytes.set(piece, last.used);
    last.used += piece.length;
  }

  function release(): void {
    for (const { bytes } of blocks) releaseBlock(bytes);
    blocks = [];
    length = 0;
    held = 0;
  }

  function buildFromBlocks(): Buffer {
    const whole = Buffer.allocUnsafeSlow(length);
    let offset = 0;
    for (const { bytes, used } of blocks) offset += bytes.copy(whole, offset, 0, used);
    release();
    return whole;
  }

  return {
    add(piece) {
      length += piece.length;
      const growth = computeGrowth(piece.length);
      if (growth === 0) {
        addToLast(piece);
        return;
      }
      const fitting = countFree();
      addToLast(piece.subarray(0, fitting));
      addBlock(growth);
      addToLast(piece.subarray(fitting));
    },
    getLength: () => length,
    getHeld: () => held,
    computeGrowth,
    build() {
      const [first] = blocks;
      if (first === undefined) return Buffer.alloc(0);
      if (blocks.length > 1) return buildFromBlocks();
      const whole = first.bytes.subarray(0, length);
      blocks = [];
      release();
      return whole;
    },
    release,
  };
}
