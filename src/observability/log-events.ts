/** The catalogue of log lines: every event with its fields. docs/OPERATIONS.md explains each. */
import type { UnknownValue } from './unknown-values.js';

/** One line. */
export type LogEvent =
  | { readonly event: 'started'; readonly callers: string; readonly peers: string }
  | { readonly event: 'stopped'; readonly reason: string }
  | { readonly event: 'leaving'; readonly inFlight: number }
  | { readonly event: 'settings_reloaded'; readonly outcome: string }
  | {
      readonly event: 'source_lost';
      readonly feed: string;
      readonly reason: string;
      readonly knowledgeAgeMs: number;
    }
  | { readonly event: 'source_back'; readonly feed: string }
  /** Whether this instance follows the source itself or asks instances that do. */
  | { readonly event: 'watching_changed'; readonly isWatching: boolean }
  | { readonly event: 'clocks_parted'; readonly configurationVersion: number }
  | {
      readonly event: 'configuration_reported';
      readonly version: number;
      readonly outcome: string;
      /** 'source', or the peer that told. */
      readonly source: string;
    }
  | {
      readonly event: 'row_refused';
      readonly key: string;
      readonly field: string;
      readonly reason: string;
    }
  | {
      readonly event: 'endpoint_changed';
      readonly endpoint: string;
      readonly pool: string;
      readonly change: string;
      readonly source: string;
    }
  | {
      /** An endpoint ended while calls of this instance ran there. */
      readonly event: 'endpoint_crashed';
      readonly endpoint: string;
      readonly pool: string;
      readonly evidence: string;
      readonly contents: readonly string[];
    }
  | {
      /** The crashes of endpoints that speak against a content changed how it stands. */
      readonly event: 'content_judged';
      readonly content: string;
      readonly standing: string;
      readonly before: string;
      /** Where they happened: names, or hashes of starts that this instance never knew. */
      readonly endpoints: readonly string[];
      /** 'own', 'source', 'operator', or the peer that told. */
      readonly source: string;
      /** Since the last of them. */
      readonly ageMs: number;
    }
  | {
      /** A call was not sent: endpoints crashed under its content, or under many of its organisation. */
      readonly event: 'content_refused';
      readonly request: string;
      readonly content: string;
      readonly endpoints: readonly string[];
      readonly organisation: string;
    }
  | {
      /** An operator lets a content run again. */
      readonly event: 'content_released';
      readonly content: string;
      readonly who: string;
      readonly reason: string;
    }
  | {
      readonly event: 'endpoint_judged';
      readonly endpoint: string;
      readonly verdict: string;
      readonly reason: string;
    }
  /** Errors that nobody caught: of a link to a peer, which goes on, or any other, which ends the process. */
  | { readonly event: 'link_failed' | 'failed'; readonly reason: string }
  | { readonly event: 'datagram_refused'; readonly reason: string }
  /** Another instance, or this one, does the fleet's duties now. */
  | {
      readonly event: 'duty_holder_changed';
      readonly holder: string;
      readonly fence: number;
      readonly isOwn: boolean;
    }
  | {
      readonly event: 'usage_reported';
      readonly window: number;
      readonly organisations: number;
      readonly calls: number;
      readonly outcome: string;
    }
  | {
      readonly event: 'pool_ordered';
      readonly pool: string;
      readonly inDataCentre: string;
      readonly isSpot: boolean;
      readonly count: number;
      readonly outcome: string;
    }
  | { readonly event: 'duty_failed'; readonly reason: string }
  | ({
      /** A word of a newer release, said once. */
      readonly event: 'unknown_value';
    } & UnknownValue)
  | { readonly event: 'peer_changed'; readonly peer: string; readonly state: string }
  | {
      readonly event: 'knowledge_asked';
      readonly peer: string;
      readonly outcome: string;
      readonly knowledgeAgeMs: number;
    }
  | {
      /** A request was answered without a call being made of it. */
      readonly event: 'request_refused';
      readonly request: string;
      readonly failure: string;
      readonly configurationVersion: number;
      readonly knowledgeAgeMs: number;
    }
  | {
      readonly event: 'attempt_started';
      readonly request: string;
      readonly urgency: number;
      readonly attempt: number;
      readonly endpoint: string;
      /** Calls and unread prompt tokens that were known to be under way there. */
      readonly endpointRunning: number;
      readonly endpointUnreadTokens: number;
      readonly candidates: number;
      /** How long the call was read and held at this instance before. */
      readonly waitedMs: number;
      readonly remainingMs: number;
      readonly configurationVersion: number;
      readonly knowledgeAgeMs: number;
    }
  | {
      readonly event: 'attempt_failed';
      readonly request: string;
      /** The same for every call that asks for the same. */
      readonly content: string;
      readonly attempt: number;
      readonly endpoint: string;
      readonly end: string;
      readonly tookMs: number;
    }
  | {
      readonly event: 'call_ended';
      readonly request: string;
      /** The same for every call that asks for the same; of calls that were not served. */
      readonly content: string | undefined;
      readonly route: string;
      readonly organisation: string;
      readonly urgency: number;
      readonly end: string;
      readonly attempts: number;
      readonly firstMs: number;
      /** Events that came, and the mean pause between two. */
      readonly events: number;
      readonly meanPauseMs: number;
      /** The longest pause between two events and the one that is still in time; 0 and absent where there was none. */
      readonly pauseMs: number;
      readonly pauseTargetMs: number | undefined;
      /** Events before that pause, and what was known of the engine when it began. */
      readonly pauseAfterEvents: number;
      readonly pauseUnreadTokens: number;
      readonly pauseRunning: number;
      readonly tookMs: number;
      readonly targetMs: number;
    }
  | { readonly event: 'lines_left_out'; readonly kind: LogKind; readonly lines: number };

/** Kinds of lines that have a budget of their own. */
export const LOG_KIND = {
  /** Start, stop, reload, dependencies, knowledge. */
  State: 'state',
  /** Requests that were refused, failed, retried or late. */
  Failure: 'failure',
  /** Requests that went well. */
  Served: 'served',
} as const;
export type LogKind = (typeof LOG_KIND)[keyof typeof LOG_KIND];

/** The kind of a line; `isGood` says whether a call ended well and in time. */
export function resolveLogKind(event: LogEvent, isGood: boolean): LogKind {
  switch (event.event) {
    case 'request_refused':
    case 'content_refused':
    case 'attempt_failed':
      return LOG_KIND.Failure;
    case 'attempt_started':
      return event.attempt > 1 ? LOG_KIND.Failure : LOG_KIND.Served;
    case 'call_ended':
      return isGood ? LOG_KIND.Served : LOG_KIND.Failure;
    default:
      return LOG_KIND.State;
  }
}
