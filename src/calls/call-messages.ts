/** Types of a routed call, its response, and the inputs and commands of the call state machine. */
import type { Route } from '../types/traffic.js';
import type { HeldAnswer } from '../memory/answer-memory.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { ContentId } from './content-id.js';

/** A header with its original name and value. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** The parts of a request that are forwarded unchanged. */
export interface CallPayload {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: readonly HeaderField[];
  readonly body: Buffer;
}

/** A prefix segment of a prompt, which other prompts may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Size and segments of a prompt. */
export interface PromptShape {
  readonly model: string;
  readonly inputTokens: number;
  readonly outputTokensMax: number;
  /** In prompt order; the last part is specific to the call or its session. */
  readonly parts: readonly PromptPart[];
}

/** A validated call. */
export interface RoutedCall {
  /** Chosen by the caller, different for each request it sends. */
  readonly callId: string;
  /** The same for all requests with the same content. */
  readonly contentId: ContentId;
  readonly route: Route;
  readonly pool: string;
  /** Undefined on public routes. */
  readonly organisation: string | undefined;
  /** Whether the call was authenticated by a key, which must still be valid when the call is sent. */
  readonly isAuthenticated: boolean;
  /** From 0 (most urgent) to 9; derived from the priorities of the route and the organisation. */
  readonly urgency: number;
  readonly prompt: PromptShape | undefined;
  readonly payload: CallPayload;
  /** Last event that the caller received from an earlier response. */
  readonly lastEventId: string | undefined;
  /** Call that brought the first event of the stream that this call resumes, as the caller says. */
  readonly resumedCallId: string | undefined;
  /** Time for which the caller waits, as it says; the route's timeout may be shorter. */
  readonly callerTimeoutMs?: number | undefined;
  readonly receivedMs: number;
  /** Monotonic time at which the timeout of the caller or the route ends. */
  readonly deadlineMs: number;
}

/** Status and headers of an endpoint's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** Why an endpoint did not run a call. */
export const REJECTION = {
  Full: 'full',
  /** It takes no requests from this instance for a time. */
  Resting: 'resting',
  /** The address now belongs to another endpoint. */
  WrongEndpoint: 'wrong_endpoint',
} as const;
export type RejectionReason = (typeof REJECTION)[keyof typeof REJECTION];

/** Result of one attempt at an endpoint. */
export type AttemptEnd =
  /** No byte of the request reached the endpoint. */
  | { readonly kind: 'unsent' }
  /** Nothing was sent, since the endpoint had meanwhile said that it takes no requests. */
  | { readonly kind: 'withheld' }
  /** The endpoint reports that it did not run the call. */
  | { readonly kind: 'rejected'; readonly reason: RejectionReason }
  /** A complete response other than an event stream, with any status. */
  | { readonly kind: 'answered'; readonly head: ResponseHead; readonly body: Buffer }
  /** The event stream completed. */
  | { readonly kind: 'stream_ended' }
  /**
   * The connection failed or the response is invalid or incomplete; the call may have run. `isRefused`: it
   * exceeds a limit, and this instance broke it off, while the endpoint went on.
   */
  | { readonly kind: 'broken'; readonly reason: string; readonly isRefused?: boolean };

/** Input of the call state machine. */
export type CallMessage =
  | { readonly kind: 'start' }
  /** The attempt could not be placed at an endpoint; nothing was sent. */
  | { readonly kind: 'unplaced'; readonly failure: RequestFailure }
  /**
   * A place for the attempt `next` was found and is about to get the call, to go on after `lastEventId`; the
   * current attempt still runs.
   */
  | {
      readonly kind: 'place_found';
      readonly next: number;
      readonly lastEventId: string | undefined;
    }
  /** The requested attempt is being sent to an endpoint; until then it was queued. */
  | { readonly kind: 'dispatched'; readonly attempt: number }
  | { readonly kind: 'stream_started'; readonly attempt: number; readonly head: ResponseHead }
  /** Complete events; `id` is the last that they name, `hasData` whether one has data. */
  | {
      readonly kind: 'event';
      readonly attempt: number;
      readonly id: string | undefined;
      readonly hasData: boolean;
      readonly bytes: Buffer;
    }
  /** This instance reads no more of the response for now, so that its silence says nothing. */
  | { readonly kind: 'held'; readonly attempt: number }
  | { readonly kind: 'resumed'; readonly attempt: number }
  /** The response is silent, and the path to its endpoint counts as lost; it may come all the same. */
  | { readonly kind: 'path_lost'; readonly attempt: number }
  | { readonly kind: 'ended'; readonly attempt: number; readonly end: AttemptEnd }
  | { readonly kind: 'caller_left' }
  /** This instance stops before the call can end; `failure` is for a call that has not run. */
  | { readonly kind: 'instance_stops'; readonly failure: RequestFailure }
  | { readonly kind: 'tick' };

/** Why an attempt is cancelled. */
export type CancelReason = 'deadline' | 'stalled' | 'caller left' | 'instance stops';

/** Output of the call state machine. */
export type CallCommand =
  /** Choose an endpoint and send the call there, resuming after `lastEventId` if it is set. */
  | {
      readonly kind: 'attempt';
      readonly attempt: number;
      readonly lastEventId: string | undefined;
    }
  /** Find a place for an attempt that would replace the current one, which goes on meanwhile. */
  | { readonly kind: 'seek'; readonly attempt: number; readonly lastEventId: string | undefined }
  /** The place that was found takes the call; the request is sent now. */
  | { readonly kind: 'move'; readonly attempt: number }
  | { readonly kind: 'cancel'; readonly attempt: number; readonly reason: CancelReason }
  | { readonly kind: 'deliver_head'; readonly head: ResponseHead }
  | { readonly kind: 'deliver_event'; readonly bytes: Buffer }
  | { readonly kind: 'deliver_end' }
  | { readonly kind: 'deliver_answer'; readonly head: ResponseHead; readonly body: Buffer }
  /** The response is incomplete after part of it was delivered; the caller must be able to detect that. */
  | { readonly kind: 'break_answer'; readonly reason: string }
  | { readonly kind: 'fail'; readonly failure: RequestFailure };

/** Memory of a response that is on its way to its caller; it is released once the caller has it or is gone. */
export type AnswerDelivery = Pick<HeldAnswer, 'startDelivery' | 'release'>;

/** Receives the response of a call; every method except `onHead` and `onEvent` is final. */
export interface CallSink {
  onHead(head: ResponseHead): void;
  onEvent(bytes: Buffer): void;
  onEnd(): void;
  onResponse(head: ResponseHead, body: Buffer, delivery: AnswerDelivery): void;
  onBroken(): void;
  onFailure(failure: RequestFailure): void;
}
