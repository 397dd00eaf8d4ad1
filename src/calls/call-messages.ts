/** A routed call, its answer, and what a call's life is told and asks for. */
import type { Route } from '../types/traffic.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { ContentId } from './content-id.js';

/** A header as it came: name and value. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** What is passed on as it came. */
export interface CallPayload {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: readonly HeaderField[];
  readonly body: Buffer;
}

/** A part of a prompt that other prompts may begin with too. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The size of a prompt and what it is made of. */
export interface PromptShape {
  readonly model: string;
  readonly inputTokens: number;
  readonly outputTokensMax: number;
  /** In order; the last part belongs to the call itself or to its session. */
  readonly parts: readonly PromptPart[];
}

/** A checked call on its way through the router. */
export interface RoutedCall {
  /** Named by the caller, one for each of its attempts. */
  readonly callId: string;
  /** The same for every attempt of any caller at the same request. */
  readonly contentId: ContentId;
  readonly route: Route;
  readonly pool: string;
  /** Undefined on public routes. */
  readonly organisation: string | undefined;
  /** Whether the call may only be sent while its key is surely still valid. */
  readonly isKeyed: boolean;
  /** Rank among all calls, 0 for the most urgent to 9: the route's priority, then the organisation's. */
  readonly urgency: number;
  readonly prompt: PromptShape | undefined;
  readonly payload: CallPayload;
  /** The last event the caller has from an earlier answer. */
  readonly lastEventId: string | undefined;
  readonly receivedMs: number;
  /** Monotonic moment at which the caller or the route gives the call up. */
  readonly deadlineMs: number;
}

/** Status and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** How an attempt at an endpoint ended. */
export type AttemptEnd =
  /** No byte of the call reached the endpoint. */
  | { readonly kind: 'unsent' }
  /** The endpoint says that it ran nothing: it is full, or is not the one that was meant. */
  | { readonly kind: 'rejected'; readonly isWrongEndpoint: boolean }
  /** A whole answer that is no event stream, whatever its status. */
  | { readonly kind: 'answered'; readonly head: AnswerHead; readonly body: Buffer }
  /** The event stream came to its end. */
  | { readonly kind: 'stream_ended' }
  /** The connection broke, or what came is not this call's whole answer; it may have run. */
  | { readonly kind: 'broken'; readonly reason: string };

/** What a call's life is told. */
export type CallMessage =
  | { readonly kind: 'start' }
  /** No endpoint can get the call now; nothing was sent. */
  | { readonly kind: 'unplaced'; readonly failure: RequestFailure }
  /** The attempt that was asked for is on its way to an endpoint; until then it waited here. */
  | { readonly kind: 'dispatched'; readonly attempt: number }
  | { readonly kind: 'stream_started'; readonly attempt: number; readonly head: AnswerHead }
  | {
      readonly kind: 'event';
      readonly attempt: number;
      readonly id: string | undefined;
      readonly bytes: Buffer;
    }
  | { readonly kind: 'ended'; readonly attempt: number; readonly end: AttemptEnd }
  | { readonly kind: 'caller_left' }
  | { readonly kind: 'tick' };

/** Why an attempt is given up. */
export type CancelReason = 'deadline' | 'stalled' | 'caller left';

/** What a call's life asks for. */
export type CallCommand =
  /** Choose an endpoint and send the call there, after this event where it goes on. */
  | {
      readonly kind: 'attempt';
      readonly attempt: number;
      readonly lastEventId: string | undefined;
    }
  | { readonly kind: 'cancel'; readonly attempt: number; readonly reason: CancelReason }
  | { readonly kind: 'deliver_head'; readonly head: AnswerHead }
  | { readonly kind: 'deliver_event'; readonly bytes: Buffer }
  | { readonly kind: 'deliver_end' }
  | { readonly kind: 'deliver_answer'; readonly head: AnswerHead; readonly body: Buffer }
  /** Part of the answer was delivered and the rest cannot be: the caller must see that. */
  | { readonly kind: 'break_answer'; readonly reason: string }
  | { readonly kind: 'fail'; readonly failure: RequestFailure };

/** Where an answer goes; after `onEnd`, `onAnswer`, `onBroken` or `onFailure` nothing follows. */
export interface CallSink {
  onHead(head: AnswerHead): void;
  onEvent(bytes: Buffer): void;
  onEnd(): void;
  onAnswer(head: AnswerHead, body: Buffer): void;
  onBroken(): void;
  onFailure(failure: RequestFailure): void;
}
