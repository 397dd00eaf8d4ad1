/** What a gateway is made of, and what it offers to the servers of a deployment. */
import type { RetryBounds } from '../attempts/shared-retry-budget.js';
import type { CallSink, RoutedCall } from '../calls/call-messages.js';
import type { CallObserver } from '../calls/call-records.js';
import type { RunningCall } from '../calls/call-runner.js';
import type { EndpointConnections } from '../calls/endpoint-connections.js';
import type { EndpointProtocol } from '../calls/endpoint-protocol.js';
import type { DutyStatus } from '../duties/fleet-duties.js';
import type { UsageUpdate } from '../duties/usage-meter.js';
import type { KnownLimit, LimitReport } from '../endpoint-limits/limit-ledger.js';
import type { PermitReply, PermitRequest } from '../endpoint-limits/permit-messages.js';
import type { KnownNotice, NoticeReport } from '../endpoint-availability/availability-ledger.js';
import type { AvailabilityObserver } from '../endpoint-availability/endpoint-availability.js';
import type { EndpointPaceObserver, KnownPace } from '../endpoint-pace/endpoint-pace.js';
import type { SendLimitsObserver } from '../endpoint-limits/send-limits.js';
import type { FetchKnowledgeRequest, FetchKnowledgeResponse, PeerMessage } from '../gen/peer_pb.js';
import type { ForwardLinks } from '../forwarding/forward-messages.js';
import type { KnownPath } from '../forwarding/path-ledger.js';
import type { AnswerMemory } from '../memory/answer-memory.js';
import type { FeedReader } from '../knowledge/feed.js';
import type { DrainTimes } from '../lifecycle/drain.js';
import type { Contact } from '../membership/membership-messages.js';
import type { EnabledFeatures } from '../types/features.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { Datagrams } from '../peers/datagrams.js';
import type { PeerLinks } from '../peers/peer-links.js';
import type { PeerStatus } from '../peers/peer-status.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { CaseStore } from '../quarantine/case-rows.js';
import type { CaseReport } from '../quarantine/case-ledger.js';
import type { CrashCase } from '../quarantine/crash-case.js';
import type { ConnectionResult } from '../quarantine/crash-detector.js';
import type { QuarantineObserver } from '../quarantine/quarantine.js';
import type { Invariants } from '../runtime/invariants.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { InstanceListClient } from '../storage/instance-list-client.js';
import type { BrittleReport, KnownBrittle } from '../slot-shares/brittle-ledger.js';
import type { BindingQuery, BindingReply } from '../stream-versions/binding-messages.js';
import type { BindingGroup } from '../stream-versions/stream-binding.js';
import type { StreamStore } from '../stream-versions/stream-row.js';
import type { StreamObserver } from '../stream-versions/stream-versions.js';
import type { SlotSharesObserver } from '../slot-shares/slot-shares.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import type { KnownTiming } from '../placement/timings-api.js';
import type { Random } from '../utils/random.js';
import type { Result } from '../utils/result.js';
import type { CallerRequest } from './resolve-call.js';
import type { CallForwarding, ForwardingObserver } from './call-forwarding.js';
import type { DutyOptions } from './gateway-duties.js';
import type { RowDecoder } from './knowledge-store.js';

export interface GatewayOptions {
  readonly self: Contact;
  /** Wall clock at the start; higher than that of any earlier start under the same name. */
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly features: EnabledFeatures;
  readonly timers: TimerService;
  readonly random: Random;
  readonly invariants: Invariants;
  readonly log: DecisionLog;
  readonly links: PeerLinks;
  readonly datagrams: Omit<Datagrams, 'close'>;
  readonly instances: InstanceListClient;
  readonly configurationFeed: FeedReader;
  readonly endpointFeed: FeedReader;
  readonly decoder: RowDecoder;
  readonly connections: EndpointConnections;
  readonly forwardLinks: ForwardLinks;
  /** Checks whether connections to an endpoint's address are accepted. */
  readonly checkConnection: (address: string) => Promise<ConnectionResult>;
  readonly protocol: EndpointProtocol;
  /** Memory for responses that are no streams. */
  readonly answers: AnswerMemory;
  readonly observer: CallObserver;
  readonly quarantineObserver: QuarantineObserver;
  readonly limitObserver: SendLimitsObserver;
  readonly availabilityObserver: AvailabilityObserver;
  readonly forwardingObserver: ForwardingObserver;
  readonly shareObserver: SlotSharesObserver;
  readonly paceObserver: EndpointPaceObserver;
  readonly streamObserver: StreamObserver;
  /** Receives an error thrown while a call was handled; the call is ended, the others go on. */
  readonly onCallError: (error: unknown) => void;
  /** Persistent store of condemned contents. */
  readonly caseStore: CaseStore;
  /** Persistent store of streams and the versions that began them. */
  readonly streamStore: StreamStore;
  readonly retryBounds: RetryBounds;
  /** Duties that one instance performs for the fleet; undefined if the deployment has none. */
  readonly duties: DutyOptions | undefined;
  /** Maximum age of the knowledge of keys when a call is sent. */
  readonly keyAgeMaxMs: number;
  /** Time from a change's confirmation by the source until instances in reach must act on it. */
  readonly inForceMs: number;
  readonly drainTimes: DrainTimes;
  /** Responses to callers that are not written out. */
  readonly countOpenResponses: () => number;
  /** Refuses the requests that have not come in whole; returns their number. */
  readonly refuseUnread: (failure: RequestFailure) => number;
  readonly onConfiguration: (configuration: TrafficConfiguration) => void;
  readonly onStopAccepting: () => void;
  readonly onDrained: () => void;
}

export interface KnowledgeState {
  readonly configurationVersion: number;
  readonly ageMs: number;
}

export interface Gateway {
  resolve(request: CallerRequest): Result<RoutedCall, RequestFailure>;
  run(call: RoutedCall, sink: CallSink): RunningCall;
  /** Name of the organisation that holds a key. */
  findOrganisation(key: string | undefined): string | undefined;
  isReady(): boolean;
  isLeaving(): boolean;
  leave(): void;
  getConfiguration(): TrafficConfiguration | undefined;
  getKnowledgeState(): KnowledgeState;
  handlePeerStatus(status: PeerStatus): void;
  handleCases(from: string, cases: readonly CaseReport[]): void;
  handleMessages(from: string, bodies: readonly PeerMessage['body'][]): void;
  handleUsage(usage: UsageUpdate): void;
  /** Undefined if the deployment has no duties. */
  getDutyStatus(): DutyStatus | undefined;
  /** Temporarily hands the duties over to other instances; false if this instance does not hold them. */
  releaseDuties(): boolean;
  recordUnreachable(address: string): void;
  buildKnowledge(request: FetchKnowledgeRequest): FetchKnowledgeResponse;
  /** Returns the name of an endpoint by the key of its start, if it is still registered. */
  findEndpointName(start: EndpointKey): string | undefined;
  /** Lists the contents that are linked to endpoint crashes. */
  listCases(): readonly CrashCase[];
  /** Releases a content on all instances on behalf of an operator; false if the content is unknown. */
  releaseCase(content: string, who: string, reason: string): boolean;
  countInstances(): number;
  countCalls(): number;
  handleLimits(from: string, reports: readonly LimitReport[]): void;
  handleNotices(from: string, reports: readonly NoticeReport[]): void;
  handleBrittle(from: string, reports: readonly BrittleReport[]): void;
  handlePermitRequests(from: string, requests: readonly PermitRequest[]): void;
  handlePermitReplies(replies: readonly PermitReply[]): void;
  handleStreams(from: string, groups: readonly BindingGroup[]): void;
  handleStreamQuery(from: string, query: BindingQuery): void;
  handleStreamReply(from: string, reply: BindingReply): void;
  /** Registered endpoints, whatever their state. */
  listEndpoints(): readonly RegisteredEndpoint[];
  /** Number of streams whose version this instance keeps. */
  countStreamBindings(): number;
  /** Rate limits that endpoints name. */
  listLimits(): readonly KnownLimit[];
  /** Endpoints that said that they are leaving or want rest. */
  listNotices(): readonly KnownNotice[];
  /** Endpoints that said that they are brittle. */
  listBrittle(): readonly KnownBrittle[];
  /** The timing of each registered engine; empty if the feature is off. */
  listTimings(): readonly KnownTiming[];
  /** The pace of each registered endpoint; empty if the feature is off. */
  listPaces(): readonly KnownPace[];
  /** Carries an exchange with an endpoint that a peer does not reach. */
  runCarried: CallForwarding['runCarried'];
  /** Calls of peers that are carried now. */
  countCarried(): number;
  /** Paths to endpoints that are not open. */
  listPaths(): readonly KnownPath[];
  stop(): void;
}
