/** What a call runner is made of. */
import type { RetryBounds } from '../attempts/shared-retry-budget.js';
import type { EndpointAvailability } from '../endpoint-availability/endpoint-availability.js';
import type { SendLimits } from '../endpoint-limits/send-limits.js';
import type { AnswerMemory } from '../memory/answer-memory.js';
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import type { Placer } from '../placement/placer.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { SlotShares } from '../slot-shares/slot-shares.js';
import type { StreamVersions } from '../stream-versions/stream-versions.js';
import type { EnabledFeatures } from '../types/features.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { RegisteredEndpoint, TrafficPool } from '../types/traffic.js';
import type { RoutedCall } from './call-messages.js';
import type { CallObserver } from './call-records.js';
import type { EndpointExchanges } from './endpoint-exchanges.js';
import type { EndpointProtocol } from './endpoint-protocol.js';

export interface CallRunnerOptions {
  readonly features: EnabledFeatures;
  readonly exchanges: EndpointExchanges;
  readonly protocol: EndpointProtocol;
  /** Memory for responses that are no streams. */
  readonly answers: Pick<AnswerMemory, 'open' | 'advance'>;
  readonly loads: EndpointLoads;
  readonly placer: Placer;
  readonly retryBounds: RetryBounds;
  readonly timers: TimerService;
  readonly observer: CallObserver;
  readonly listOpen: (pool: string) => readonly RegisteredEndpoint[];
  readonly findPool: (name: string) => TrafficPool | undefined;
  /** Number of instances that share the endpoints, including this one. */
  readonly countInstances: () => number;
  readonly quarantine: Pick<Quarantine, 'check' | 'isCondemned' | 'startWatch'>;
  readonly limits: Pick<SendLimits, 'choose' | 'take' | 'recordAnswer'>;
  readonly shares: Pick<
    SlotShares,
    'choose' | 'start' | 'recordAnswer' | 'recordRejected' | 'isBrittle'
  >;
  readonly availability: Pick<
    EndpointAvailability,
    'recordAnswer' | 'isAvailable' | 'choose' | 'computeReturnMs'
  >;
  readonly streams: Pick<
    StreamVersions,
    'resolve' | 'isFit' | 'isCurrent' | 'computeVersion' | 'recordStarted'
  >;
  /** Registered endpoints of a pool that are not leaving. */
  readonly listRegistered: (pool: string) => readonly RegisteredEndpoint[];
  /** An endpoint started the call, at a time of the monotonic clock; called once for each call. */
  readonly onStarted: (call: RoutedCall, startedMs: number) => void;
  /** Receives an error thrown while a call was handled; the call is ended, the others go on. */
  readonly onError: (error: unknown) => void;
  /** Returns a failure if the call must not be sent now; `isBegun`: its stream has begun. */
  readonly checkSendable: (call: RoutedCall, isBegun: boolean) => RequestFailure | undefined;
}
