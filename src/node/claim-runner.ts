/**
 * Claims once-only requests in the platform's table and answers other instances' queries about
 * attempts of this instance.
 */
import { ATTEMPT_STATE, createAttemptLedger } from '../claims/attempt-ledger.js';
import { createClaim } from '../claims/claim.js';
import type {
  AttemptVerdict,
  Claim,
  ClaimCommand,
  ClaimMessage,
  WriteResult,
} from '../claims/claim.js';
import { STORED_ANSWER_MAX_CHARS, buildClaimKey } from '../claims/claim-document.js';
import type { ClaimDocument, ClaimState, StoredAnswer } from '../claims/claim-document.js';
import { PLATFORM_FAILURE } from '../storage/platform-error.js';
import type { PlatformError } from '../storage/platform-error.js';
import type { ItemKey, TableClient } from '../storage/table-client.js';
import { METRIC } from '../runtime/metrics.js';
import type { Metrics } from '../runtime/metrics.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { RequestFailure } from '../types/outcomes.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import { assertNever } from '../utils/assert-never.js';
import type { Result } from '../utils/result.js';

const SETTLE_WRITE_TRIES = 3;
const SETTLE_RETRY_DELAY_MS = 500;
const WRITE_BUDGET_RETRY_MS = 1000;

/** A claim held by this instance. */
export interface HeldClaim {
  /** Marks the attempt as sent; false if the claim has expired or the attempt was abandoned. */
  take(): boolean;
  /** Stores the outcome of the request. */
  settle(state: ClaimState, answer?: StoredAnswer): void;
}

export type ClaimResult =
  | { readonly kind: 'held'; readonly claim: HeldClaim }
  | { readonly kind: 'replay'; readonly answer: StoredAnswer }
  | { readonly kind: 'refused'; readonly failure: RequestFailure };

export interface ClaimRequest {
  readonly organisation: string;
  readonly idempotencyKey: string;
  readonly attemptId: string;
  readonly bodyHash: string;
}

export interface ClaimRunnerOptions {
  readonly self: string;
  readonly table: TableClient;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly writesPerSecond: number;
  /** Queries another instance; `unknown` if it does not answer. */
  readonly queryAttempt: (entry: string, attemptId: string) => Promise<AttemptVerdict>;
}

export interface ClaimRunner {
  claim(request: ClaimRequest): Promise<ClaimResult>;
  /** The state of an attempt, as reported to other instances. */
  getVerdict(attemptId: string): AttemptVerdict;
}

function computeWriteResult(result: Result<void, PlatformError>): WriteResult {
  if (result.ok) return 'written';
  switch (result.val.kind) {
    case PLATFORM_FAILURE.Conflict:
      return 'conflict';
    case PLATFORM_FAILURE.Ambiguous:
      return 'ambiguous';
    case PLATFORM_FAILURE.Rejected:
      return 'rejected';
    default:
      return assertNever(result.val.kind);
  }
}

export function createClaimRunner(options: ClaimRunnerOptions): ClaimRunner {
  const { self, table, timers, metrics, writesPerSecond } = options;
  const { clock } = timers;
  const ledger = createAttemptLedger();
  let availableWrites = writesPerSecond;
  let refilledMs = clock.monotonicMs();

  /** Takes the two writes of a claim from this instance's write budget; false if it is used up. */
  function takeWriteBudget(): boolean {
    const nowMs = clock.monotonicMs();
    const refill = ((nowMs - refilledMs) / 1000) * writesPerSecond;
    availableWrites = Math.min(writesPerSecond, availableWrites + refill);
    refilledMs = nowMs;
    if (availableWrites < 2) return false;
    availableWrites -= 2;
    return true;
  }

  async function readClaim(key: ItemKey): Promise<ClaimMessage> {
    const item = await table.get<ClaimDocument>(key);
    if (item.err) return { kind: 'read_failed' };
    const claim =
      item.val === undefined
        ? undefined
        : { version: item.val.version, document: item.val.document };
    return { kind: 'read', claim, wallMs: clock.wallMs() };
  }

  async function queryInstance(instance: string, attemptId: string): Promise<ClaimMessage> {
    const verdict =
      instance === self ? getVerdict(attemptId) : await options.queryAttempt(instance, attemptId);
    return { kind: 'answered', verdict };
  }

  async function runCommand(
    key: ItemKey,
    command: ClaimCommand,
  ): Promise<ClaimMessage | undefined> {
    switch (command.kind) {
      case 'insert': {
        metrics.count(METRIC.ClaimsWritten);
        const { document } = command;
        const written = await table.transact([{ kind: 'insert', key, document }]);
        return { kind: 'inserted', result: computeWriteResult(written) };
      }
      case 'take_over': {
        metrics.count(METRIC.ClaimsWritten);
        const { document, expectedVersion } = command;
        const written = await table.transact([{ kind: 'replace', key, document, expectedVersion }]);
        return { kind: 'taken_over', result: computeWriteResult(written) };
      }
      case 'read':
        return readClaim(key);
      case 'query':
        return queryInstance(command.entry, command.attemptId);
      case 'proceed':
      case 'replay':
      case 'refuse':
        return undefined;
      default:
        return assertNever(command);
    }
  }

  function getVerdict(attemptId: string): AttemptVerdict {
    const state = ledger.get(attemptId);
    switch (state) {
      case ATTEMPT_STATE.Abandoned:
        return 'abandoned';
      case ATTEMPT_STATE.Pending:
      case ATTEMPT_STATE.Sent:
        return 'sent';
      case undefined:
        return 'unknown';
      default:
        return assertNever(state);
    }
  }

  async function writeSettledClaim(
    key: ItemKey,
    version: number,
    document: ClaimDocument,
  ): Promise<void> {
    for (let tries = 0; tries < SETTLE_WRITE_TRIES; tries += 1) {
      metrics.count(METRIC.ClaimsWritten);
      // Retries run one after the other.
      // eslint-disable-next-line no-await-in-loop
      const written = await table.transact([
        { kind: 'replace', key, document, expectedVersion: version },
      ]);
      // A conflict means that an earlier write succeeded but its response was lost.
      if (written.ok || written.val.kind === PLATFORM_FAILURE.Conflict) return;
      // Waits between retries.
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        timers.subscribeOnce(SETTLE_RETRY_DELAY_MS, resolve);
      });
    }
  }

  function createHeldClaim(
    claim: Claim,
    key: ItemKey,
    version: number,
    attemptId: string,
  ): HeldClaim {
    let isTaken = false;
    return {
      take() {
        if (!claim.isFresh(clock.monotonicMs(), clock.wallMs())) return false;
        isTaken = isTaken || ledger.markSent(attemptId);
        return isTaken;
      },
      settle(state, answer) {
        if (!isTaken) ledger.abandon(attemptId);
        const isStored = answer !== undefined && answer.body.length <= STORED_ANSWER_MAX_CHARS;
        const document = claim.buildDocument(state, isStored ? answer : undefined);
        writeSettledClaim(key, version, document).catch(() => undefined);
      },
    };
  }

  return {
    async claim(request) {
      if (!takeWriteBudget()) {
        return {
          kind: 'refused',
          failure: {
            type: FAILURE.ClaimUnavailable,
            message:
              'too many once-only requests at the moment; this one was not run; send it again',
            outcome: OUTCOME.NotRun,
            retryAfterMs: WRITE_BUDGET_RETRY_MS,
          },
        };
      }
      const { attemptId, bodyHash } = request;
      const key = buildClaimKey(request.organisation, request.idempotencyKey);
      const claim = createClaim({ attemptId, entry: self, bodyHash });
      ledger.add(attemptId);
      let command = claim.handle({
        kind: 'start',
        monotonicMs: clock.monotonicMs(),
        wallMs: clock.wallMs(),
      });
      let message = await runCommand(key, command);
      while (message !== undefined) {
        command = claim.handle(message);
        // Each command depends on the result of the one before.
        // eslint-disable-next-line no-await-in-loop
        message = await runCommand(key, command);
      }
      if (command.kind === 'proceed') {
        return { kind: 'held', claim: createHeldClaim(claim, key, command.version, attemptId) };
      }
      // Marks the attempt as abandoned, so that it can never be sent.
      ledger.abandon(attemptId);
      if (command.kind === 'replay') return { kind: 'replay', answer: command.answer };
      if (command.kind === 'refuse') {
        metrics.count(METRIC.ClaimsRefused);
        return { kind: 'refused', failure: command.failure };
      }
      throw new Error(`unexpected final command of a claim: ${command.kind}`);
    },
    getVerdict,
  };
}
