/**
 * Converts load updates to and from their wire form: columns of integers, split into several
 * datagrams if needed.
 */
import { create } from '@bufbuild/protobuf';
import { LoadScope, TellLoadSchema } from '../gen/peer_pb.js';
import type { TellLoad } from '../gen/peer_pb.js';
import { LOAD_SCOPE } from '../load-sharing/load-update.js';
import type { LoadScope as Scope, LoadUpdate } from '../load-sharing/load-update.js';
import type { EndpointLoadShare } from '../placement/remote-loads.js';
import type { PeerTime } from '../duties/fleet-time.js';
import { encodeUint32 } from './encode-uint32.js';
import type { KnowledgeSummary } from './peer-links.js';
import type { PeerStatus } from './peer-status.js';

/** Fits an Ethernet frame at up to 21 bytes per share. */
const SHARES_PER_DATAGRAM_MAX = 64;
/** Endpoint keys are 32-bit hashes. */
const HASH_RANGE = 2 ** 32;
/** Wire units, coarse enough that most values take one or two bytes. */
const UNREAD_UNIT_TOKENS = 64;
const PREEMPTIBLE_UNREAD_UNIT_TOKENS = 1024;
const COUNTS_PER_CALL = 8;
const READ_UNIT_TOKENS = 256;
const READ_UNIT_MS = 4;

const WIRE_SCOPES: Readonly<Record<Scope, LoadScope>> = {
  [LOAD_SCOPE.Own]: LoadScope.OWN,
  [LOAD_SCOPE.Group]: LoadScope.GROUP,
  [LOAD_SCOPE.Others]: LoadScope.OTHERS,
};

function decodeScope(scope: LoadScope): Scope | undefined {
  switch (scope) {
    case LoadScope.OWN:
      return LOAD_SCOPE.Own;
    case LoadScope.GROUP:
      return LOAD_SCOPE.Group;
    case LoadScope.OTHERS:
      return LOAD_SCOPE.Others;
    default:
      return undefined;
  }
}

/** Fleet time and hop count share one number, to save space: `time * HOPS_BASE + hops`. */
const HOPS_BASE = 4;

function encodeTime({ fleetMs, hops }: PeerTime): number {
  return Math.floor(fleetMs) * HOPS_BASE + hops;
}

function decodeTime(value: number): PeerTime {
  return { fleetMs: Math.floor(value / HOPS_BASE), hops: value % HOPS_BASE };
}

/**
 * Assigns endpoints to parts by hash range, so that an endpoint has the same part in every update of
 * as many parts. An endpoint missing from its part has no load.
 */
function listPartShares(
  shares: readonly EndpointLoadShare[],
  part: number,
  parts: number,
): readonly EndpointLoadShare[] {
  if (parts === 1) return shares;
  return shares.filter(({ endpoint }) => Math.floor((endpoint / HASH_RANGE) * parts) === part);
}

/** Rounds up, so that few tokens do not look like none. */
function encodeTokens(tokens: number, unitTokens: number): number {
  return encodeUint32(Math.ceil(tokens / unitTokens));
}

/** Returns one message per datagram. */
export function encodeLoadUpdate(
  { scope, shares, heardDataCentres }: LoadUpdate,
  dataCentre: string,
  knowledge: KnowledgeSummary,
  time: PeerTime | undefined,
): TellLoad[] {
  const { configurationRevision, endpointsRevision, endpointsUnchanged } = knowledge;
  const { confirmedAtMs, endpointsConfirmedAtMs } = knowledge;
  const parts = Math.max(1, Math.ceil(shares.length / SHARES_PER_DATAGRAM_MAX));
  return Array.from({ length: parts }, (_, part) => {
    const partShares = listPartShares(shares, part, parts);
    return create(TellLoadSchema, {
      scope: WIRE_SCOPES[scope],
      dataCentre,
      part,
      parts,
      heardDataCentres: [...heardDataCentres],
      configurationVersion: configurationRevision,
      endpointsRevision,
      endpointsUnchanged: encodeUint32(endpointsUnchanged ?? 0),
      ...(confirmedAtMs === undefined ? {} : { confirmedAtMs }),
      ...(endpointsConfirmedAtMs === undefined ? {} : { endpointsConfirmedAtMs }),
      ...(time === undefined ? {} : { trueNow: encodeTime(time) }),
      endpoints: partShares.map(({ endpoint }) => endpoint),
      running: partShares.map(({ running }) => encodeUint32(running)),
      urgent: partShares.map(({ urgent }) => encodeUint32(urgent)),
      preemptible: partShares.map(({ preemptible }) => encodeUint32(preemptible)),
      unreadTokens: partShares.map(({ unreadTokens }) =>
        encodeTokens(unreadTokens, UNREAD_UNIT_TOKENS),
      ),
      preemptibleUnreadTokens: partShares.map(({ preemptibleUnreadTokens }) =>
        encodeTokens(preemptibleUnreadTokens, PREEMPTIBLE_UNREAD_UNIT_TOKENS),
      ),
      answers: partShares.map(({ answers }) => encodeUint32(answers * COUNTS_PER_CALL)),
      failures: partShares.map(({ failures }) => encodeUint32(failures * COUNTS_PER_CALL)),
      readTokens: partShares.map(({ readTokens }) => encodeUint32(readTokens / READ_UNIT_TOKENS)),
      readMs: partShares.map(({ readMs }) => encodeUint32(readMs / READ_UNIT_MS)),
      pauses: partShares.map(({ pauses }) => encodeUint32(pauses * COUNTS_PER_CALL)),
      pauseMs: partShares.map(({ pauseMs }) => encodeUint32(pauseMs / READ_UNIT_MS)),
    });
  });
}

function decodeKnowledge(load: TellLoad): KnowledgeSummary {
  const { endpointsUnchanged, endpointsConfirmedAtMs } = load;
  return {
    configurationRevision: load.configurationVersion,
    endpointsRevision: load.endpointsRevision,
    confirmedAtMs: load.confirmedAtMs,
    ...(endpointsUnchanged === 0 ? {} : { endpointsUnchanged }),
    ...(endpointsConfirmedAtMs === undefined ? {} : { endpointsConfirmedAtMs }),
  };
}

/** Returns undefined for a scope of a newer release. */
export function decodeLoadUpdate(instance: string, load: TellLoad): PeerStatus | undefined {
  const scope = decodeScope(load.scope);
  if (scope === undefined) return undefined;
  return {
    instance,
    dataCentre: load.dataCentre,
    scope,
    part: load.part,
    heardDataCentres: load.heardDataCentres,
    knowledge: decodeKnowledge(load),
    time: load.trueNow === undefined ? undefined : decodeTime(load.trueNow),
    shares: load.endpoints.map((endpoint, index) => ({
      endpoint,
      running: load.running[index] ?? 0,
      urgent: load.urgent[index] ?? 0,
      preemptible: load.preemptible[index] ?? 0,
      preemptibleUnreadTokens:
        (load.preemptibleUnreadTokens[index] ?? 0) * PREEMPTIBLE_UNREAD_UNIT_TOKENS,
      unreadTokens: (load.unreadTokens[index] ?? 0) * UNREAD_UNIT_TOKENS,
      answers: (load.answers[index] ?? 0) / COUNTS_PER_CALL,
      failures: (load.failures[index] ?? 0) / COUNTS_PER_CALL,
      readTokens: (load.readTokens[index] ?? 0) * READ_UNIT_TOKENS,
      readMs: (load.readMs[index] ?? 0) * READ_UNIT_MS,
      pauses: (load.pauses[index] ?? 0) / COUNTS_PER_CALL,
      pauseMs: (load.pauseMs[index] ?? 0) * READ_UNIT_MS,
    })),
  };
}
