/** Callers of a randomised run: they send, note what they were told, and compare it with the truth. */
import { OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import { REPEATABILITY } from '../requests/request-messages.js';
import type { AnswerEnd, RoutedRequest } from '../requests/routed-request.js';
import { hashText } from '../utils/hash.js';
import type { Random } from '../utils/random.js';
import { buildFrameText, parseFrames } from './fake-endpoints.js';
import type { EndpointLog } from './fake-endpoints.js';
import { computeReturnDelayMs } from './hard-load.js';
import type { SoakEntry } from './soak-entry.js';
import type { VirtualTime } from './virtual-time.js';

/** What a caller was told at last. */
type Told =
  | { readonly kind: 'answer'; readonly text: string; readonly end: AnswerEnd }
  | { readonly kind: 'failure'; readonly failure: RequestFailure };

interface Sent {
  readonly requestId: string;
  readonly prompt: string;
  readonly key: string | undefined;
  readonly entry: SoakEntry;
  told: Told | undefined;
}

/** The callers. */
export interface SoakCallers {
  /**
   * Sends one request, of a kind and class drawn at random, through an entry. The organisation is
   * drawn as well unless it is given.
   */
  send(entry: SoakEntry, organisation?: string): void;
  /** Breaches of what callers were promised, over the whole run. */
  listBreaches(): string[];
  countSent(): number;
  countAnswered(): number;
  /** Counts requests that were sent once more after a refusal. */
  countReturned(): number;
}

const KEYS = 12;
const ONCE_SHARE = 0.25;
const LEAVING_SHARE = 0.05;
const FRAMES_MAX = 25;
const ENGINE_POOL = 'language-model';
const SERVICE_POOL = 'stores';

function buildExpected(prompt: string): string {
  return Array.from({ length: parseFrames(prompt) }, (_, index) =>
    buildFrameText(prompt, index),
  ).join('');
}

/**
 * Builds callers that have sent nothing. With `chooseReturnEntry`, a caller whose request was refused
 * sends it once more after `Retry-After`, through the entry chosen then, if any.
 */
export function createSoakCallers(
  time: VirtualTime,
  random: Random,
  log: EndpointLog,
  onBreach: (text: string) => void,
  chooseReturnEntry?: () => SoakEntry | undefined,
): SoakCallers {
  const sent: Sent[] = [];
  let returned = 0;

  function chooseClass(entry: SoakEntry) {
    const classes = [...(entry.core.getDeclarations()?.classes.values() ?? [])];
    return classes[random.nextIndex(classes.length)];
  }

  function buildRequest(
    entry: SoakEntry,
    number: number,
    organisationName?: string,
  ): RoutedRequest | undefined {
    const declarations = entry.core.getDeclarations();
    const organisations = [...(declarations?.organisations.values() ?? [])];
    const organisation =
      organisationName === undefined
        ? organisations[random.nextIndex(organisations.length)]
        : declarations?.organisations.get(organisationName);
    const classDeclaration = chooseClass(entry);
    const isOnce = random.next() < ONCE_SHARE;
    const pool = declarations?.pools.get(isOnce ? SERVICE_POOL : ENGINE_POOL);
    if (organisation === undefined || classDeclaration === undefined || pool === undefined) {
      return undefined;
    }
    const keyNumber = random.nextIndex(KEYS);
    const prompt = `p${number}|${1 + random.nextIndex(FRAMES_MAX)}`;
    const key = `${organisation.name}-key-${keyNumber}-${Math.floor(time.getNow() / 4000)}`;
    return {
      requestId: `r${number}-${entry.name}`,
      organisation,
      classDeclaration,
      pool,
      repeatability: isOnce ? REPEATABILITY.Once : REPEATABILITY.Repeatable,
      idempotencyKey: isOnce ? key : undefined,
      bodyHash: isOnce ? hashText(key) : '',
      prefixHash: keyNumber,
      deadlineMs: time.getNow() + classDeclaration.deadlineMs,
      work: isOnce
        ? {
            kind: 'service',
            method: 'POST',
            path: '/orders',
            headers: { 'idempotency-key': key },
            body: undefined,
          }
        : {
            kind: 'completion',
            model: 'assistant',
            messages: [{ role: 'user', content: prompt }],
            maxTokens: undefined,
            fields: {},
          },
    };
  }

  function recordTold(record: Sent, told: Told): void {
    if (record.told !== undefined) onBreach(`${record.requestId} was answered twice`);
    record.told = told;
  }

  function checkAnswer(record: Sent, told: Extract<Told, { kind: 'answer' }>): string[] {
    const { requestId, prompt, key } = record;
    if (told.end.kind === 'service') {
      return told.end.body === `ran ${key}` ? [] : [`${requestId} got ${told.end.body}`];
    }
    return told.text === buildExpected(prompt)
      ? []
      : [`${requestId} got a wrong answer: ${told.text}`];
  }

  function checkFailure(record: Sent, failure: RequestFailure): string[] {
    if (failure.outcome !== OUTCOME.NotRun) return [];
    const hasRun = [...log.ran].some((attemptId) => attemptId.startsWith(`${record.requestId}-`));
    return hasRun ? [`${record.requestId} was told ${failure.type}, not run, and it ran`] : [];
  }

  function sendLater(request: RoutedRequest, failure: RequestFailure): void {
    const delayMs = computeReturnDelayMs(failure, request.deadlineMs - time.getNow());
    if (delayMs === undefined) return;
    time.add(undefined, delayMs, () => {
      const entry = chooseReturnEntry?.();
      if (entry === undefined) return;
      returned += 1;
      sendRequest(entry, { ...request, requestId: `r${sent.length}-${entry.name}` }, true);
    });
  }

  function sendRequest(entry: SoakEntry, request: RoutedRequest, isReturn: boolean): void {
    const { requestId, idempotencyKey: key } = request;
    const [message] = request.work.kind === 'completion' ? request.work.messages : [];
    const prompt = String(message?.content ?? '');
    const record: Sent = { requestId, prompt, key, entry, told: undefined };
    sent.push(record);
    let text = '';
    const running = entry.core.runner.run(request, {
      onDelta(piece) {
        text += piece;
      },
      onComplete: (end) => recordTold(record, { kind: 'answer', text, end }),
      onFailure(failure) {
        recordTold(record, { kind: 'failure', failure });
        if (chooseReturnEntry !== undefined && !isReturn) sendLater(request, failure);
      },
    });
    if (random.next() < LEAVING_SHARE) {
      time.add(entry.actor, random.next() * 500, () => running.close());
    }
  }

  return {
    send(entry, organisation) {
      const request = buildRequest(entry, sent.length, organisation);
      if (request !== undefined) sendRequest(entry, request, false);
    },
    listBreaches() {
      const breaches: string[] = [];
      for (const record of sent) {
        const { told } = record;
        if (told === undefined) {
          const isLost = !record.entry.actor.isDead || record.entry.isDrained();
          if (isLost) breaches.push(`${record.requestId} never got an answer`);
        } else if (told.kind === 'answer') breaches.push(...checkAnswer(record, told));
        else breaches.push(...checkFailure(record, told.failure));
      }
      for (const [key, runs] of log.runsByKey) {
        if (runs > 1) breaches.push(`${key} ran ${runs} times`);
      }
      return breaches;
    },
    countSent: () => sent.length,
    countReturned: () => returned,
    countAnswered: () => sent.filter((record) => record.told?.kind === 'answer').length,
  };
}
