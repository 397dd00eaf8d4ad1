/** A validated request on its way through the router, and the receiver of its answer. */
import type {
  ClassDeclaration,
  OrganisationDeclaration,
  PoolDeclaration,
} from '../types/declarations.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { Repeatability } from './request-messages.js';

/** One message of a conversation; content parts are passed through unchanged. */
export interface ChatMessage {
  readonly role: string;
  readonly content: unknown;
}

/** What an endpoint is asked to do. */
export type Work =
  | {
      readonly kind: 'completion';
      readonly model: string;
      readonly messages: readonly ChatMessage[];
      readonly maxTokens: number | undefined;
      /** Other fields of the caller's body, passed through unchanged. */
      readonly fields: Readonly<Record<string, unknown>>;
    }
  | {
      readonly kind: 'service';
      readonly method: string;
      readonly path: string;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: Buffer | undefined;
    };

export interface RoutedRequest {
  readonly requestId: string;
  readonly organisation: OrganisationDeclaration;
  readonly classDeclaration: ClassDeclaration;
  readonly pool: PoolDeclaration;
  readonly repeatability: Repeatability;
  readonly idempotencyKey: string | undefined;
  readonly bodyHash: string;
  /** Hash of the prompt's beginning, salted with the organisation. */
  readonly prefixHash: number;
  readonly deadlineMs: number;
  readonly work: Work;
}

/** The end of a complete answer. */
export type AnswerEnd =
  | { readonly kind: 'completion'; readonly finishReason: string; readonly tokens: number }
  | {
      readonly kind: 'service';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    };

/** Receives an answer; exactly one of `onComplete` and `onFailure` is called, last. */
export interface AnswerSink {
  onDelta(text: string): void;
  onComplete(end: AnswerEnd): void;
  onFailure(failure: RequestFailure): void;
}
