import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { UNCHARGED_BYTES_MAX, createAnswerMemory } from './answer-memory.js';
import type { AnswerMemory, HeldAnswer } from './answer-memory.js';
import { createMemoryBudget } from './memory-budget.js';
import type { MemoryTicket } from './memory-budget.js';

const MEGABYTE = 1024 * 1024;
const PIECE_BYTES = 64 * 1024;
const TOTAL_BYTES = 8 * MEGABYTE;
const LARGE_BYTES_MAX = 3 * MEGABYTE;
const ANSWER_BYTES_MAX = 2 * MEGABYTE;
/** Part of the budget for small bodies. */
const RESERVE_BYTES = 0.15 * TOTAL_BYTES;
/** Block that a response may take ahead of its bytes. */
const BLOCK_BYTES = 64 * 1024;

/** An endpoint that writes an answer unless it is held back. */
interface Writer {
  readonly owner: string;
  readonly bytes: number;
  readonly pieceBytes: number;
  written: number;
  isHeld: boolean;
  isBroken: boolean;
  answer: HeldAnswer;
}

function createHarness(largeBytesMax = LARGE_BYTES_MAX) {
  let nowMs = 0;
  const budget = createMemoryBudget(TOTAL_BYTES);
  const memory = createAnswerMemory({
    budget,
    largeBytesMax,
    getNow: () => nowMs,
  });
  return {
    budget,
    memory,
    wait(ms: number) {
      nowMs += ms;
    },
    open(owner: string, bytes: number, pieceBytes = PIECE_BYTES): Writer {
      const writer = { owner, bytes, pieceBytes, written: 0, isHeld: false, isBroken: false };
      const answer = memory.open(owner, {
        hold: () => Object.assign(writer, { isHeld: true }),
        resume: () => Object.assign(writer, { isHeld: false }),
      });
      return Object.assign(writer, { answer });
    },
    countHeld: () => budget.getUsed() + memory.getBeyond(),
  };
}

/** Writes one piece; returns whether the answer goes on. */
function writePiece(writer: Writer): boolean {
  if (writer.isHeld || writer.isBroken || writer.written >= writer.bytes) return false;
  const size = Math.min(writer.pieceBytes, writer.bytes - writer.written);
  const isKept = writer.answer.add(Buffer.alloc(size, writer.written % 251));
  Object.assign(writer, { written: writer.written + size, isBroken: !isKept });
  if (!isKept) writer.answer.release();
  return true;
}

function isWhole({ bytes, written, isBroken, isHeld }: Writer): boolean {
  return written === bytes && !isBroken && !isHeld;
}

/** Writes all answers side by side and delivers each that is whole; returns those delivered, in order. */
function runAll(writers: readonly Writer[]): Writer[] {
  const delivered: Writer[] = [];
  let hasMoved = true;
  while (hasMoved) {
    hasMoved = false;
    for (const writer of writers) {
      if (!delivered.includes(writer) && isWhole(writer)) {
        if (writer.answer.build().length !== writer.bytes) throw new Error('bytes were lost');
        writer.answer.release();
        delivered.push(writer);
        hasMoved = true;
      } else if (writePiece(writer)) hasMoved = true;
    }
  }
  return delivered;
}

function isFree(memory: AnswerMemory): boolean {
  return memory.getBeyond() === 0 && memory.countWaiting() === 0;
}

describe('memory for responses', ({ it }) => {
  // Guards against large answers of many calls that take the memory of the machine together.
  it('holds those back that find no room, and lets each go on', (t) => {
    const { budget, memory, open, countHeld } = createHarness();
    const writers = Array.from({ length: 40 }, () => open('a', ANSWER_BYTES_MAX));
    let most = 0;
    for (let turn = 0; turn < 100; turn += 1) {
      for (const writer of writers) writePiece(writer);
      most = Math.max(most, countHeld());
    }
    t.true(memory.countWaiting() > 30, `${memory.countWaiting()} wait`);
    const small = writers.length * PIECE_BYTES;
    const bound = LARGE_BYTES_MAX + ANSWER_BYTES_MAX + RESERVE_BYTES + small;
    t.true(most <= bound, `${most} bytes at most`);
    t.is(runAll(writers).length, writers.length);
    t.true(isFree(memory));
    t.is(budget.getUsed(), 0);
  });

  // Guards against sound small answers that wait behind large ones.
  it('keeps room for small answers of others', (t) => {
    const { open } = createHarness();
    const large = Array.from({ length: 40 }, () => open('a', ANSWER_BYTES_MAX));
    for (let turn = 0; turn < 100; turn += 1) for (const writer of large) writePiece(writer);
    const small = open('b', 10_000);
    writePiece(small);
    t.true(isWhole(small));
  });

  // Guards against an organisation whose answers are held back and leave those of others to be broken off.
  it('holds back answers of others beside very many of one organisation', (t) => {
    const { open } = createHarness();
    const many = Array.from({ length: 400 }, () => open('a', ANSWER_BYTES_MAX));
    for (let turn = 0; turn < 100; turn += 1) for (const writer of many) writePiece(writer);
    t.true(many.some(({ isBroken }) => isBroken));
    const other = open('b', ANSWER_BYTES_MAX);
    for (let turn = 0; turn < 100; turn += 1) writePiece(other);
    t.false(other.isBroken);
    const sound = many.filter(({ isBroken }) => !isBroken);
    t.true(runAll([...sound, other]).includes(other));
  });

  // Guards against an organisation that keeps the others from the set-aside part.
  it('lets organisations take turns', (t) => {
    const { open } = createHarness();
    const first = Array.from({ length: 40 }, () => open('a', ANSWER_BYTES_MAX));
    for (let turn = 0; turn < 40; turn += 1) for (const writer of first) writePiece(writer);
    const other = open('b', ANSWER_BYTES_MAX);
    const delivered = runAll([...first, other]);
    t.true(delivered.indexOf(other) < 6, `${delivered.indexOf(other)} answers came before`);
  });

  // Guards against responses that wait for bodies whose calls wait for these responses.
  it('lets an answer go on although bodies have taken all', (t) => {
    const { budget, open } = createHarness();
    for (const owner of ['a', 'b', 'c']) while (budget.take(owner, MEGABYTE) !== undefined);
    for (const owner of ['a', 'b', 'c']) while (budget.take(owner, 1000) !== undefined);
    const writers = Array.from({ length: 5 }, () => open('a', ANSWER_BYTES_MAX));
    t.is(runAll(writers).length, writers.length);
  });

  it('goes on when a body gives its memory back', (t) => {
    const { budget, open } = createHarness();
    const tickets: MemoryTicket[] = [];
    for (const owner of ['a', 'b', 'c']) {
      for (;;) {
        const ticket = budget.take(owner, MEGABYTE);
        if (ticket === undefined) break;
        tickets.push(ticket);
      }
    }
    const [first, second] = [open('a', ANSWER_BYTES_MAX), open('a', ANSWER_BYTES_MAX)];
    for (let turn = 0; turn < 20; turn += 1) [first, second].forEach(writePiece);
    t.deepEqual([first.isHeld, second.isHeld], [false, true]);
    for (const ticket of tickets) ticket.release();
    t.false(second.isHeld);
  });

  // Guards against a caller that never reads its answer and keeps all others waiting.
  it('closes what is left unread while others wait', (t) => {
    const { memory, open, wait } = createHarness();
    const writers = Array.from({ length: 10 }, () => open('a', ANSWER_BYTES_MAX));
    for (let turn = 0; turn < 100; turn += 1) for (const writer of writers) writePiece(writer);
    const unread = writers.filter(isWhole);
    for (const { answer } of unread) {
      answer.build();
      answer.startDelivery(() => answer.release());
    }
    const waitingBefore = memory.countWaiting();
    wait(10_000);
    memory.advance();
    t.is(memory.countWaiting(), waitingBefore);
    wait(10_000);
    memory.advance();
    t.true(memory.countWaiting() < waitingBefore);
  });

  it('keeps nothing of an answer that nobody waits for', (t) => {
    const { memory, open, countHeld } = createHarness();
    const writers = Array.from({ length: 10 }, () => open('a', ANSWER_BYTES_MAX));
    for (let turn = 0; turn < 100; turn += 1) for (const writer of writers) writePiece(writer);
    for (const { answer } of writers) answer.release();
    t.true(writers.every(({ isHeld }) => !isHeld));
    for (const writer of writers) while (writePiece(writer));
    t.is(countHeld(), 0);
    t.true(isFree(memory));
  });

  // Guards against held memory beyond its bound, answers refused beside room, and calls that wait for ever.
  it('stays under its bound, refuses nothing that has room, and is free at the end', (t) => {
    const bound = TOTAL_BYTES + UNCHARGED_BYTES_MAX + ANSWER_BYTES_MAX + BLOCK_BYTES;
    const step = fc.record({
      action: fc.constantFrom('open', 'open', 'write', 'write all', 'leave', 'body', 'end body'),
      owner: fc.constantFrom('a', 'b', 'c'),
      bytes: fc.oneof(
        fc.integer({ min: 0, max: 2000 }),
        fc.integer({ min: 0, max: ANSWER_BYTES_MAX }),
      ),
      pieceBytes: fc.oneof(
        fc.integer({ min: 500, max: 2000 }),
        fc.integer({ min: 2000, max: PIECE_BYTES }),
      ),
      which: fc.nat(),
      pieces: fc.integer({ min: 1, max: 60 }),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 10, maxLength: 60 }), (steps) => {
        const { budget, memory, open, countHeld } = createHarness(MEGABYTE / 2);
        let writers: Writer[] = [];
        const bodies: MemoryTicket[] = [];
        for (const { action, owner, bytes, pieceBytes, which, pieces } of steps) {
          const writer = writers[which % Math.max(1, writers.length)];
          if (action === 'open') writers.push(open(owner, bytes, pieceBytes));
          else if (action === 'write' && writer !== undefined)
            for (let index = 0; index < pieces; index += 1) writePiece(writer);
          else if (action === 'write all')
            for (let index = 0; index < pieces; index += 1) writers.forEach(writePiece);
          else if (action === 'leave' && writer !== undefined) {
            writer.answer.release();
            writers = writers.filter((other) => other !== writer);
          } else if (action === 'body') {
            const ticket = budget.take(owner, bytes);
            if (ticket !== undefined) bodies.push(ticket);
          } else if (action === 'end body') bodies.pop()?.release();
          if (countHeld() > bound) return false;
        }
        // With the bodies still held, each answer arrives.
        if (runAll(writers).length !== writers.length) return false;
        if (!isFree(memory)) return false;
        for (const ticket of bodies) ticket.release();
        return budget.getUsed() === 0;
      }),
      { numRuns: 100 },
    );
    t.pass();
  });
});
