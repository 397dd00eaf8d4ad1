/**
 * Decides whether a requested attempt is sent now, to which endpoint, waits at this instance or is
 * rejected. Performs no I/O.
 */
import type { EndpointAvailability } from '../endpoint-availability/endpoint-availability.js';
import type { SendChoice, SendLimits } from '../endpoint-limits/send-limits.js';
import { ADMISSION } from '../placement/admission-decision.js';
import type { Admission } from '../placement/admission-decision.js';
import type { Placement } from '../placement/choose-endpoint.js';
import type { Placer } from '../placement/placer.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import type { SlotShares } from '../slot-shares/slot-shares.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import type { CallCommand, RoutedCall } from './call-messages.js';
import type { StreamVersions } from '../stream-versions/stream-versions.js';
import type { VersionKey } from '../stream-versions/stream-binding.js';
import { NO_CAPACITY, NO_ENDPOINT, STREAM_UNKNOWN, VERSION_GONE } from './call-refusals.js';
import { WAIT_REASON } from './wait-reason.js';
import type { WaitReason } from './wait-reason.js';

/** Other engines that are tried for a call before it is refused: each try weighs the whole pool. */
const ALTERNATIVES_MAX = 2;

/** Attempt that is to be sent, going on after `lastEventId` if it is set. */
export type AttemptCommand = Pick<
  Extract<CallCommand, { kind: 'attempt' }>,
  'attempt' | 'lastEventId'
>;

export type SendDecision =
  | { readonly kind: 'send'; readonly placement: Placement }
  | { readonly kind: 'wait'; readonly reason: WaitReason }
  | { readonly kind: 'reject'; readonly failure: RequestFailure };

export interface SendDeciderOptions {
  readonly placer: Pick<Placer, 'choose' | 'chooseAdmission' | 'recordRefused'>;
  readonly availability: Pick<EndpointAvailability, 'choose'>;
  readonly limits: Pick<SendLimits, 'choose' | 'take'>;
  readonly shares: Pick<SlotShares, 'choose'>;
  readonly quarantine: Pick<Quarantine, 'check'>;
  readonly streams: Pick<StreamVersions, 'resolve' | 'isFit'>;
  /** Registered endpoints of a pool that are not leaving. */
  readonly listRegistered: (pool: string) => readonly RegisteredEndpoint[];
  /** Whether a call that one engine has no room for goes to another before it is refused. */
  readonly triesOtherEngines: (pool: string) => boolean;
  /** Returns a failure if the call must not be sent now; `isBegun`: its stream has begun. */
  readonly checkSendable: (call: RoutedCall, isBegun: boolean) => RequestFailure | undefined;
  readonly getNow: () => number;
}

/** What earlier attempts of a call leave to the next. */
export interface AttemptHistory {
  /** Ids of endpoints that the call was sent to. */
  readonly tried: readonly string[];
  /** Version that wrote the events that were delivered; undefined before the first. */
  readonly version: VersionKey | undefined;
}

export interface SendDecider {
  choose(call: RoutedCall, command: AttemptCommand, history: AttemptHistory): SendDecision;
  /** Returns where a call that runs at an endpoint can be sent at once instead; undefined if nowhere. */
  findPlace(
    call: RoutedCall,
    command: AttemptCommand,
    history: AttemptHistory,
  ): Placement | undefined;
}

interface Target {
  readonly placement: Placement;
  readonly admission: Admission;
}

interface TargetInput {
  readonly call: RoutedCall;
  readonly command: AttemptCommand;
  readonly tried: readonly string[];
  readonly isAlone: boolean;
}

/** The endpoint that was chosen has no room for the call. */
const FULL: SendDecision = { kind: 'reject', failure: NO_CAPACITY };

function buildWait(reason: WaitReason): SendDecision {
  return { kind: 'wait', reason };
}

export function createSendDecider(options: SendDeciderOptions): SendDecider {
  const { placer, limits, getNow } = options;

  function findTarget(
    { call, command, tried, isAlone }: TargetInput,
    endpoints: readonly RegisteredEndpoint[],
  ): Target | undefined {
    const nowMs = getNow();
    const placement = placer.choose(call, endpoints, tried, isAlone, nowMs);
    if (placement === undefined) return undefined;
    const isResumed = command.lastEventId !== undefined;
    return { placement, admission: placer.chooseAdmission(call, placement, isResumed, nowMs) };
  }

  /**
   * Tries other engines for a call that would be refused. Not done while the call may still wait: reading
   * its prefix elsewhere would slow down more calls than it helps.
   */
  function findAlternative(
    input: TargetInput,
    endpoints: readonly RegisteredEndpoint[],
    preferred: Target,
  ): Target {
    const isRefused = preferred.admission === ADMISSION.Refuse;
    if (!isRefused || !options.triesOtherEngines(input.call.pool)) return preferred;
    const tried = [...input.tried];
    let target: Target | undefined = preferred;
    for (let count = 0; count < ALTERNATIVES_MAX && target !== undefined; count += 1) {
      tried.push(target.placement.endpoint.id);
      target = findTarget({ ...input, tried }, endpoints);
      if (target?.admission === ADMISSION.Send) return target;
    }
    return preferred;
  }

  function chooseTarget(
    input: TargetInput,
    { endpoints, untested }: Extract<SendChoice, { kind: 'send' }>,
  ): Target | undefined {
    if (untested !== undefined) {
      const target = findTarget(input, [untested]);
      if (target?.admission === ADMISSION.Send) return target;
    }
    const target = findTarget(input, endpoints);
    return target === undefined ? undefined : findAlternative(input, endpoints, target);
  }

  /** Leaves out brittle endpoints of which this instance's share is in use. */
  function chooseShared(
    call: RoutedCall,
    choice: Extract<SendChoice, { kind: 'send' }>,
    excluded: readonly string[],
  ): SendChoice {
    const { untested } = choice;
    const endpoints = choice.endpoints.filter(({ id }) => !excluded.includes(id));
    const all = untested === undefined ? endpoints : [untested, ...endpoints];
    const shared = options.shares.choose(call, all);
    if (shared.kind !== 'send') return shared;
    const free = new Set(shared.endpoints);
    return {
      kind: 'send',
      endpoints: endpoints.filter((endpoint) => free.has(endpoint)),
      ...(untested !== undefined && free.has(untested) ? { untested } : {}),
    };
  }

  function resolveTarget({ call, command }: TargetInput, target: Target): SendDecision {
    const { placement, admission } = target;
    switch (admission) {
      case ADMISSION.Send:
        // Every request to an endpoint is charged here, whatever its reason.
        return limits.take(call, command.attempt, placement.endpoint)
          ? { kind: 'send', placement }
          : buildWait(WAIT_REASON.RateLimit);
      case ADMISSION.Wait:
        return buildWait(WAIT_REASON.EngineRoom);
      case ADMISSION.Refuse:
        return FULL;
      default:
        return assertNever(admission);
    }
  }

  /** Chooses among the endpoints that are not excluded. */
  function chooseAmong(
    call: RoutedCall,
    command: AttemptCommand,
    excluded: readonly string[],
    isAlone: boolean,
  ): SendDecision {
    const availability = options.availability.choose(call, excluded);
    if (availability.kind === 'wait') return buildWait(WAIT_REASON.EndpointRest);
    if (availability.kind === 'refuse') return { kind: 'reject', failure: availability.failure };
    const choice = limits.choose(call, command.attempt, excluded);
    if (choice.kind === 'wait') return buildWait(WAIT_REASON.RateLimit);
    if (choice.kind === 'refuse') return { kind: 'reject', failure: choice.failure };
    const shared = chooseShared(call, choice, excluded);
    if (shared.kind === 'wait') return buildWait(WAIT_REASON.EndpointShare);
    if (shared.kind === 'refuse') return { kind: 'reject', failure: shared.failure };
    const input: TargetInput = { call, command, tried: excluded, isAlone };
    const target = chooseTarget(input, shared);
    if (target === undefined) return { kind: 'reject', failure: NO_ENDPOINT };
    return resolveTarget(input, target);
  }

  /** Leaves out the endpoints at which a stream of the version may not go on. */
  function chooseOfVersion(
    call: RoutedCall,
    command: AttemptCommand,
    { tried, version }: AttemptHistory & { readonly version: VersionKey },
    isAlone: boolean,
  ): SendDecision {
    const registered = options.listRegistered(call.pool);
    const unfit = registered.filter((endpoint) => !options.streams.isFit(endpoint, version));
    if (unfit.length === registered.length) return { kind: 'reject', failure: VERSION_GONE };
    return chooseAmong(call, command, [...tried, ...unfit.map(({ id }) => id)], isAlone);
  }

  function chooseForStream(
    call: RoutedCall,
    command: AttemptCommand,
    history: AttemptHistory,
    isAlone: boolean,
  ): SendDecision {
    const { tried, version } = history;
    if (version !== undefined) return chooseOfVersion(call, command, { tried, version }, isAlone);
    const stream = options.streams.resolve(call);
    switch (stream.kind) {
      case 'any':
        return chooseAmong(call, command, tried, isAlone);
      case 'bound':
        return chooseOfVersion(call, command, { tried, version: stream.version }, isAlone);
      case 'wait':
        return buildWait(WAIT_REASON.StreamVersion);
      case 'unknown':
        return { kind: 'reject', failure: STREAM_UNKNOWN };
      default:
        return assertNever(stream);
    }
  }

  function resolveDecision(
    call: RoutedCall,
    command: AttemptCommand,
    history: AttemptHistory,
  ): SendDecision {
    const isBegun = history.version !== undefined || call.lastEventId !== undefined;
    const failure = options.checkSendable(call, isBegun);
    if (failure !== undefined) return { kind: 'reject', failure };
    const verdict = options.quarantine.check(call);
    if (verdict.kind === 'wait') return buildWait(WAIT_REASON.Quarantine);
    if (verdict.kind === 'refuse') return { kind: 'reject', failure: verdict.failure };
    return chooseForStream(call, command, history, verdict.isAlone);
  }

  return {
    choose(call, command, history) {
      const decision = resolveDecision(call, command, history);
      if (decision === FULL) placer.recordRefused(call, getNow());
      return decision;
    },
    findPlace(call, command, history) {
      const isTried = ({ id }: RegisteredEndpoint): boolean => history.tried.includes(id);
      if (options.listRegistered(call.pool).every(isTried)) return undefined;
      const decision = resolveDecision(call, command, history);
      return decision.kind === 'send' ? decision.placement : undefined;
    },
  };
}
