/**
 * Reads a socket under limits: in turns with the other connections of the process, and only as long as
 * an answer goes on.
 */
import type { Socket } from 'node:net';
import { ANSWER_FAULT, createAnswerGuard, describeAnswerFault } from './answer-guard.js';
import type { AnswerFault } from './answer-guard.js';
import { addEndGate } from './end-gate.js';
import type { EndGate } from './end-gate.js';
import { createReadTurns } from './read-turns.js';
import type { ReadTurns, TurnReader } from './read-turns.js';

const PARSER_CODE_PREFIX = 'HPE_';
/** The connection ended within the answer. */
const PARSER_END_CODE = 'HPE_INVALID_EOF_STATE';
/** Undici's message for an answer that no request waits for, or a head that no request asked for. */
const UNASKED_MESSAGE = 'bad response';
const HEAD_SIZE_CODE = 'UND_ERR_HEADERS_OVERFLOW';

/** All connections of a process share its one event loop. */
const PROCESS_TURNS = createReadTurns({
  getNow: () => performance.now(),
  onNextTurn: (run) => {
    setImmediate(run);
  },
});

/** The error of a connection that was closed because of what its server sent. */
export interface AnswerFaultError extends Error {
  readonly fault: AnswerFault;
}

function createAnswerFaultError(fault: AnswerFault): AnswerFaultError {
  return Object.assign(new Error(describeAnswerFault(fault)), { fault });
}

/** Whether a connection was closed by the limits of this module, while its server went on. */
export function isRefusal(error: unknown): error is AnswerFaultError {
  return error instanceof Error && 'fault' in error;
}

/** Returns the fault of the server for which a connection was closed; undefined for other errors. */
export function findAnswerFault(error: unknown): AnswerFault | undefined {
  if (isRefusal(error)) return error.fault;
  if (!(error instanceof Error)) return undefined;
  const { code = '' } = error as NodeJS.ErrnoException;
  if (error.message === UNASKED_MESSAGE) return ANSWER_FAULT.Unasked;
  if (code === HEAD_SIZE_CODE) return ANSWER_FAULT.HeadTooLarge;
  const isParserError = code.startsWith(PARSER_CODE_PREFIX) && code !== PARSER_END_CODE;
  return isParserError ? ANSWER_FAULT.Malformed : undefined;
}

/** The limits of one connection, which carries one answer at a time. */
export interface GuardedLink {
  /** Applies the limits to a socket before its first bytes are read; replaces an earlier one. */
  addSocket(socket: Socket): void;
  /** A request is written, and its answer is awaited. */
  startAnswer(): void;
  /** Closes the connection after too many heads of status 1xx, or one with a status that is none; false then. */
  recordHead(status: number): boolean;
  recordBody(bytes: number): void;
  /** The answer ends with its connection; `requestBytes`: size of the body of the request. */
  recordUnframed(requestBytes: number): void;
  endAnswer(): void;
  /** The answer is held: the end of the connection waits as its bytes do. */
  hold(): void;
  /** Call it once undici's parser is resumed. */
  release(): void;
}

/** The error of a connection that its server reset within an answer that is held. */
const HELD_RESET_CODE = 'ECONNABORTED';

/**
 * Undici ends the process if an answer without keep-alive ends, or its connection is reset, while its
 * parser is paused. The end is therefore not read, and the reset told as an error of another kind.
 */
function addHoldLimits(socket: Socket, isHeld: () => boolean): void {
  const readSocket = socket.read.bind(socket);
  socket.read = (size?: number): unknown =>
    size === 0 && isHeld() && socket.readableLength === 0 ? null : readSocket(size);
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (isHeld() && error.code === 'ECONNRESET') error.code = HELD_RESET_CODE;
  });
}

/**
 * Undici reads a socket by `read()` on each `readable` event until it returns null, so that one that has
 * used up its turn looks drained, and is read on at an event of its own.
 */
function addReadLimits(
  socket: Socket,
  reader: TurnReader,
  checkBytes: () => AnswerFault | undefined,
): void {
  const readSocket = socket.read.bind(socket);
  socket.read = (size?: number): unknown => {
    if (size !== undefined) return readSocket(size);
    if (socket.destroyed) return null;
    if (socket.readableLength === 0) {
      reader.recordDrained();
      return readSocket();
    }
    const fault = checkBytes();
    if (fault !== undefined) {
      socket.destroy(createAnswerFaultError(fault));
      return null;
    }
    const pieceBytes = reader.takePiece();
    return pieceBytes === 0 ? null : readSocket(Math.min(pieceBytes, socket.readableLength));
  };
}

/** @default turns those of the process */
export function createGuardedLink(turns: ReadTurns = PROCESS_TURNS): GuardedLink {
  const guard = createAnswerGuard();
  let current: Socket | undefined;
  let endGate: EndGate | undefined;
  let isHeld = false;

  /** What a parser that was paused gave back does not count as handled. */
  function countHandledBytes(): number {
    return current === undefined ? 0 : current.bytesRead - current.readableLength;
  }

  return {
    addSocket(socket) {
      current = socket;
      const reader = turns.addReader(() => {
        if (!socket.destroyed) socket.emit('readable');
      });
      socket.once('close', () => reader.close());
      endGate = addEndGate(socket);
      addHoldLimits(socket, () => isHeld);
      addReadLimits(socket, reader, () => guard.checkBytes(countHandledBytes()));
    },
    startAnswer() {
      isHeld = false;
      endGate?.stop();
      guard.startAnswer(countHandledBytes());
    },
    recordHead(status) {
      const fault = guard.recordHead(status);
      if (fault === undefined) return true;
      current?.destroy(createAnswerFaultError(fault));
      return false;
    },
    recordBody: (bytes) => guard.recordBody(bytes),
    recordUnframed: (requestBytes) => endGate?.start(requestBytes),
    endAnswer() {
      isHeld = false;
      endGate?.stop();
      guard.endAnswer();
    },
    hold() {
      isHeld = true;
    },
    release() {
      isHeld = false;
      if (current?.destroyed === false) current.emit('readable');
    },
  };
}
