/** All log events and their fields, documented in docs/OPERATIONS.md. */
import type { UnknownValue } from './unknown-values.js';

export type LogEvent =
  | {
      /** A port that the start needs is held; tried again until `leftMs` are over. */
      readonly event: 'port_awaited';
      readonly role: string;
      readonly address: string;
      readonly reason: string;
      readonly leftMs: number;
    }
  | { readonly event: 'started'; readonly callers: string; readonly peers: string }
  | {
      readonly event: 'stopped';
      readonly reason: string;
      /** What the process still holds: calls, exchanges of peers, and responses that are not written out. */
      readonly calls: number;
      readonly carried: number;
      readonly responses: number;
    }
  | { readonly event: 'leaving'; readonly inFlight: number }
  | {
      /** The drain ran out of time with work left, which was ended with an answer. */
      readonly event: 'drain_cut';
      /** Calls that waited at this instance, and calls at an endpoint. */
      readonly waiting: number;
      readonly sent: number;
      /** Requests that had not come in whole. */
      readonly unread: number;
    }
  /** The event loop stood still: for how long at most and in all, in a second in which the process used `cpuMs`. */
  | {
      readonly event: 'loop_stalled';
      readonly longestMs: number;
      readonly totalMs: number;
      readonly cpuMs: number;
      readonly calls: number;
    }
  /** A timer's task threw; `reason` has the error and its place. The other tasks go on. */
  | { readonly event: 'task_failed'; readonly reason: string }
  | { readonly event: 'settings_reloaded'; readonly outcome: string }
  | {
      readonly event: 'source_lost';
      readonly feed: string;
      readonly reason: string;
      readonly knowledgeAgeMs: number;
    }
  | {
      /** The rows that instances store of their streams were read. */
      readonly event: 'stored_streams_read';
      readonly rows: number;
      /** Streams whose version the rows tell. */
      readonly streams: number;
      /** Time for which streams are remembered. */
      readonly lifeMs: number;
      readonly tookMs: number;
    }
  /** A stored claim that pools had one version only holds until now for this many. */
  | { readonly event: 'version_claim_held'; readonly pools: number }
  | { readonly event: 'source_back'; readonly feed: string }
  /** Whether this instance watches the source itself or queries peers that do. */
  | { readonly event: 'watching_changed'; readonly isWatching: boolean }
  | { readonly event: 'clocks_parted'; readonly configurationVersion: number }
  | {
      readonly event: 'configuration_reported';
      readonly version: number;
      readonly outcome: string;
      /** 'source' or the name of a peer. */
      readonly source: string;
      /** Version that a peer sent the rows as; differs from `version` if the peer mixed them up. */
      readonly announcedVersion?: number;
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
      /** An endpoint crashed with calls of this instance in flight. */
      readonly event: 'endpoint_crashed';
      readonly endpoint: string;
      readonly pool: string;
      readonly evidence: string;
      readonly contents: readonly string[];
      /** Parts of the prompts that ran there and that other calls may share. */
      readonly parts: readonly string[];
    }
  | {
      /** The rate limit that an endpoint names was learned, changed or lifted. */
      readonly event: 'endpoint_limited';
      /** Name of the endpoint; a hash of its start id where this instance does not know the name. */
      readonly endpoint: string;
      /** Hash of the endpoint's start id. */
      readonly start: string;
      /** Requests a second for all instances together; null if there is no limit. */
      readonly perSecond: number | null;
      readonly previousPerSecond: number | null;
      /** 'own' or the name of the instance that reported it. */
      readonly source: string;
      /** Time since a response said so. */
      readonly ageMs: number;
    }
  | {
      /** That an endpoint is leaving or wants rest was learned, extended or ended. */
      readonly event: 'endpoint_notice';
      /** Name of the endpoint; a hash of its start id where this instance does not know the name. */
      readonly endpoint: string;
      /** Hash of the endpoint's start id. */
      readonly start: string;
      /** 'leaving' or 'resting'. */
      readonly notice: string;
      readonly change: string;
      /** 'own' or the name of the instance that reported it. */
      readonly source: string;
      /** Time since a response said so. */
      readonly ageMs: number;
      readonly endsInMs: number;
    }
  | {
      /** A call was refused because the endpoints of its pool asked for rest. */
      readonly event: 'rest_refused';
      readonly request: string;
      readonly pool: string;
      readonly urgency: number;
      readonly organisation: string;
      /** Resting endpoints of the pool with the source and age of the request for rest, and its end. */
      readonly resting: readonly string[];
      readonly retryAfterMs: number;
    }
  | {
      /** The path from this instance to an endpoint changed its state. */
      readonly event: 'path_changed';
      readonly endpoint: string;
      readonly state: string;
      readonly previous: string;
      readonly evidence: string;
      /** Time that the previous state lasted. */
      readonly lastedMs: number;
    }
  | {
      /** A call was offered to a peer, or handed over to it. */
      readonly event: 'call_forwarded';
      readonly request: string;
      readonly endpoint: string;
      readonly peer: string;
      readonly result: string;
      readonly detail: string;
      /** Time since the offer. */
      readonly tookMs: number;
    }
  | {
      /** A call of a peer was taken, refused or ended here. */
      readonly event: 'call_carried';
      readonly request: string;
      readonly endpoint: string;
      readonly peer: string;
      readonly result: string;
      readonly detail: string;
      /** Time since the offer. */
      readonly tookMs: number;
    }
  | {
      /** That an endpoint is brittle was learned or ended. */
      readonly event: 'endpoint_brittle';
      /** Name of the endpoint; a hash of its start id where this instance does not know the name. */
      readonly endpoint: string;
      /** Hash of the endpoint's start id. */
      readonly start: string;
      readonly isBrittle: boolean;
      /** Rejections a second for want of room that it bears. */
      readonly rejectionsMax: number;
      /** 'own' or the name of the instance that reported it. */
      readonly source: string;
      /** Time since a response said so. */
      readonly ageMs: number;
    }
  | {
      /** An endpoint that was registered or failed came to another pace. */
      readonly event: 'endpoint_pace_changed';
      readonly endpoint: string;
      readonly pool: string;
      /** 'none' at the registration. */
      readonly from: string;
      readonly to: string;
      /** Running calls of all instances that it may have; undefined without a limit. */
      readonly limit: number | undefined;
      /** Why the limit was halved; undefined in other states. */
      readonly trouble: string | undefined;
    }
  | {
      /** The pace of endpoints could not be computed; calls are placed without it from now on. */
      readonly event: 'endpoint_pace_failed';
      readonly reason: string;
    }
  | {
      /** A call was refused because this instance's share of brittle endpoints was in use. */
      readonly event: 'share_refused';
      readonly request: string;
      readonly pool: string;
      readonly urgency: number;
      readonly organisation: string;
    }
  | {
      /** A call was refused because of the rate limits of endpoints. */
      readonly event: 'limit_refused';
      readonly request: string;
      readonly pool: string;
      readonly urgency: number;
      readonly organisation: string;
      /** Endpoints of the pool with their rate, source and the age of the observation. */
      readonly limits: readonly string[];
      readonly retryAfterMs: number;
    }
  | {
      /** The quarantine standing of a content changed. */
      readonly event: 'content_judged';
      readonly content: string;
      readonly standing: string;
      readonly before: string;
      /** Endpoints that crashed; hashes of start ids where this instance does not know the name. */
      readonly endpoints: readonly string[];
      /** 'own', 'source', 'operator' or the name of a peer. */
      readonly source: string;
      /** Time since the last crash. */
      readonly ageMs: number;
    }
  | {
      /** A call was refused because of crashes of its content or organisation. */
      readonly event: 'content_refused';
      readonly request: string;
      readonly content: string;
      /** What is condemned: the content, or a part of its prompt; empty for the organisation. */
      readonly subject: string;
      readonly endpoints: readonly string[];
      readonly organisation: string;
    }
  | {
      /** An operator released a content from quarantine. */
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
  /** Uncaught errors: of a connection to a peer, or (`failed`) any other, which ends the process. */
  | { readonly event: 'link_failed' | 'failed'; readonly reason: string }
  | { readonly event: 'datagram_refused'; readonly reason: string }
  /** A server that listens failed at one connection; it goes on. */
  | { readonly event: 'server_failed'; readonly role: string; readonly reason: string }
  /** The fleet duties have moved to another instance or to this one. */
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
  | {
      /** Connections were closed because of what their server sent; once a minute for each fault. */
      readonly event: 'answer_refused';
      readonly source: string;
      readonly address: string;
      readonly fault: string;
      readonly reason: string;
      /** Connections since the last such line, this one included. */
      readonly connections: number;
    }
  | {
      /** The memory of this process has become high for its machine, or low again. */
      readonly event: 'memory_changed';
      readonly isHigh: boolean;
      readonly residentBytes: number;
      readonly machineBytes: number;
    }
  | ({
      /** A value of a newer release; logged once per value. */
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
      /** A request was refused before routing. */
      readonly event: 'request_refused';
      readonly request: string;
      readonly failure: string;
      readonly configurationVersion: number;
      readonly knowledgeAgeMs: number;
    }
  | {
      /** The software version of a stream that a caller resumes was found, or nobody knows it. */
      readonly event: 'stream_resumed';
      readonly request: string;
      /** Call that began the stream, as the caller says; empty where the caller names none. */
      readonly resumes: string;
      readonly pool: string;
      readonly outcome: string;
      readonly version: string;
      /** 'own', 'asked' or the name of the instance that told the binding. */
      readonly source: string;
      /** Time since the binding was recorded; null where none is kept here. */
      readonly ageMs: number | null;
      /** Revision of the registry up to which all changes were known. */
      readonly registryRevision: number;
      /** Revision of the look at the registry by which this instance concluded; null if it did not. */
      readonly lookRevision: number | null;
      readonly asked: readonly string[];
      readonly replies: readonly string[];
      readonly tookMs: number;
      /** Endpoints of other versions. */
      readonly passedOver: readonly string[];
    }
  | {
      readonly event: 'attempt_started';
      readonly request: string;
      readonly urgency: number;
      readonly attempt: number;
      readonly endpoint: string;
      readonly endpointVersion: string;
      /** Event after which the stream goes on; absent where it begins. */
      readonly lastEventId?: string;
      /** Call that began the stream, as the caller says; absent where the caller names none. */
      readonly resumes?: string;
      /** Known load of the endpoint: running calls and prompt tokens not yet processed. */
      readonly endpointRunning: number;
      readonly endpointUnreadTokens: number;
      /** Those of the running calls that are of the most urgent and of the least urgent routes. */
      readonly endpointUrgent: number;
      readonly endpointPreemptible: number;
      /** What more urgent calls leave to the least urgent ones, their peak, and the slots of the pool. */
      readonly poolRoom?: string;
      readonly poolMoreUrgent?: number;
      readonly poolSlots?: number;
      /** What the call waited for last at this instance, and since when; absent if it has not waited. */
      readonly waitedFor?: string;
      readonly heldMs?: number;
      /** Expected mean pause of streams there, in milliseconds. */
      readonly enginePauseMs?: number;
      readonly candidates: number;
      /** Time from the request to this attempt. */
      readonly waitedMs: number;
      readonly remainingMs: number;
      readonly configurationVersion: number;
      readonly knowledgeAgeMs: number;
    }
  | {
      readonly event: 'attempt_failed';
      readonly request: string;
      /** Content hash. */
      readonly content: string;
      readonly attempt: number;
      readonly endpoint: string;
      readonly end: string;
      readonly tookMs: number;
    }
  | {
      readonly event: 'call_ended';
      readonly request: string;
      /** Content hash; only for calls that were not served. */
      readonly content: string | undefined;
      readonly route: string;
      readonly organisation: string;
      readonly urgency: number;
      readonly end: string;
      readonly attempts: number;
      /** What a call that was never sent waited for. */
      readonly waitedFor?: string;
      readonly firstMs: number;
      readonly events: number;
      /** Mean pause between two events. */
      readonly meanPauseMs: number;
      /** Longest pause between two events; 0 if there was none. */
      readonly pauseMs: number;
      readonly pauseTargetMs: number | undefined;
      /** Events before the longest pause, and the known load of the endpoint at its start. */
      readonly pauseAfterEvents: number;
      readonly pauseUnreadTokens: number;
      readonly pauseRunning: number;
      readonly tookMs: number;
      readonly targetMs: number;
    }
  | { readonly event: 'lines_left_out'; readonly kind: LogKind; readonly lines: number };

/** Kinds of lines, each with its own rate limit. */
export const LOG_KIND = {
  /** State of the process and of its dependencies. */
  State: 'state',
  /** Requests that were refused, retried or late, or that failed. */
  Failure: 'failure',
  /** Requests that succeeded in time. */
  Served: 'served',
} as const;
export type LogKind = (typeof LOG_KIND)[keyof typeof LOG_KIND];

/** `isSuccess`: whether the call succeeded in time. */
export function resolveLogKind(event: LogEvent, isSuccess: boolean): LogKind {
  switch (event.event) {
    case 'request_refused':
    case 'content_refused':
    case 'limit_refused':
    case 'rest_refused':
    case 'attempt_failed':
    case 'share_refused':
    case 'call_forwarded':
    case 'call_carried':
    case 'stream_resumed':
      return LOG_KIND.Failure;
    case 'attempt_started':
      return event.attempt > 1 || event.lastEventId !== undefined
        ? LOG_KIND.Failure
        : LOG_KIND.Served;
    case 'call_ended':
      return isSuccess ? LOG_KIND.Served : LOG_KIND.Failure;
    default:
      return LOG_KIND.State;
  }
}
