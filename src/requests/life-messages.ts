/** What a request's life is told and asks for. */
import type { SlotEnding } from '../gen/peer_pb.js';
import type { Failure, RequestFailure } from '../types/outcomes.js';

/** How often a request may be sent. */
export const REPEATABILITY = {
  /** As often as needed; a broken answer is resumed where it stopped. */
  Repeatable: 'repeatable',
  /** Never again once a byte may have reached an endpoint; nothing is promised across entries. */
  SingleAttempt: 'single_attempt',
  /** At most once across the fleet, by a claim. */
  Once: 'once',
} as const;
export type Repeatability = (typeof REPEATABILITY)[keyof typeof REPEATABILITY];

/** What an attempt at an endpoint ended in. */
export type AttemptEnding =
  /** No byte of the request reached the endpoint. */
  | 'unsent'
  /** The endpoint proved that it ran nothing, because it is leaving. */
  | 'leaving'
  /** The endpoint answered with an error; what it did is not known. */
  | 'error'
  /** The endpoint refused the request itself as wrong. */
  | 'rejected'
  /** The connection broke, or the answer ended without its end marker. */
  | 'broken';

/** What a request is told. */
export type LifeMessage =
  | { readonly kind: 'start' }
  | { readonly kind: 'claimed' }
  | { readonly kind: 'claim_refused'; readonly failure: RequestFailure }
  /** The request ran before; its kept answer is the final one. */
  | { readonly kind: 'replayed' }
  | { readonly kind: 'granted'; readonly ticketId: string; readonly endpoint: string }
  | {
      readonly kind: 'refused';
      readonly ticketId: string;
      readonly type: Failure;
      readonly message: string;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'frame';
      readonly attemptId: string;
      readonly index: number;
      readonly text: string;
    }
  | { readonly kind: 'finished'; readonly attemptId: string; readonly index: number }
  | { readonly kind: 'attempt_ended'; readonly attemptId: string; readonly ending: AttemptEnding }
  | { readonly kind: 'preempted'; readonly ticketId: string }
  | { readonly kind: 'caller_left' }
  /** `lateMs`: how much later than it should this tick comes, because the process did not run. */
  | { readonly kind: 'tick'; readonly lateMs: number };

/** What a request asks for. */
export type LifeCommand =
  | { readonly kind: 'claim' }
  | {
      readonly kind: 'acquire';
      readonly ticketId: string;
      readonly excluded: readonly string[];
      readonly isResumed: boolean;
    }
  | { readonly kind: 'withdraw'; readonly ticketId: string }
  | {
      readonly kind: 'dispatch';
      readonly attemptId: string;
      readonly ticketId: string;
      readonly endpoint: string;
      /** Frames delivered before; the endpoint goes on from here. */
      readonly offset: number;
      readonly delivered: string;
    }
  | { readonly kind: 'cancel_attempt'; readonly attemptId: string }
  | {
      readonly kind: 'release';
      readonly ticketId: string;
      readonly endpoint: string;
      readonly tokens: number;
      readonly firstFrameMs: number;
      readonly stepMs: number;
      readonly ending: SlotEnding;
    }
  | { readonly kind: 'deliver'; readonly text: string }
  | { readonly kind: 'drop_frame'; readonly reason: 'foreign' | 'repeated' | 'gap' }
  | { readonly kind: 'complete'; readonly frames: number }
  /** The kept answer goes to the caller. */
  | { readonly kind: 'replay' }
  | { readonly kind: 'fail'; readonly failure: RequestFailure };
