/**
 * State of this instance's paths to endpoints, from its own exchanges and from what peers reach.
 * Performs no I/O, and knows nothing of endpoints whose path is open and without an exchange.
 */
import { assertNever } from '../utils/assert-never.js';

/** Silence of one endpoint after which its path is doubted; sound endpoints pause for a second. */
const SILENCE_MAX_MS = 1000;
/** The same where all endpoints with exchanges, two at least, are silent at once. */
const SILENCE_OF_ALL_MAX_MS = 600;
const SILENT_ENDPOINTS_MIN = 2;
/** A doubt that nothing has confirmed ends. */
const DOUBT_MAX_MS = 5000;
/** First pause before a lost path is checked; doubled each time it is lost again. */
const CHECK_INTERVAL_MIN_MS = 1000;
const CHECK_INTERVAL_MAX_MS = 4000;
/** A path that stayed open for this long counts as stable. */
const STABLE_MS = 10_000;
/** Time for which an endpoint that peers could not reach, either, is tried directly. */
const DOWN_MS = 1000;
/** After it, calls that may run only once are used to try a returning path, too. */
const TRIAL_PATIENCE_MS = 2000;
/** Pause of the own process that says nothing about endpoints. */
const OWN_PAUSE_MIN_MS = 200;
/** Time after which a doubt is tested by another call through a peer. */
const TEST_PERIOD_MS = 500;

export const PATH_STATE = {
  Open: 'open',
  /** The endpoint is silent; it may be its own pause. */
  Doubted: 'doubted',
  /** This instance does not reach the endpoint. */
  Lost: 'lost',
  /** A connection was accepted; one call at a time tries the path. */
  Returning: 'returning',
} as const;
export type PathState = (typeof PATH_STATE)[keyof typeof PATH_STATE];

export const PATH_EVIDENCE = {
  NotConnected: 'no connection could be made',
  Silent: 'no answer since the requests under way were sent',
  PeerAnswered:
    'a peer got an answer and no connection could be made, while the endpoint was silent here',
  TrialFailed: 'a call that tried the path got no answer',
  Connected: 'a connection was accepted',
  Answered: 'an answer came',
  Expired: 'nothing confirmed the doubt',
} as const;
export type PathEvidence = (typeof PATH_EVIDENCE)[keyof typeof PATH_EVIDENCE];

/** A change of a path's state. */
export interface PathChange {
  /** Start of the endpoint. */
  readonly start: string;
  readonly state: PathState;
  readonly previous: PathState;
  readonly evidence: PathEvidence;
  /** Time that the previous state lasted. */
  readonly lastedMs: number;
}

export interface KnownPath {
  readonly start: string;
  readonly state: PathState;
  readonly evidence: PathEvidence;
  readonly sinceMs: number;
}

/** Which way an exchange takes. */
export type PathChoice =
  | { readonly kind: 'direct' }
  /** Directly, to try a path that returns. */
  | { readonly kind: 'trial' }
  /** Through a peer, which tests a doubt or spares a path that is probably lost; directly if none helps. */
  | { readonly kind: 'peer_first' }
  /** Through a peer only. `isCheckDue`: the connection has to be checked now. */
  | { readonly kind: 'peer'; readonly isCheckDue: boolean };

/** Records what comes of one direct exchange. */
export interface PathTicket {
  /** Bytes of the response came. */
  recordHeard(): void;
  /** No connection could be made. */
  recordUnreachable(): void;
  recordEnd(): void;
  /** This instance reads no more of the response for now, so that its silence says nothing. */
  recordHeld(): void;
  recordResumed(): void;
  /** Time since the exchange was sent or last heard of; 0 while it is held. */
  computeSilence(): number;
}

export interface PathLedger {
  choose(start: string, isRepeatable: boolean): PathChoice;
  /** `patienceMs`: silence that is usual for the exchange. */
  start(start: string, patienceMs: number, isTrial: boolean): PathTicket;
  /** A check of the connection ended. */
  recordChecked(start: string, isAccepted: boolean): void;
  /**
   * A peer got an answer of the endpoint to a request that was handed over at this time. If it is true, a
   * connection has to be checked now: the answer to another request does not tell a lost path from an
   * endpoint that is silent to some.
   */
  recordPeerAnswered(start: string, sentMs: number): boolean;
  /** Peers could not reach the endpoint, either. */
  recordPeersFailed(start: string): void;
  /** Whether this instance carries exchanges to the endpoint for peers. */
  isOpen(start: string): boolean;
  /** Whether the path is lost and a peer has had an answer of the endpoint since. */
  isLossConfirmed(start: string): boolean;
  remove(start: string): void;
  /** Finds silent endpoints. */
  advance(): void;
  /** Paths that are not open. */
  list(): readonly KnownPath[];
}

export interface PathLedgerOptions {
  readonly getNow: () => number;
  readonly onChanged: (change: PathChange) => void;
}

interface Exchange {
  readonly patienceMs: number;
  silentSinceMs: number;
  isHeld: boolean;
}

interface Path {
  state: PathState;
  evidence: PathEvidence;
  sinceMs: number;
  heardMs: number;
  readonly exchanges: Set<Exchange>;
  /** When it was last open again after a loss. */
  regainedMs: number;
  checkIntervalMs: number;
  nextCheckMs: number;
  isChecking: boolean;
  isTrialRunning: boolean;
  /** It was lost, so that only a call that tries it shows that it is open again. */
  wasLost: boolean;
  /** When a call was last sent through a peer to test a doubt. */
  testedMs: number;
  downUntilMs: number;
  isConfirmed: boolean;
}

const DIRECT: PathChoice = { kind: 'direct' };
const PEER_FIRST: PathChoice = { kind: 'peer_first' };

export function createPathLedger({ getNow, onChanged }: PathLedgerOptions): PathLedger {
  const paths = new Map<string, Path>();
  let advancedMs = getNow();
  /** When any endpoint was last heard directly. */
  let heardMs = -Infinity;

  function getPath(start: string): Path {
    const known = paths.get(start);
    if (known !== undefined) return known;
    const path: Path = {
      state: PATH_STATE.Open,
      evidence: PATH_EVIDENCE.Answered,
      sinceMs: getNow(),
      heardMs: -Infinity,
      exchanges: new Set(),
      regainedMs: -Infinity,
      checkIntervalMs: CHECK_INTERVAL_MIN_MS,
      nextCheckMs: 0,
      isChecking: false,
      isTrialRunning: false,
      wasLost: false,
      testedMs: -Infinity,
      downUntilMs: 0,
      isConfirmed: false,
    };
    paths.set(start, path);
    return path;
  }

  /**
   * Whether several paths are not open and nothing comes from any endpoint: then the others are
   * probably lost as well, and calls on their idle connections would be lost.
   */
  function isCutSuspected(): boolean {
    if (getNow() - heardMs < SILENCE_OF_ALL_MAX_MS) return false;
    const closed = [...paths.values()].filter(({ state }) => state !== PATH_STATE.Open);
    return closed.length >= SILENT_ENDPOINTS_MIN;
  }

  function setState(start: string, path: Path, state: PathState, evidence: PathEvidence): void {
    const nowMs = getNow();
    const { state: previous, sinceMs } = path;
    Object.assign(path, { state, evidence, sinceMs: nowMs, isTrialRunning: false });
    if (state !== previous)
      onChanged({ start, state, previous, evidence, lastedMs: nowMs - sinceMs });
  }

  /** A path that was lost again soon after it returned is checked less often. */
  function setLost(start: string, path: Path, evidence: PathEvidence): void {
    const nowMs = getNow();
    const isStable = path.state !== PATH_STATE.Returning && nowMs - path.regainedMs >= STABLE_MS;
    path.checkIntervalMs = isStable
      ? CHECK_INTERVAL_MIN_MS
      : Math.min(CHECK_INTERVAL_MAX_MS, path.checkIntervalMs * 2);
    path.nextCheckMs = nowMs + path.checkIntervalMs;
    path.isConfirmed = false;
    path.wasLost = true;
    setState(start, path, PATH_STATE.Lost, evidence);
  }

  function chooseWhileLost(path: Path): PathChoice {
    const nowMs = getNow();
    // Peers do not reach it, either: its failure is its own.
    if (nowMs < path.downUntilMs) return DIRECT;
    const isCheckDue = !path.isChecking && nowMs >= path.nextCheckMs;
    path.isChecking ||= isCheckDue;
    return { kind: 'peer', isCheckDue };
  }

  /**
   * One call at a time tests the doubt: if all went through peers, an instance that is merely busy
   * would burden them and itself.
   */
  function chooseWhileDoubted(path: Path): PathChoice {
    if (path.isChecking) return PEER_FIRST;
    const nowMs = getNow();
    if (!isCutSuspected() && nowMs - path.testedMs < TEST_PERIOD_MS) return DIRECT;
    path.testedMs = nowMs;
    return PEER_FIRST;
  }

  function chooseWhileReturning(path: Path, isRepeatable: boolean): PathChoice {
    const isAllowed = isRepeatable || getNow() - path.sinceMs >= TRIAL_PATIENCE_MS;
    if (path.isTrialRunning || !isAllowed) return PEER_FIRST;
    path.isTrialRunning = true;
    return { kind: 'trial' };
  }

  function recordHeard(start: string, path: Path, isTrial: boolean): void {
    heardMs = getNow();
    path.heardMs = heardMs;
    switch (path.state) {
      case PATH_STATE.Open:
        break;
      case PATH_STATE.Doubted:
        setState(start, path, PATH_STATE.Open, PATH_EVIDENCE.Answered);
        break;
      case PATH_STATE.Lost:
        // An old connection may live on while no new one can be made.
        if (path.evidence !== PATH_EVIDENCE.NotConnected)
          setState(start, path, PATH_STATE.Returning, PATH_EVIDENCE.Answered);
        break;
      case PATH_STATE.Returning:
        if (!isTrial && path.wasLost) break;
        if (path.wasLost) path.regainedMs = path.heardMs;
        path.wasLost = false;
        setState(start, path, PATH_STATE.Open, PATH_EVIDENCE.Answered);
        break;
      default:
        assertNever(path.state);
    }
  }

  function isOverdue(path: Path, silenceMaxMs: number, nowMs: number): boolean {
    return [...path.exchanges].some(
      ({ patienceMs, silentSinceMs, isHeld }) =>
        !isHeld &&
        nowMs - Math.max(silentSinceMs, path.heardMs) >= Math.max(silenceMaxMs, patienceMs),
    );
  }

  function advancePath(start: string, path: Path, isSilent: boolean): void {
    const nowMs = getNow();
    if (path.state === PATH_STATE.Open) {
      if (isSilent) setState(start, path, PATH_STATE.Doubted, PATH_EVIDENCE.Silent);
    } else if (path.state === PATH_STATE.Doubted && nowMs - path.sinceMs >= DOUBT_MAX_MS) {
      setState(start, path, PATH_STATE.Open, PATH_EVIDENCE.Expired);
      for (const exchange of path.exchanges) exchange.silentSinceMs = nowMs;
    }
  }

  /** Guards against taking a pause of this process for silence of the endpoints. */
  function applyOwnPause(nowMs: number): void {
    const pausedMs = nowMs - advancedMs;
    advancedMs = nowMs;
    if (pausedMs < OWN_PAUSE_MIN_MS) return;
    heardMs += pausedMs;
    for (const path of paths.values()) {
      for (const exchange of path.exchanges) exchange.silentSinceMs += pausedMs;
      path.heardMs += pausedMs;
    }
  }

  return {
    choose(start, isRepeatable) {
      const path = paths.get(start);
      if (path === undefined) return isCutSuspected() ? PEER_FIRST : DIRECT;
      switch (path.state) {
        case PATH_STATE.Open:
          return isCutSuspected() ? PEER_FIRST : DIRECT;
        case PATH_STATE.Doubted:
          return chooseWhileDoubted(path);
        case PATH_STATE.Lost:
          return chooseWhileLost(path);
        case PATH_STATE.Returning:
          return chooseWhileReturning(path, isRepeatable);
        default:
          return assertNever(path.state);
      }
    },
    start(start, patienceMs, isTrial) {
      const path = getPath(start);
      const exchange: Exchange = { patienceMs, silentSinceMs: getNow(), isHeld: false };
      path.exchanges.add(exchange);
      let isHeard = false;
      return {
        recordHeard() {
          exchange.silentSinceMs = getNow();
          isHeard = true;
          recordHeard(start, path, isTrial);
        },
        recordUnreachable() {
          path.exchanges.delete(exchange);
          isHeard = true;
          setLost(start, path, PATH_EVIDENCE.NotConnected);
        },
        recordEnd() {
          if (!path.exchanges.delete(exchange)) return;
          const isTrialLost = isTrial && !isHeard && path.state === PATH_STATE.Returning;
          if (isTrialLost) setLost(start, path, PATH_EVIDENCE.TrialFailed);
        },
        recordHeld() {
          exchange.isHeld = true;
        },
        recordResumed() {
          exchange.isHeld = false;
          exchange.silentSinceMs = getNow();
        },
        computeSilence: () => (exchange.isHeld ? 0 : getNow() - exchange.silentSinceMs),
      };
    },
    recordChecked(start, isAccepted) {
      const path = paths.get(start);
      if (path === undefined) return;
      path.isChecking = false;
      if (path.state !== PATH_STATE.Lost && path.state !== PATH_STATE.Doubted) return;
      if (isAccepted) setState(start, path, PATH_STATE.Returning, PATH_EVIDENCE.Connected);
      else if (path.state === PATH_STATE.Lost) path.nextCheckMs = getNow() + path.checkIntervalMs;
      else {
        setLost(start, path, PATH_EVIDENCE.PeerAnswered);
        path.isConfirmed = true;
      }
    },
    recordPeerAnswered(start, sentMs) {
      const path = paths.get(start);
      if (path === undefined) return false;
      if (path.state === PATH_STATE.Lost) path.isConfirmed = true;
      const isCheckDue =
        path.state === PATH_STATE.Doubted && path.heardMs < sentMs && !path.isChecking;
      path.isChecking ||= isCheckDue;
      return isCheckDue;
    },
    recordPeersFailed(start) {
      const path = paths.get(start);
      if (path?.state === PATH_STATE.Lost) path.downUntilMs = getNow() + DOWN_MS;
    },
    isOpen: (start) => (paths.get(start)?.state ?? PATH_STATE.Open) === PATH_STATE.Open,
    isLossConfirmed(start) {
      const path = paths.get(start);
      return path?.state === PATH_STATE.Lost && path.isConfirmed;
    },
    remove: (start) => paths.delete(start),
    advance() {
      const nowMs = getNow();
      applyOwnPause(nowMs);
      const active = [...paths].filter(([, { exchanges }]) => exchanges.size > 0);
      const overdue = active.filter(([, path]) => isOverdue(path, SILENCE_OF_ALL_MAX_MS, nowMs));
      const areAllSilent =
        nowMs - heardMs >= SILENCE_OF_ALL_MAX_MS && overdue.length >= SILENT_ENDPOINTS_MIN;
      const silenceMaxMs = areAllSilent ? SILENCE_OF_ALL_MAX_MS : SILENCE_MAX_MS;
      for (const [start, path] of paths) {
        advancePath(start, path, isOverdue(path, silenceMaxMs, nowMs));
      }
    },
    list: () =>
      [...paths]
        .filter(([, { state }]) => state !== PATH_STATE.Open)
        .map(([start, { state, evidence, sinceMs }]) => ({ start, state, evidence, sinceMs })),
  };
}
