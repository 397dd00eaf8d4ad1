/** Endpoints for randomised runs: what they were told to run, frame by frame, with their faults. */
import type { AvailabilityNotice } from '../endpoint-availability/availability-notice.js';
import type {
  AttemptListener,
  CompletionAttempt,
  EndpointClient,
  ServiceResult,
} from '../node/endpoint-client.js';
import type { EndpointDeclaration } from '../types/declarations.js';
import type { Random } from '../utils/random.js';
import {
  checkRoom,
  computeTimeFactor,
  createFakeEndpoint,
  isCrashing,
  isReportedLeaving,
  stopEndpoint,
  takeRequest,
} from './fake-endpoint.js';
import type { FakeEndpoint } from './fake-endpoint.js';
import { buildNotice, createNoticeWatch } from './fake-notices.js';
import type { FakeNotice } from './fake-notices.js';
import type { FakeNetwork } from './fake-network.js';
import type { Actor, VirtualTime } from './virtual-time.js';

/** What endpoints saw, for checks. */
export interface EndpointLog {
  /** Attempts that reached an endpoint, by attempt id. */
  readonly ran: Set<string>;
  /** How often each idempotency key ran at a service. */
  readonly runsByKey: Map<string, number>;
  /** Breaches that only endpoints can see. */
  readonly breaches: string[];
}

/** All endpoints. */
export interface FakeEndpoints {
  readonly log: EndpointLog;
  readonly list: readonly FakeEndpoint[];
  createClient(actor: Actor, dataCentre: string): EndpointClient;
}

const STEP_MS = 20;
const CONNECT_MS = 1;
const CONNECT_TIMEOUT_MS = 800;
const SERVICE_MS = 15;
/** An endpoint that is leaving may still get work for this long. */
const LEAVING_GRACE_MS = 3000;

/** The text of one frame, fixed by the prompt. */
export function buildFrameText(prompt: string, index: number): string {
  return `${prompt}#${index} `;
}

/** Prompts say how many frames their answer has: `name|frames`. */
export function parseFrames(prompt: string): number {
  return Number(prompt.split('|')[1]);
}

interface ParsedAttempt {
  readonly prompt: string;
  readonly offset: number;
}

function parseAttempt(attempt: CompletionAttempt): ParsedAttempt {
  const body = JSON.parse(attempt.body) as { messages: { content: string }[] };
  return { prompt: body.messages[0]?.content ?? '', offset: attempt.offset };
}

/** Builds endpoints. */
export function createFakeEndpoints(
  time: VirtualTime,
  random: Random,
  network: FakeNetwork,
  declared: readonly EndpointDeclaration[],
): FakeEndpoints {
  const log: EndpointLog = { ran: new Set(), runsByKey: new Map(), breaches: [] };
  const byName = new Map<string, FakeEndpoint>();
  for (const { name, dataCentre, slots } of declared) {
    byName.set(name, createFakeEndpoint(name, dataCentre, slots));
  }

  function checkLeaving(endpoint: FakeEndpoint, attemptId: string): void {
    const { leavingSinceMs } = endpoint;
    const isOutlived =
      leavingSinceMs !== undefined && time.getNow() - leavingSinceMs > LEAVING_GRACE_MS;
    if (isOutlived)
      log.breaches.push(`${endpoint.name} got ${attemptId} long after it began to leave`);
  }

  return {
    log,
    list: [...byName.values()],
    createClient(actor, dataCentre) {
      const watch = createNoticeWatch(time, log.breaches);

      /** Runs `run` at the endpoint once connected; reports what connecting came to. */
      function openConnection(
        declaration: EndpointDeclaration,
        run: (endpoint: FakeEndpoint) => void,
        onUnsent: () => void,
      ): void {
        const endpoint = byName.get(declaration.name);
        if (endpoint === undefined || endpoint.isCrashed) {
          time.add(actor, CONNECT_MS, onUnsent);
        } else if (
          !network.troubles.withoutEndpoints.has(actor.name) &&
          network.isOpen(dataCentre, endpoint.dataCentre) &&
          network.isOpen(endpoint.dataCentre, dataCentre)
        ) {
          time.add(undefined, CONNECT_MS, () => run(endpoint));
        } else {
          time.add(actor, CONNECT_TIMEOUT_MS, onUnsent);
        }
      }

      function isConnected(endpoint: FakeEndpoint): boolean {
        return (
          !network.troubles.withoutEndpoints.has(actor.name) &&
          network.isOpen(endpoint.dataCentre, dataCentre) &&
          !actor.isDead
        );
      }

      function recordArrival(endpoint: FakeEndpoint, attemptId: string): void {
        if (!endpoint.saysLeaving) watch.forget(endpoint.name);
        watch.recordArrival(endpoint.name, attemptId);
      }

      /** Sends what an endpoint says of itself in the head of a response. */
      function sendNotice(
        endpoint: FakeEndpoint,
        listener: { onNotice(notice: AvailabilityNotice): void },
        told: FakeNotice,
        isCancelled: () => boolean,
        onRead: () => void,
      ): void {
        if (!isConnected(endpoint)) return;
        time.add(actor, CONNECT_MS, () => {
          if (isCancelled()) return;
          watch.recordTold(endpoint.name, told);
          listener.onNotice(buildNotice(told));
          onRead();
        });
      }

      function sendHead(
        endpoint: FakeEndpoint,
        listener: { onNotice(notice: AvailabilityNotice): void },
        isCancelled: () => boolean,
      ): void {
        const told = { saysLeaving: endpoint.saysLeaving, restMs: 0 };
        sendNotice(endpoint, listener, told, isCancelled, () => undefined);
      }

      function sendRejection(
        endpoint: FakeEndpoint,
        listener: { onNotice(notice: AvailabilityNotice): void },
        isCancelled: () => boolean,
        onRead: () => void,
      ): void {
        const { saysLeaving, restMs, nextTakenMs } = endpoint;
        const leftMs = restMs > 0 ? restMs : Math.max(1, nextTakenMs - time.getNow());
        sendNotice(endpoint, listener, { saysLeaving, restMs: leftMs }, isCancelled, onRead);
      }

      function sendFrame(
        attempt: CompletionAttempt,
        listener: AttemptListener,
        prompt: string,
        index: number,
        badFrames: number,
      ): void {
        const text = buildFrameText(prompt, index);
        const chance = random.next();
        if (chance < badFrames / 3) listener.onFrame('another-attempt', index, 'STOLEN ');
        if (chance >= badFrames / 3 && chance < (badFrames * 2) / 3) {
          listener.onFrame(attempt.attemptId, index, text);
        }
        const isLeftOut = chance >= (badFrames * 2) / 3 && chance < badFrames;
        if (!isLeftOut) listener.onFrame(attempt.attemptId, index, text);
      }

      function runStream(
        endpoint: FakeEndpoint,
        attempt: CompletionAttempt,
        listener: AttemptListener,
        isCancelled: () => boolean,
      ): void {
        const { prompt, offset } = parseAttempt(attempt);
        const frames = parseFrames(prompt);
        let index = offset;
        const taking = endpoint;
        taking.running += 1;
        function runStep(): void {
          if (isCancelled() || actor.isDead) {
            taking.running -= 1;
            return;
          }
          if (endpoint.isCrashed) {
            taking.running -= 1;
            time.add(actor, CONNECT_MS, () => listener.onEnded('broken'));
            return;
          }
          const current = index;
          const isSilent = endpoint.isFrozen || !isConnected(endpoint);
          if (!isSilent) index += 1;
          if (!isSilent && current < frames) {
            time.add(actor, CONNECT_MS, () => {
              if (isCancelled()) return;
              sendFrame(attempt, listener, prompt, current, endpoint.badFrames);
            });
          }
          if (!isSilent && current >= frames) {
            taking.running -= 1;
            time.add(actor, CONNECT_MS, () => {
              if (!isCancelled()) listener.onFinished(attempt.attemptId, frames, 'stop');
            });
            return;
          }
          time.add(undefined, STEP_MS * computeTimeFactor(endpoint), runStep);
        }
        runStep();
      }

      return {
        startCompletion(declaration, attempt, listener) {
          let isStopped = false;
          const isCancelled = (): boolean => isStopped;
          openConnection(
            declaration,
            (endpoint) => {
              recordArrival(endpoint, attempt.attemptId);
              if (!takeRequest(endpoint, time.getNow())) {
                sendRejection(endpoint, listener, isCancelled, () => listener.onEnded('resting'));
                return;
              }
              if (endpoint.isLeaving) {
                time.add(actor, CONNECT_MS, () => listener.onEnded('leaving'));
                checkLeaving(endpoint, attempt.attemptId);
                return;
              }
              if (!checkRoom(endpoint, time)) {
                time.add(actor, CONNECT_MS, () => listener.onEnded('broken'));
                return;
              }
              log.ran.add(attempt.attemptId);
              if (isCrashing(endpoint, attempt.attemptId)) stopEndpoint(endpoint, time);
              else sendHead(endpoint, listener, isCancelled);
              runStream(endpoint, attempt, listener, isCancelled);
            },
            () => {
              if (!isStopped) listener.onEnded('unsent');
            },
          );
          return () => {
            isStopped = true;
          };
        },
        startService(declaration, attempt, listener) {
          let isStopped = false;
          const end = (ending: ServiceResult): void => {
            time.add(actor, CONNECT_MS, () => {
              if (!isStopped) listener.onEnded(ending);
            });
          };
          const isCancelled = (): boolean => isStopped;
          openConnection(
            declaration,
            (endpoint) => {
              recordArrival(endpoint, attempt.attemptId);
              if (!takeRequest(endpoint, time.getNow())) {
                sendRejection(endpoint, listener, isCancelled, () =>
                  listener.onEnded({ kind: 'ended', ending: 'resting' }),
                );
                return;
              }
              if (endpoint.isLeaving) {
                end({ kind: 'ended', ending: 'leaving' });
                checkLeaving(endpoint, attempt.attemptId);
                return;
              }
              if (!checkRoom(endpoint, time)) {
                end({ kind: 'ended', ending: 'broken' });
                return;
              }
              const taking = endpoint;
              taking.running += 1;
              log.ran.add(attempt.attemptId);
              const key = attempt.headers['idempotency-key'] ?? attempt.attemptId;
              log.runsByKey.set(key, (log.runsByKey.get(key) ?? 0) + 1);
              time.add(undefined, SERVICE_MS * computeTimeFactor(endpoint), () => {
                taking.running -= 1;
                if (endpoint.isFrozen || !isConnected(endpoint)) return;
                const isLost = endpoint.isCrashed || random.next() < endpoint.lostAnswers;
                if (isLost) end({ kind: 'ended', ending: 'broken' });
                else {
                  const body = `ran ${key}`;
                  const answer = { status: 200, contentType: 'text/plain', body };
                  sendHead(endpoint, listener, isCancelled);
                  end({ kind: 'answered', answer });
                }
              });
            },
            () => {
              if (!isStopped) listener.onEnded({ kind: 'ended', ending: 'unsent' });
            },
          );
          return () => {
            isStopped = true;
          };
        },
        fetchJson(declaration, path, body, timeoutMs, isAllowed = () => true) {
          return new Promise((resolve) => {
            time.add(actor, timeoutMs, () => resolve(undefined));
            openConnection(
              declaration,
              (endpoint) => {
                if (endpoint.isFrozen) return;
                if (!isAllowed()) {
                  resolve(undefined);
                  return;
                }
                if (path === '/v1/orders') {
                  const order = body as { fence: number; models: readonly string[] };
                  if (order.fence < endpoint.fence) {
                    log.breaches.push(
                      `${endpoint.name} got an order with ${order.fence} after ${endpoint.fence}`,
                    );
                  }
                  endpoint.fence = Math.max(endpoint.fence, order.fence);
                  endpoint.models = order.models;
                }
                const { models } = endpoint;
                const isLeaving = isReportedLeaving(endpoint, time.getNow());
                time.add(actor, CONNECT_MS, () => resolve({ isLeaving, models }));
              },
              () => resolve(undefined),
            );
          });
        },
        close: async () => undefined,
      };
    },
  };
}
