/** Maps ticket refusals to the failures and messages that callers receive. */
import { REFUSAL } from '../admission/ticket.js';
import type { Refusal } from '../admission/ticket.js';
import { FAILURE } from '../types/outcomes.js';
import type { Failure } from '../types/outcomes.js';

export const FAILURE_OF_REFUSAL: Readonly<Record<Refusal, Failure>> = {
  [REFUSAL.QueueFull]: FAILURE.Overloaded,
  [REFUSAL.Shed]: FAILURE.Overloaded,
  [REFUSAL.DeadlineUnreachable]: FAILURE.DeadlineUnreachable,
  [REFUSAL.TooLate]: FAILURE.DeadlineUnreachable,
  [REFUSAL.Expired]: FAILURE.DeadlinePassed,
  [REFUSAL.UnknownClass]: FAILURE.NotReady,
  [REFUSAL.NoEndpoint]: FAILURE.NoEndpoint,
};

export const MESSAGE_OF_REFUSAL: Readonly<Record<Refusal, string>> = {
  [REFUSAL.QueueFull]: 'all queues are full; come back after the time given',
  [REFUSAL.Shed]: 'higher classes need the capacity; come back after the time given',
  [REFUSAL.DeadlineUnreachable]:
    'the answer could not be whole before its deadline; come back after the time given',
  [REFUSAL.TooLate]:
    'an endpoint became free too late for the answer to be whole; come back after the time given',
  [REFUSAL.Expired]: 'no endpoint was free before the deadline; come back after the time given',
  [REFUSAL.UnknownClass]: 'this class is not in force everywhere yet; try again',
  [REFUSAL.NoEndpoint]: 'no endpoint of this pool is reachable; come back after the time given',
};
