/**
 * Exchanges with endpoints over this instance's own connections or through peers, as the state of the
 * path to the endpoint says.
 */
import { isStream } from '../calls/attempt-policy.js';
import type { RoutedCall } from '../calls/call-messages.js';
import type {
  EndpointConnections,
  EndpointRequest,
  ExchangeFlow,
  ExchangeListener,
} from '../calls/endpoint-connections.js';
import type { EndpointExchanges, OutgoingExchange } from '../calls/endpoint-exchanges.js';
import { CONNECTION_RESULT } from '../quarantine/crash-detector.js';
import type { ConnectionResult } from '../quarantine/crash-detector.js';
import type { TimerService } from '../runtime/timer-service.js';
import { CALL_KIND } from '../types/traffic.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import type { ForwardedWay, Forwarder } from './forwarder.js';
import { PATH_STATE } from './path-ledger.js';
import type { PathChange, PathLedger, PathTicket } from './path-ledger.js';

const TICK_MS = 100;
/** Silence after which an exchange is told that the loss of its path is confirmed. */
const LOST_SILENCE_MS = 1000;
/** The same once the registry has named another start of its endpoint. */
const ENDED_SILENCE_MS = 200;
/** Peers asked for a call that has another place, to learn whether they reach the endpoint. */
const TRIAL_PEERS_MAX = 1;
/** Silence that is usual for an exchange of a peer, whose route is not known here. */
const CARRIED_PATIENCE_MS = 2000;

export interface ForwardedExchangesOptions {
  readonly connections: Pick<EndpointConnections, 'open' | 'closeIdle'>;
  readonly ledger: PathLedger;
  readonly forwarder: Forwarder;
  readonly checkConnection: (address: string) => Promise<ConnectionResult>;
  readonly timers: TimerService;
  /** Instances that own slots of a brittle endpoint, if this one does not; else undefined. */
  readonly listOwners: (endpoint: RegisteredEndpoint) => readonly string[] | undefined;
  /** A peer got an answer of the endpoint to a request that was handed over. */
  readonly onPeerAnswered: (start: string) => void;
}

export interface ForwardedExchanges extends EndpointExchanges {
  /** Handles a change of a path; must be called for each. */
  handlePathChange(change: PathChange): void;
  /** The registry names another start of the endpoint at this address. */
  recordEnded(start: string): void;
  /** Starts an exchange over this instance's own connections alone. */
  openCarried(options: CarriedOptions, listener: ExchangeListener, flow: ExchangeFlow): () => void;
}

interface DirectOptions {
  readonly endpoint: RegisteredEndpoint;
  readonly connectionsMax: number;
  readonly request: EndpointRequest;
  /** Silence that is usual for the exchange. */
  readonly patienceMs: number;
  /** Whether it tries a path that returns. */
  readonly isTrial: boolean;
}

/** Holds as the exchange itself, and keeps its silence while it is held from counting. */
function createWatchedFlow(flow: ExchangeFlow, ticket: PathTicket): ExchangeFlow {
  const watched: ExchangeFlow = { pause: () => undefined, resume: () => undefined };
  Object.assign(flow, {
    pause() {
      ticket.recordHeld();
      watched.pause();
    },
    resume() {
      ticket.recordResumed();
      watched.resume();
    },
  });
  return watched;
}

/** An exchange that is carried for a peer. */
export type CarriedOptions = Pick<DirectOptions, 'endpoint' | 'connectionsMax' | 'request'>;

/** A direct exchange that has not ended. */
interface DirectExchange {
  readonly start: string;
  readonly address: string;
  readonly ticket: PathTicket;
  /** The registry has named another start of the endpoint since. */
  isStartEnded: boolean;
  reportLoss(): void;
}

function isRepeatable({ route: { kind } }: RoutedCall): boolean {
  return kind === CALL_KIND.Idempotent || kind === CALL_KIND.ResumableStream;
}

/** Silence that is usual for a call: until its first response, or between two events. */
function computePatienceMs({ route }: RoutedCall): number {
  return Math.max(route.targetMs, isStream(route.kind) ? (route.gapTargetMs ?? 0) : 0);
}

export function createForwardedExchanges(options: ForwardedExchangesOptions): ForwardedExchanges {
  const { connections, ledger, forwarder, timers } = options;
  const getNow = (): number => timers.clock.monotonicMs();
  const directExchanges = new Set<DirectExchange>();

  function startCheck({ startId, address }: OutgoingExchange['endpoint']): void {
    options.checkConnection(address).then(
      (result) => ledger.recordChecked(startId, result === CONNECTION_RESULT.Accepted),
      () => ledger.recordChecked(startId, false),
    );
  }

  function openDirect(
    { endpoint, connectionsMax, request, patienceMs, isTrial }: DirectOptions,
    listener: ExchangeListener,
    flow?: ExchangeFlow,
  ): () => void {
    const ticket = ledger.start(endpoint.startId, patienceMs, isTrial);
    let isOver = false;

    function recordOver(): void {
      isOver = true;
      directExchanges.delete(exchange);
      ticket.recordEnd();
    }

    function close(): void {
      recordOver();
      closeConnection();
    }

    const exchange: DirectExchange = {
      start: endpoint.startId,
      address: endpoint.address,
      ticket,
      isStartEnded: false,
      reportLoss: () => listener.onPathLost?.(),
    };
    directExchanges.add(exchange);
    const closeConnection = connections.open(
      endpoint.address,
      connectionsMax,
      request,
      {
        isSendAllowed: () => listener.isSendAllowed(),
        onWithheld() {
          recordOver();
          listener.onWithheld();
        },
        onHead(status, headers) {
          ticket.recordHeard();
          const isWanted = listener.onHead(status, headers);
          if (!isWanted) recordOver();
          return isWanted;
        },
        onData(bytes) {
          ticket.recordHeard();
          const isWanted = listener.onData(bytes);
          if (!isWanted) recordOver();
          return isWanted;
        },
        onEnd() {
          recordOver();
          listener.onEnd();
        },
        onError(isSent, reason, isUnreachable = false, isRefused = false) {
          if (isUnreachable) ticket.recordUnreachable();
          recordOver();
          listener.onError(isSent, reason, isUnreachable, isRefused);
        },
      },
      flow === undefined ? undefined : createWatchedFlow(flow, ticket),
    );
    return () => {
      if (!isOver) close();
    };
  }

  /** `onUnavailable` is called if no peer carries it. */
  function openForwarded(
    exchange: OutgoingExchange,
    listener: ExchangeListener,
    onUnavailable: () => void,
    way: ForwardedWay,
  ): () => void {
    const { startId } = exchange.endpoint;
    return forwarder.open(
      exchange,
      {
        ...listener,
        onAnswering(sentMs) {
          if (ledger.recordPeerAnswered(startId, sentMs)) startCheck(exchange.endpoint);
          options.onPeerAnswered(startId);
        },
        onUnavailable(isEndpointDown) {
          if (isEndpointDown) ledger.recordPeersFailed(startId);
          onUnavailable();
        },
      },
      way,
    );
  }

  /** Runs an exchange that may change its way before anything is sent. */
  function runExchange(
    exchange: OutgoingExchange,
    listener: ExchangeListener,
    flow?: ExchangeFlow,
  ): () => void {
    const { call, endpoint } = exchange;
    const { startId } = endpoint;
    let ways = 0;
    let closeCurrent: () => void = () => undefined;

    /** Starts a way; it may fail and be followed by another before it returns. */
    function setCurrent(startWay: () => () => void): void {
      ways += 1;
      const way = ways;
      const close = startWay();
      if (ways === way) closeCurrent = close;
    }

    /** Later, since the caller does not expect an end before the exchange has been opened. */
    function closeUnsent(reason: string): void {
      const way = ways;
      queueMicrotask(() => {
        if (ways === way) listener.onError(false, reason, true);
      });
    }

    function runForwarded(onUnavailable: () => void, peersMax?: number): void {
      setCurrent(() => openForwarded(exchange, listener, onUnavailable, { flow, peersMax }));
    }

    /** While no peer has reached the endpoint, the call does not search for one if it has another place. */
    function isSearchNeeded(): boolean {
      return ledger.isLossConfirmed(startId) || !exchange.hasOtherPlace();
    }

    function handleUnreachable(reason: string, isForwardable: boolean): void {
      const isLost = ledger.choose(startId, isRepeatable(call)).kind === 'peer';
      if (isForwardable && isLost && isSearchNeeded()) runForwarded(() => closeUnsent(reason));
      else closeUnsent(reason);
    }

    function runDirect(isTrial: boolean, isForwardable: boolean): void {
      const request = exchange.buildRequest(call.deadlineMs - getNow());
      const patienceMs = computePatienceMs(call);
      const { connectionsMax } = exchange;
      setCurrent(() =>
        openDirect(
          { endpoint, connectionsMax, request, patienceMs, isTrial },
          {
            ...listener,
            onError(isSent, reason, isUnreachable = false, isRefused = false) {
              if (isUnreachable) handleUnreachable(reason, isForwardable);
              else listener.onError(isSent, reason, false, isRefused);
            },
          },
          flow,
        ),
      );
    }

    const close = (): void => {
      ways += 1;
      closeCurrent();
    };
    const owners = options.listOwners(endpoint);
    if (owners !== undefined) {
      const reason = 'no slot of the endpoint is free for this instance';
      setCurrent(() =>
        openForwarded(exchange, listener, () => closeUnsent(reason), { flow, owners }),
      );
      return close;
    }
    const choice = ledger.choose(startId, isRepeatable(call));
    switch (choice.kind) {
      case 'direct':
        runDirect(false, true);
        break;
      case 'trial':
        runDirect(true, true);
        break;
      case 'peer_first':
        runForwarded(() => runDirect(false, false));
        break;
      case 'peer':
        if (choice.isCheckDue) startCheck(endpoint);
        runForwarded(
          () => closeUnsent('the endpoint is reached neither directly nor through a peer'),
          isSearchNeeded() ? undefined : TRIAL_PEERS_MAX,
        );
        break;
      default:
        assertNever(choice);
    }
    return close;
  }

  /**
   * Guards against calls that hang on a lost path, or on a start that has ended, though they could go on
   * elsewhere. None is ended here: the endpoint may be silent and sound, a new start may have got the request
   * before its entry came, and a call that may run only once gains nothing by an early end.
   */
  function isProbablyLost({ start, ticket, isStartEnded }: DirectExchange): boolean {
    const silenceMs = ticket.computeSilence();
    if (isStartEnded && silenceMs >= ENDED_SILENCE_MS) return true;
    return ledger.isLossConfirmed(start) && silenceMs >= LOST_SILENCE_MS;
  }

  function publishLostPaths(): void {
    for (const exchange of [...directExchanges])
      if (isProbablyLost(exchange)) exchange.reportLoss();
  }

  timers.subscribe(TICK_MS, () => {
    ledger.advance();
    publishLostPaths();
  });

  return {
    open: runExchange,
    recordEnded(start) {
      for (const exchange of directExchanges) {
        if (exchange.start === start) exchange.isStartEnded = true;
      }
    },
    openCarried: (carried, listener, flow) =>
      openDirect({ ...carried, patienceMs: CARRIED_PATIENCE_MS, isTrial: false }, listener, flow),
    handlePathChange({ start, state }) {
      if (state !== PATH_STATE.Lost) return;
      for (const exchange of directExchanges) {
        if (exchange.start === start) connections.closeIdle(exchange.address);
      }
    },
  };
}
