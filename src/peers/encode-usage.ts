/** Converts usage updates to and from their wire form, split into several datagrams if needed. */
import { create } from '@bufbuild/protobuf';
import type { WindowCounts } from '../duties/usage-ledger.js';
import type { UsageUpdate } from '../duties/usage-meter.js';
import { TellUsageSchema } from '../gen/peer_pb.js';
import type { TellUsage } from '../gen/peer_pb.js';
import { encodeUint32 } from './encode-uint32.js';

/** Fits an Ethernet frame at about 12 bytes per count. */
const COUNTS_PER_DATAGRAM_MAX = 90;

/** Groups the counts by datagram; returns one empty part if there are none. */
function listParts(windows: readonly WindowCounts[]): WindowCounts[][] {
  const chunks = windows.flatMap(({ window, counts }) =>
    Array.from(
      { length: Math.max(1, Math.ceil(counts.length / COUNTS_PER_DATAGRAM_MAX)) },
      (_, index) => ({
        window,
        counts: counts.slice(
          index * COUNTS_PER_DATAGRAM_MAX,
          (index + 1) * COUNTS_PER_DATAGRAM_MAX,
        ),
      }),
    ),
  );
  const parts: WindowCounts[][] = [[]];
  let partSize = 0;
  for (const chunk of chunks) {
    if (partSize + chunk.counts.length > COUNTS_PER_DATAGRAM_MAX) {
      parts.push([]);
      partSize = 0;
    }
    partSize += chunk.counts.length;
    parts.at(-1)?.push(chunk);
  }
  return parts;
}

/**
 * Returns one message per datagram. Only the last has the watermark, since the earlier ones do not
 * complete the counts.
 */
export function encodeUsage({ source, watermarkMs, windows }: UsageUpdate): TellUsage[] {
  const parts = listParts(windows);
  return parts.map((part, index) =>
    create(TellUsageSchema, {
      incarnation: source.incarnation,
      reachedMs: index === parts.length - 1 ? watermarkMs : 0,
      windows: part.map(({ window, counts }) => ({
        window,
        organisations: counts.map(({ organisation }) => organisation),
        counts: counts.map(({ count }) => encodeUint32(count)),
      })),
    }),
  );
}

export function decodeUsage(instance: string, message: TellUsage): UsageUpdate {
  return {
    source: { instance, incarnation: message.incarnation },
    watermarkMs: message.reachedMs,
    windows: message.windows.map(({ window, organisations, counts }) => ({
      window,
      counts: organisations.map((organisation, index) => ({
        organisation,
        count: counts[index] ?? 0,
      })),
    })),
  };
}
