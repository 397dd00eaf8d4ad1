/** State of one running call at the call runner. */
import type { HeldAnswer } from '../memory/answer-memory.js';
import type { LoadTicket } from '../placement/endpoint-loads.js';
import type { AttemptWatch } from '../quarantine/quarantine.js';
import type { SlotTicket } from '../slot-shares/slot-shares.js';
import type { VersionKey } from '../stream-versions/stream-binding.js';
import type { CallSink, RoutedCall } from './call-messages.js';
import type { CallStateMachine } from './call-state-machine.js';
import type { ExchangeHolds } from './exchange-holds.js';

export interface Run {
  readonly call: RoutedCall;
  readonly sink: CallSink;
  readonly stateMachine: CallStateMachine;
  readonly triedEndpointIds: string[];
  closeExchange: (() => void) | undefined;
  /** Holds of the current attempt. */
  holds: ExchangeHolds | undefined;
  /** The caller has yet to read what it was sent. */
  isCallerBehind: boolean;
  /** Responses of its attempts that are in memory. */
  readonly answers: Set<HeldAnswer>;
  ticket: LoadTicket | undefined;
  watch: AttemptWatch | undefined;
  slot: SlotTicket | undefined;
  firstMs: number | undefined;
  /** Version that wrote the events that were delivered; undefined before the first. */
  version: VersionKey | undefined;
  /** When the current attempt was sent. */
  sentMs: number;
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
    closeExchange: undefined,
    holds: undefined,
    isCallerBehind: false,
    answers: new Set(),
    ticket: undefined,
    watch: undefined,
    slot: undefined,
    firstMs: undefined,
    version: undefined,
    sentMs: 0,
    isStarted: false,
    isHeadDelivered: false,
  };
}
