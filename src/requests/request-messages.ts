/** Messages to the state machine of a request, and the commands that it returns. */
import type { SlotEnding } from '../gen/peer_pb.js';
import type { Failure, RequestFailure } from '../types/outcomes.js';

/** How often a request may be sent to an endpoint. */
export const REPEATABILITY = {
  /** Any number of times; an interrupted answer resumes where it stopped. */
  Repeatable: 'repeatable',
  /** Never again once a byte may have reached an endpoint; not enforced across instances. */
  SingleAttempt: 'single_attempt',
  /** At most once across the fleet, enforced by a claim. */
  Once: 'once',
} as const;
export type Repeatability = (typeof REPEATABILITY)[keyof typeof REPEATABILITY];

/** How an attempt ended. */
export type AttemptEnding =
  /** No byte of the request reached the endpoint. */
  | 'unsent'
  /** The endpoint is leaving and confirmed that it ran nothing. */
  | 'leaving'
  /** The endpoint turned the request away and asked for rest; it may have run part of it. */
  | 'resting'
  /** Nothing was sent, since the endpoint had meanwhile asked for rest. */
  | 'withheld'
  /** The endpoint returned an error and may have run the request. */
  | 'error'
  /** The endpoint rejected the request as invalid. */
  | 'rejected'
  /** The connection broke, or the answer ended without its end marker. */
  | 'broken';

export type RequestMessage =
  | { readonly kind: 'start' }
  | { readonly kind: 'claimed' }
  | { readonly kind: 'claim_refused'; readonly failure: RequestFailure }
  /** The request ran before; its stored answer is replayed. */
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
      /** What the endpoint says of its software and weights. */
      readonly fingerprint?: string | undefined;
    }
  | { readonly kind: 'finished'; readonly attemptId: string; readonly index: number }
  | { readonly kind: 'attempt_ended'; readonly attemptId: string; readonly ending: AttemptEnding }
  | { readonly kind: 'preempted'; readonly ticketId: string }
  | { readonly kind: 'caller_left' }
  /** This instance stops before the request can end; `failure` is for one that has not run. */
  | { readonly kind: 'instance_stops'; readonly failure: RequestFailure }
  /** `lateMs`: delay of this tick because the process did not run. */
  | { readonly kind: 'tick'; readonly lateMs: number };

export type RequestCommand =
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
      /** Frames already delivered; the endpoint resumes from here. */
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
  | {
      readonly kind: 'drop_frame';
      readonly reason: 'foreign' | 'repeated' | 'gap' | 'other_version';
    }
  | { readonly kind: 'complete'; readonly frames: number }
  /** Sends the stored answer to the caller. */
  | { readonly kind: 'replay' }
  | { readonly kind: 'fail'; readonly failure: RequestFailure };
