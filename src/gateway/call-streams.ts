/** The stream bindings of a gateway, with the messages that instances exchange about them. */
import type { Contact } from '../membership/membership-messages.js';
import type { Datagrams } from '../peers/datagrams.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { CaseReport } from '../quarantine/case-ledger.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { BindingMessage } from '../stream-versions/binding-messages.js';
import { createStoredStreams } from '../stream-versions/stored-streams.js';
import { createStreamLife } from '../stream-versions/stream-life.js';
import type { EndpointChanges, StreamStore, VersionClaim } from '../stream-versions/stream-row.js';
import { createStreamRowWriter } from '../stream-versions/stream-row-writer.js';
import { ENDED_KEPT_MS, createStreamVersions } from '../stream-versions/stream-versions.js';
import type { StreamObserver, StreamVersions } from '../stream-versions/stream-versions.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import { assertNever } from '../utils/assert-never.js';
import type { PeerExchange } from './peer-exchange.js';

const TICK_MS = 100;
/** Interval at which looks at the registry that are due are sent. */
const LOOK_TICK_MS = 25;
/** Endpoints named in a claim, so that it fits a row. */
const CLAIMED_ENDPOINTS_MAX = 4000;

export interface CallStreamsOptions {
  readonly self: Contact;
  readonly timers: TimerService;
  readonly observer: StreamObserver;
  readonly datagrams: Pick<Datagrams, 'sendStreams' | 'sendStreamQuery' | 'sendStreamReply'>;
  readonly peers: Pick<PeerExchange, 'listPeers' | 'findAddress'>;
  readonly listRegistered: () => readonly RegisteredEndpoint[];
  /** Whether an entry of the registry exists that could not be read. */
  readonly hasUnreadable: () => boolean;
  readonly findEndpoint: (id: string) => RegisteredEndpoint | undefined;
  /** Age of a view of the registry that counts as confirmed. */
  readonly viewAgeMaxMs: number;
  /** Age of a view of the registry up to which an instance begins streams. */
  readonly servingAgeMaxMs: number;
  /** Time since the view of the registry was last confirmed as the newest. */
  readonly computeViewAge: () => number;
  /** Revision of the registry up to which all changes are known; 0 before its first list. */
  readonly getRegistryRevision: () => number;
  /** Revision of the last change of the registry that is known. */
  readonly getChangeRevision: () => number;
  /** Names the rows of this start of the instance. */
  readonly rowKey: string;
  readonly store: StreamStore;
  /** The store's clock; undefined while unknown. */
  readonly getSourceNow: () => number | undefined;
}

export interface CallStreams extends StreamVersions {
  setConfiguration(configuration: TrafficConfiguration): void;
  /** Sets whether this instance leads the watch of the registry. */
  setLeading(isLeading: boolean): void;
  /** Records the starts that ended lately, as crash cases name them. */
  recordCrashes(cases: readonly CaseReport[]): void;
}

export function createCallStreams(options: CallStreamsOptions): CallStreams {
  const { self, timers, datagrams, peers, store } = options;
  const getNow = (): number => timers.clock.monotonicMs();
  const life = createStreamLife(getNow);
  let isLeading = false;

  function isViewConfirmed(): boolean {
    return options.computeViewAge() <= options.viewAgeMaxMs && options.getRegistryRevision() > 0;
  }

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

  /** Another instance that has not heard of a version's end may begin streams on it for some time. */
  function getCoveredMs(): number {
    return life.get() + options.servingAgeMaxMs;
  }

  function startLook(
    revision: number,
    onEnded: (changes: EndpointChanges | undefined) => void,
  ): void {
    store.listEndpointChanges(revision).then(onEnded, () => onEnded(undefined));
  }

  const streams = createStreamVersions({
    self: self.name,
    getNow,
    listAlive: () => [...peers.listPeers(), self],
    listRegistered: options.listRegistered,
    find: options.findEndpoint,
    isViewConfirmed,
    // An entry that cannot be read may be of any pool and version.
    isViewContinuous: () => options.getRegistryRevision() > 0 && !options.hasUnreadable(),
    getRegistryRevision: options.getRegistryRevision,
    getChangeRevision: options.getChangeRevision,
    startLook,
    life,
    getCoveredMs,
    resolveStored: (key, pool) => stored.resolve(key, pool),
    send: sendMessage,
    observer: options.observer,
  });

  const stored = createStoredStreams({
    store,
    getNow,
    isViewReady: isViewConfirmed,
    getLifeMs: () => life.get(),
    onLife: (lifeMs) => life.recordStored(lifeMs),
    onClaim(claim) {
      streams.recordClaim(claim);
      options.observer.onClaim(claim.pools.length);
    },
    onRead: (read) => options.observer.onStoredRead(read),
  });

  function buildClaim(): VersionClaim | undefined {
    if (!isLeading || !isViewConfirmed()) return undefined;
    const pools = streams.listOnly();
    const endpoints = options.listRegistered().map(({ id }) => hashName(id));
    if (pools.length === 0 || endpoints.length > CLAIMED_ENDPOINTS_MAX) return undefined;
    const revision = options.getRegistryRevision();
    return { revision, pools, endpoints, coveredMs: getCoveredMs() };
  }

  const writer = createStreamRowWriter({
    key: options.rowKey,
    store,
    getNow,
    getSourceNow: options.getSourceNow,
    countInstances: () => peers.listPeers().length + 1,
    getLifeMs: () => life.get(),
    listStreams: () => streams.listUnconcluded(),
    getClaim: buildClaim,
    isLeading: () => isLeading,
  });

  timers.subscribe(TICK_MS, () => {
    streams.advance();
    stored.advance();
    writer.advance();
  });
  timers.subscribe(LOOK_TICK_MS, () => streams.advanceLooks());

  return {
    ...streams,
    setConfiguration({ routes }) {
      // All tries of a caller are within the time that it waits.
      life.recordRoutes(Math.max(0, ...routes.map((route) => route.timeoutMs)));
    },
    setLeading(next) {
      isLeading = next;
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
