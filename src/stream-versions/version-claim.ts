/** Decides what is left of a claim after the registry's changes since. Performs no I/O. */
import { hashName } from '../utils/hash.js';
import { buildBinding } from './stream-binding.js';
import type { PoolKey, StreamBinding } from './stream-binding.js';
import type { EndpointChanges, VersionClaim } from './stream-row.js';

/**
 * Lists the pools of a claim that had no other version until the changes were read. An endpoint that
 * came and went since has no version that anybody knows, so it ends the whole claim.
 */
export function listUnchanged(
  { pools, endpoints }: VersionClaim,
  { present, removed }: Pick<EndpointChanges, 'present' | 'removed'>,
): StreamBinding[] {
  const known = new Set(endpoints);
  if (removed.some((id) => !known.has(hashName(id)))) return [];
  const changed = present.map(buildBinding);
  const hasOther = (pool: PoolKey, version: number): boolean =>
    changed.some((binding) => binding.pool === pool && binding.version !== version);
  return pools.filter(({ pool, version }) => !hasOther(pool, version));
}
