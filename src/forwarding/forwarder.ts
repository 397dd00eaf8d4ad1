/**
 * Sends exchanges with endpoints through peers. Hands a request over only after a peer has accepted
 * it, and to another peer only if it was provably not sent.
 */
import type { OutgoingExchange } from '../calls/endpoint-exchanges.js';
import type { ExchangeFlow, ExchangeListener } from '../calls/endpoint-connections.js';
import type { RoutedCall } from '../calls/call-messages.js';
import type { Contact } from '../membership/membership-messages.js';
import type { TimerService, Unsubscribe } from '../runtime/timer-service.js';
import { assertNever } from '../utils/assert-never.js';
import type { PeerChooser } from './choose-peer.js';
import { FORWARD_REFUSAL } from './forward-messages.js';
import type {
  ForwardLinks,
  ForwardOffer,
  ForwardRefusal,
  ForwardResponse,
} from './forward-messages.js';

/** Several round trips to a busy peer; an offer that is not answered in time is withdrawn. */
const OFFER_TIMEOUT_MS = 300;
/** Peers asked for one attempt. */
const PEERS_MAX = 5;
/** Peers of one attempt that may fail to reach the endpoint before it counts as down. */
const FAILED_PEERS_MAX = 2;
/**
 * Peers without a path to the endpoint after which others than those of the own data centre are
 * asked: it may have lost its links as a whole.
 */
const NEAR_REFUSALS_MAX = 2;
/** A peer that is silent for longer after a request was handed over is asked after the others. */
const SILENT_PEER_MS = 500;
/** The peer ends an exchange that outlives its call by this. */
const STREAM_MARGIN_MS = 1000;

/** What became of an offer or a request that was handed over. */
export const FORWARD_RESULT = {
  Accepted: 'accepted',
  Unanswered: 'not answered',
  Unsupported: 'not known to its release',
  NotSent: 'not sent',
  Broken: 'broken',
} as const;
export type ForwardResult =
  (typeof FORWARD_RESULT)[keyof typeof FORWARD_RESULT] | `refused: ${ForwardRefusal}`;

export interface ForwardRecord {
  readonly call: RoutedCall;
  readonly endpoint: string;
  readonly peer: string;
  readonly result: ForwardResult;
  readonly detail: string;
  /** Time since the offer was sent. */
  readonly tookMs: number;
}

export interface ForwarderOptions {
  readonly self: string;
  readonly links: ForwardLinks;
  readonly peers: PeerChooser;
  readonly timers: TimerService;
  readonly getConfigurationVersion: () => number;
  /** Time of the source's clock at which the keys were surely valid; undefined if unknown. */
  readonly getKeyConfirmedAt: () => number | undefined;
  readonly onRecord: (record: ForwardRecord) => void;
}

/** Receives the exchange, or what became of it if no peer could carry it. */
export interface ForwardedListener extends ExchangeListener {
  /** The endpoint answered; `sentMs`: when the request was handed over. */
  onAnswering(sentMs: number): void;
  /**
   * No peer carries it; nothing was sent. `isEndpointDown`: peers tried, and could not reach the
   * endpoint.
   */
  onUnavailable(isEndpointDown: boolean): void;
}

export interface ForwardedWay {
  /** Its functions are set to hold the peer back. */
  readonly flow?: ExchangeFlow | undefined;
  /** Only these are asked, for a slot of their shares. */
  readonly owners?: readonly string[] | undefined;
  /** Peers asked at most. @default 5 */
  readonly peersMax?: number | undefined;
}

export interface Forwarder {
  /** Starts an exchange; the returned function ends it without further notifications. */
  open(exchange: OutgoingExchange, listener: ForwardedListener, way?: ForwardedWay): () => void;
}

/** How far an exchange has come with one peer. */
type Stage = 'offered' | 'handed_over' | 'answering' | 'over';

export function createForwarder(options: ForwarderOptions): Forwarder {
  const { links, peers, timers } = options;
  const getNow = (): number => timers.clock.monotonicMs();

  function buildOffer({ call, endpoint }: OutgoingExchange, usesShare: boolean): ForwardOffer {
    return {
      from: options.self,
      callId: call.callId,
      pool: call.pool,
      endpointStart: endpoint.startId,
      organisation: call.organisation,
      host: call.route.host,
      path: call.payload.target.split('?')[0] ?? '/',
      configurationVersion: options.getConfigurationVersion(),
      keyConfirmedAtMs: call.isAuthenticated ? options.getKeyConfirmedAt() : undefined,
      remainingMs: call.deadlineMs - getNow(),
      usesShare,
    };
  }

  function open(
    exchange: OutgoingExchange,
    listener: ForwardedListener,
    { flow, owners, peersMax = PEERS_MAX }: ForwardedWay = {},
  ): () => void {
    const { call, endpoint } = exchange;
    const asked = new Set<string>();
    let failedPeers = 0;
    let lostPeers = 0;
    let closeCurrent: () => void = () => undefined;

    function startNextOffer(): void {
      const isDone = asked.size >= peersMax || failedPeers >= FAILED_PEERS_MAX;
      const isElsewhere = failedPeers > 0 || lostPeers >= NEAR_REFUSALS_MAX;
      const peer = isDone ? undefined : peers.choose(endpoint.startId, asked, isElsewhere, owners);
      if (peer === undefined) {
        listener.onUnavailable(failedPeers > 0);
        return;
      }
      asked.add(peer.name);
      closeCurrent = runOffer(peer);
    }

    function runOffer(peer: Contact): () => void {
      const offeredMs = getNow();
      let stage: Stage = 'offered';
      let handedOverMs = 0;
      let stopTimer: Unsubscribe = () => undefined;

      function record(result: ForwardResult, detail = ''): void {
        const tookMs = getNow() - offeredMs;
        options.onRecord({ call, endpoint: endpoint.id, peer: peer.name, result, detail, tookMs });
      }

      function close(): void {
        stage = 'over';
        stopTimer();
        stream.close();
      }

      function closeForNext(result: ForwardResult, detail = ''): void {
        record(result, detail);
        close();
        startNextOffer();
      }

      function closeAsSent(reason: string): void {
        record(FORWARD_RESULT.Broken, reason);
        if (stage === 'handed_over') peers.recordUnhelpful(peer.name, endpoint.startId);
        close();
        listener.onError(true, `${peer.name}: ${reason}`);
      }

      function handleRefusal(reason: ForwardRefusal): void {
        if (reason === FORWARD_REFUSAL.PathLost) {
          lostPeers += 1;
          peers.recordUnhelpful(peer.name, endpoint.startId);
        } else if (reason !== FORWARD_REFUSAL.NoSlot) peers.recordUnavailable(peer.name);
        closeForNext(`refused: ${reason}`);
      }

      function sendRequest(): void {
        record(FORWARD_RESULT.Accepted);
        stopTimer();
        // The last look before the request is handed over; the peer looks again.
        if (!listener.isSendAllowed()) {
          close();
          listener.onWithheld();
          return;
        }
        stage = 'handed_over';
        handedOverMs = getNow();
        const request = exchange.buildRequest(call.deadlineMs - handedOverMs);
        stream.send({ kind: 'request', request });
      }

      function handleFailed(isSent: boolean, reason: string): void {
        if (isSent || stage === 'answering') {
          closeAsSent(reason);
          return;
        }
        failedPeers += 1;
        peers.recordUnhelpful(peer.name, endpoint.startId);
        closeForNext(FORWARD_RESULT.NotSent, reason);
      }

      /** Applies what may come after the request was handed over. */
      function handleAnswer(
        response: Exclude<ForwardResponse, { kind: 'accepted' | 'refused' }>,
      ): void {
        switch (response.kind) {
          case 'head':
            if (stage === 'handed_over') listener.onAnswering(handedOverMs);
            stage = 'answering';
            if (!listener.onHead(response.status, response.headers)) close();
            break;
          case 'data':
            if (!listener.onData(response.bytes)) close();
            break;
          case 'ended':
            close();
            listener.onEnd();
            break;
          case 'failed':
            handleFailed(response.isSent, response.reason);
            break;
          case 'withheld':
            close();
            listener.onWithheld();
            break;
          default:
            assertNever(response);
        }
      }

      function handleResponse(response: ForwardResponse): void {
        if (stage === 'over') return;
        if (response.kind === 'refused') {
          if (stage === 'offered') handleRefusal(response.reason);
        } else if (response.kind === 'accepted') {
          if (stage === 'offered') sendRequest();
        } else if (stage !== 'offered') handleAnswer(response);
      }

      function handleClosed(isUnsupported: boolean, reason: string): void {
        if (stage === 'over') return;
        if (stage !== 'offered') {
          closeAsSent(reason);
          return;
        }
        if (isUnsupported) peers.recordUnsupported(peer.name);
        else peers.recordUnavailable(peer.name);
        closeForNext(
          isUnsupported ? FORWARD_RESULT.Unsupported : FORWARD_RESULT.Unanswered,
          reason,
        );
      }

      const stream = links.open(peer.address, call.deadlineMs - offeredMs + STREAM_MARGIN_MS, {
        onResponse: handleResponse,
        onClosed: handleClosed,
      });
      if (flow !== undefined) {
        Object.assign(flow, { pause: () => stream.pause(), resume: () => stream.resume() });
      }
      stopTimer = timers.subscribeOnce(OFFER_TIMEOUT_MS, () => {
        links.renew(peer.address);
        handleClosed(false, `no reply within ${OFFER_TIMEOUT_MS} ms`);
      });
      stream.send({ kind: 'offer', offer: buildOffer(exchange, owners !== undefined) });
      return () => {
        if (stage === 'over') return;
        const isSilent = stage === 'handed_over' && getNow() - handedOverMs >= SILENT_PEER_MS;
        if (isSilent) peers.recordUnhelpful(peer.name, endpoint.startId);
        close();
      };
    }

    startNextOffer();
    return () => closeCurrent();
  }

  return { open };
}
