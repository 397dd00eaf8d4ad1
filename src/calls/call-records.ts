/** Records of calls and attempts, for logs and metrics. */
import type { FleetLoad } from '../placement/remote-loads.js';
import type { StreamRecord } from '../placement/stream-times.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { RoomReading } from '../placement/pool-room.js';
import type { AttemptEnd, CallCommand, RoutedCall } from './call-messages.js';
import type { CallWait } from './wait-reason.js';

/** One attempt, with the state on which its placement was decided. */
export interface AttemptRecord {
  readonly call: RoutedCall;
  readonly attempt: number;
  readonly endpoint: RegisteredEndpoint;
  /** Event after which a stream goes on; undefined where it begins. */
  readonly lastEventId: string | undefined;
  /** Known load of the endpoint when it was chosen. */
  readonly load: FleetLoad;
  /** What more urgent calls leave to the least urgent ones of the pool; undefined for calls without a prompt. */
  readonly room: RoomReading | undefined;
  /** Its last wait at this instance; undefined if it has not waited. */
  readonly wait: CallWait | undefined;
  /** Expected mean pause of streams there, in milliseconds; undefined for plain calls and while unknown. */
  readonly pauseMs: number | undefined;
  /** Time since it first waited at this instance, in milliseconds; 0 if it has not. */
  readonly heldMs: number;
  /** Number of endpoints to choose from. */
  readonly candidates: number;
  /** Time from receipt of the request to this attempt. */
  readonly waitedMs: number;
  readonly remainingMs: number;
}

/** A completed call. */
export interface CallEnd {
  readonly call: RoutedCall;
  /** Last command of the state machine; undefined if the caller disconnected. */
  readonly final: CallCommand | undefined;
  readonly attempts: number;
  /** Its last wait at this instance; undefined if it has not waited. */
  readonly wait: CallWait | undefined;
  /** Time from receipt of the request to the first event, or to the end of the call if there was none. */
  readonly firstMs: number;
  /** Of the last attempt; undefined if none was sent. */
  readonly stream: StreamRecord | undefined;
  readonly tookMs: number;
}

/** Receives the records. */
export interface CallObserver {
  onAttempt(record: AttemptRecord): void;
  onAttemptEnded(record: AttemptRecord, end: AttemptEnd, tookMs: number): void;
  onEnded(end: CallEnd): void;
}
