/** The stream bindings of a gateway, with the messages that instances exchange about them. */
import type { Contact } from '../membership/membership-messages.js';
import type { Datagrams } from '../peers/datagrams.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { CaseReport } from '../quarantine/case-ledger.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { BindingMessage } from '../stream-versions/binding-messages.js';
import { ENDED_KEPT_MS, createStreamVersions } from '../stream-versions/stream-versions.js';
import type { StreamObserver, StreamVersions } from '../stream-versions/stream-versions.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import type { PeerExchange } from './peer-exchange.js';

const TICK_MS = 100;
/** An endpoint takes longer to start, begin a stream and leave the registry again. */
const VIEW_GAP_MAX_MS = 4000;
/** Lower bound, and the life while there is no configuration. */
const STREAM_LIFE_MIN_MS = 10_000;

export interface CallStreamsOptions {
  readonly self: Contact;
  readonly timers: TimerService;
  readonly observer: StreamObserver;
  readonly datagrams: Pick<Datagrams, 'sendStreams' | 'sendStreamQuery' | 'sendStreamReply'>;
  readonly peers: Pick<PeerExchange, 'listPeers' | 'findAddress'>;
  readonly listRegistered: () => readonly RegisteredEndpoint[];
  readonly findEndpoint: (id: string) => RegisteredEndpoint | undefined;
  /** Age of a view of the registry that counts as confirmed. */
  readonly viewAgeMaxMs: number;
  /** Time since the view of the registry was last confirmed as the newest. */
  readonly computeViewAge: () => number;
}

export interface CallStreams extends StreamVersions {
  setConfiguration(configuration: TrafficConfiguration): void;
  /** Records the starts that ended lately, as crash cases name them. */
  recordCrashes(cases: readonly CaseReport[]): void;
}

export function createCallStreams(options: CallStreamsOptions): CallStreams {
  const { self, timers, datagrams, peers } = options;
  let streamLifeMs = STREAM_LIFE_MIN_MS;

  function sendMessage(message: BindingMessage): void {
    const address = peers.findAddress(message.to);
    if (address === undefined) return;
    switch (message.kind) {
      case 'told':
        datagrams.sendStreams(address, message.groups);
        break;
      case 'query':
        datagrams.sendStreamQuery(address, message.query);
        break;
      case 'reply':
        datagrams.sendStreamReply(address, message.reply);
        break;
      default:
        assertNever(message);
    }
  }

  const streams = createStreamVersions({
    self: self.name,
    getNow: () => timers.clock.monotonicMs(),
    listAlive: () => [...peers.listPeers(), self],
    listRegistered: options.listRegistered,
    find: options.findEndpoint,
    isViewConfirmed: () => options.computeViewAge() <= options.viewAgeMaxMs,
    isViewContinuous: () => options.computeViewAge() <= VIEW_GAP_MAX_MS,
    getStreamLifeMs: () => streamLifeMs,
    send: sendMessage,
    observer: options.observer,
  });
  timers.subscribe(TICK_MS, () => streams.advance());

  return {
    ...streams,
    setConfiguration({ routes }) {
      const timeoutMs = Math.max(0, ...routes.map((route) => route.timeoutMs));
      // All tries of a caller are within the time that it waits.
      streamLifeMs = Math.max(STREAM_LIFE_MIN_MS, timeoutMs);
    },
    recordCrashes(cases) {
      const starts: EndpointKey[] = cases.flatMap(({ crashes }) =>
        crashes
          .filter(({ crashedAgoMs }) => crashedAgoMs < ENDED_KEPT_MS)
          .map(({ start }) => start),
      );
      for (const start of starts) streams.recordEnded(start);
    },
  };
}
