/** Messages about bindings; docs/design/stream-versions.md is their protocol. */
import type { BindingGroup, PoolKey, StreamKey, VersionKey } from './stream-binding.js';

export interface BindingQuery {
  readonly key: StreamKey;
  readonly pool: PoolKey;
  /**
   * Whether the asking instance cannot conclude the version by itself.
   * @default false
   */
  readonly conclude?: boolean;
  /**
   * Longest time for which callers of the asking instance try.
   * @default 0
   */
  readonly lifeMs?: number;
}

/** What an asked instance knows of the stream. */
export const BINDING_ANSWER = {
  /** It keeps the binding. */
  Bound: 'bound',
  /** It does not, but the pool can only have had one version. */
  Only: 'only',
  Unknown: 'unknown',
} as const;
export type BindingAnswer = (typeof BINDING_ANSWER)[keyof typeof BINDING_ANSWER];

export interface BindingReply {
  readonly key: StreamKey;
  readonly answer: BindingAnswer;
  readonly pool: PoolKey;
  readonly version: VersionKey;
  /** Time since the binding was recorded; 0 if there is none. */
  readonly ageMs: number;
  /** Life of streams that `only` covers; 0 from releases that do not say so. */
  readonly coveredMs: number;
  /**
   * Whether the registry was looked at after the query had arrived; releases that do not say so did not.
   * @default false
   */
  readonly checked?: boolean;
  /**
   * Revision of that look, or else of the last change of the registry that the sender knows.
   * @default 0
   */
  readonly registryRevision?: number;
  /**
   * Longest time for which callers of the sender, or of those that told it of streams, try.
   * @default 0
   */
  readonly lifeMs?: number;
}

/** A message to another instance, by name. */
export type BindingMessage =
  | { readonly kind: 'told'; readonly to: string; readonly groups: readonly BindingGroup[] }
  | { readonly kind: 'query'; readonly to: string; readonly query: BindingQuery }
  | { readonly kind: 'reply'; readonly to: string; readonly reply: BindingReply };
