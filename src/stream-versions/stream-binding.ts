/** Which software version of an endpoint began a stream, and the key by which instances know the stream. */
import type { RoutedCall } from '../calls/call-messages.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName, hashText } from '../utils/hash.js';

/** 64 bits of a hash, in hex. */
export type StreamKey = string;
/** Hash of a software version. */
export type VersionKey = number;
/** Hash of a pool's name. */
export type PoolKey = number;

export const STREAM_KEY_DIGITS = 16;
/** Stands for a version that is not known for sure, so that nobody may go on with the stream. */
export const UNSURE_VERSION: VersionKey = 0;

export interface StreamBinding {
  readonly pool: PoolKey;
  /** Version of the endpoint that wrote the first event; `UNSURE_VERSION` if that is not sure. */
  readonly version: VersionKey;
}

/** Bindings with a pool and version in common, as sent between instances. */
export interface BindingGroup extends StreamBinding {
  readonly keys: readonly StreamKey[];
  /**
   * Longest time for which callers of the sender try.
   * @default 0
   */
  readonly lifeMs?: number;
}

/** Never `UNSURE_VERSION`, whatever the text. */
export function hashVersion(version: string): VersionKey {
  return hashName(version) || 1;
}

/** Includes the organisation, so that none can name another's stream. */
export function computeStreamKey(organisation: string | undefined, callId: string): StreamKey {
  return hashText(JSON.stringify([organisation ?? null, callId])).slice(0, STREAM_KEY_DIGITS);
}

/** Whether the caller resumes a stream that an earlier call began. */
export function isResumed({ lastEventId }: Pick<RoutedCall, 'lastEventId'>): boolean {
  return lastEventId !== undefined;
}

/**
 * Key of the stream that a call begins or resumes. Nobody keeps a binding for a call that resumes a
 * stream without naming it; instances can still conclude its version.
 */
export function getStreamKey(call: RoutedCall): StreamKey {
  const { organisation, callId, resumedCallId } = call;
  const isNamed = isResumed(call) && resumedCallId !== undefined && resumedCallId !== '';
  return computeStreamKey(organisation, isNamed ? resumedCallId : callId);
}

export function buildBinding({ pool, softwareVersion }: RegisteredEndpoint): StreamBinding {
  return { pool: hashName(pool), version: hashVersion(softwareVersion) };
}
