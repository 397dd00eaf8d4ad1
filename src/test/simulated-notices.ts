/** Simulated endpoints that say in their responses that they are leaving or want rest. */
import type { ExchangeListener } from '../calls/endpoint-connections.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import { QUEUE_FULL_STATUS } from './simulated-engine.js';

/** What one endpoint says in its responses in a span of time. */
export interface SimulatedNotice {
  readonly endpoint: number;
  /** Time on the simulation's clock. */
  readonly fromMs: number;
  readonly untilMs: number;
  /**
   * Rest that it asks for while it turns every request away; undefined if it says that it is leaving
   * and serves on.
   */
  readonly restMs: number | undefined;
}

export interface SimulatedNotices {
  /** Starts an exchange at an endpoint of which `start` is the ordinary course. */
  open(
    endpoint: number,
    instance: string,
    callId: string,
    listener: ExchangeListener,
    start: (listener: ExchangeListener) => () => void,
  ): () => void;
  /** Most requests of one instance that a notice forbade. */
  countForbidden(): number;
  /** Requests that resting endpoints turned away. */
  countRejected(): number;
  /** Requests to leaving endpoints after the first response that said so, from all instances. */
  countSentToLeaving(): number;
}

interface Word {
  readonly notice: SimulatedNotice;
  readonly instance: string;
  readonly saidMs: number;
}

interface Arrival {
  readonly endpoint: number;
  readonly instance: string;
  readonly atMs: number;
}

/** Time after a response from which a rest binds, and from which leaving does. */
const REST_FROM_MS = 500;
const LEAVING_FROM_MS = 2000;
const RESPONSE_MS = 5;

function isForbidden({ notice, instance, saidMs }: Word, arrival: Arrival): boolean {
  if (arrival.endpoint !== notice.endpoint || arrival.instance !== instance) return false;
  const sinceMs = arrival.atMs - saidMs;
  if (notice.restMs === undefined) return sinceMs > LEAVING_FROM_MS;
  return sinceMs > REST_FROM_MS && sinceMs < notice.restMs;
}

export function createSimulatedNotices(
  time: VirtualTime,
  notices: readonly SimulatedNotice[],
): SimulatedNotices {
  const words: Word[] = [];
  const arrivals: Arrival[] = [];
  let rejected = 0;

  function findNotice(endpoint: number): SimulatedNotice | undefined {
    const nowMs = time.getNow();
    return notices.find(
      (notice) => notice.endpoint === endpoint && nowMs >= notice.fromMs && nowMs < notice.untilMs,
    );
  }

  function recordWord(notice: SimulatedNotice, instance: string): void {
    words.push({ notice, instance, saidMs: time.getNow() });
  }

  function sendRejection(
    notice: SimulatedNotice,
    instance: string,
    callId: string,
    listener: ExchangeListener,
  ): () => void {
    let isCancelled = false;
    rejected += 1;
    time.add(undefined, RESPONSE_MS, () => {
      if (isCancelled) return;
      recordWord(notice, instance);
      listener.onHead(QUEUE_FULL_STATUS, [
        { name: 'call', value: callId },
        { name: 'rest', value: String((notice.restMs ?? 0) / 1000) },
      ]);
      listener.onEnd();
    });
    return () => {
      isCancelled = true;
    };
  }

  /** Adds that the endpoint is leaving to the head of its response. */
  function addLeaving(
    notice: SimulatedNotice,
    instance: string,
    listener: ExchangeListener,
  ): ExchangeListener {
    return {
      ...listener,
      onHead(status, headers) {
        recordWord(notice, instance);
        return listener.onHead(status, [...headers, { name: 'leaving', value: '1' }]);
      },
    };
  }

  return {
    open(endpoint, instance, callId, listener, start) {
      arrivals.push({ endpoint, instance, atMs: time.getNow() });
      const notice = findNotice(endpoint);
      if (notice === undefined) return start(listener);
      if (notice.restMs !== undefined) return sendRejection(notice, instance, callId, listener);
      return start(addLeaving(notice, instance, listener));
    },
    countForbidden: () =>
      Math.max(
        0,
        ...words.map((word) => arrivals.filter((arrival) => isForbidden(word, arrival)).length),
      ),
    countRejected: () => rejected,
    countSentToLeaving() {
      const leaving = words.filter(({ notice }) => notice.restMs === undefined);
      return arrivals.filter(({ endpoint, atMs }) =>
        leaving.some(({ notice, saidMs }) => notice.endpoint === endpoint && atMs > saidMs),
      ).length;
    },
  };
}
