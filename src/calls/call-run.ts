/** State of one running call at the call runner. */
import type { HeldAnswer } from '../memory/answer-memory.js';
import type { LoadTicket } from '../placement/endpoint-loads.js';
import type { AttemptWatch } from '../quarantine/quarantine.js';
import type { SlotTicket } from '../slot-shares/slot-shares.js';
import type { VersionKey } from '../stream-versions/stream-binding.js';
import type { CallSink, RoutedCall } from './call-messages.js';
import type { CallStateMachine } from './call-state-machine.js';
import type { ExchangeHolds } from './exchange-holds.js';
import type { CallWait } from './wait-reason.js';

/** What one attempt holds at its endpoint. */
export interface RunAttempt {
  readonly attempt: number;
  /** Event after which it goes on; undefined if it begins. */
  readonly lastEventId: string | undefined;
  readonly endpointId: string;
  /** When it was started. */
  readonly sentMs: number;
  readonly ticket: LoadTicket;
  readonly slot: SlotTicket;
  readonly watch: AttemptWatch;
  readonly holds: ExchangeHolds;
  /** Closes its exchange; undefined once that has ended. */
  closeExchange: (() => void) | undefined;
}

export interface Run {
  readonly call: RoutedCall;
  readonly sink: CallSink;
  readonly stateMachine: CallStateMachine;
  readonly triedEndpointIds: string[];
  /** Its last wait at this instance; undefined before the first. */
  wait: CallWait | undefined;
  /** The attempt that was sent last. */
  current: RunAttempt | undefined;
  /** An attempt that replaces the current one once its request can be written. */
  successor: RunAttempt | undefined;
  /** The caller has yet to read what it was sent. */
  isCallerBehind: boolean;
  /** Responses of its attempts that are in memory. */
  readonly answers: Set<HeldAnswer>;
  firstMs: number | undefined;
  /** Version that wrote the events that were delivered; undefined before the first. */
  version: VersionKey | undefined;
  isStarted: boolean;
  /** The head of a stream was delivered, so that only its end can still be told. */
  isHeadDelivered: boolean;
}

export function createRun(call: RoutedCall, sink: CallSink, stateMachine: CallStateMachine): Run {
  return {
    call,
    sink,
    stateMachine,
    triedEndpointIds: [],
    wait: undefined,
    current: undefined,
    successor: undefined,
    isCallerBehind: false,
    answers: new Set(),
    firstMs: undefined,
    version: undefined,
    isStarted: false,
    isHeadDelivered: false,
  };
}
