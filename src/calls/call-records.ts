/** What is told of calls, for logs and metrics. */
import type { EndpointLoad } from '../placement/told-loads.js';
import type { StreamRecord } from '../placement/stream-times.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { AttemptEnd, CallCommand, RoutedCall } from './call-messages.js';

/** One attempt for the record, with what decided it. */
export interface AttemptRecord {
  readonly call: RoutedCall;
  readonly attempt: number;
  readonly endpoint: RegisteredEndpoint;
  /** What was known to be under way at the endpoint. */
  readonly load: EndpointLoad;
  /** Endpoints there were to choose from. */
  readonly candidates: number;
  /** Time from the request to this attempt: reading it, earlier attempts, and being held back. */
  readonly waitedMs: number;
  readonly remainingMs: number;
}

/** The end of a call for the record. */
export interface CallEnd {
  readonly call: RoutedCall;
  /** The last command of its life; undefined where the caller left. */
  readonly final: CallCommand | undefined;
  readonly attempts: number;
  /** From the request to the first bytes of the answer, or to its end where there were none. */
  readonly firstMs: number;
  /** Of the last attempt; undefined where none was sent. */
  readonly stream: StreamRecord | undefined;
  readonly tookMs: number;
}

/** Decisions that are told, for logs and metrics. */
export interface CallObserver {
  onAttempt(record: AttemptRecord): void;
  onAttemptEnded(record: AttemptRecord, end: AttemptEnd, tookMs: number): void;
  onEnded(end: CallEnd): void;
}
