/** Operators of a randomised run: two teams that publish at the same moments, each its own file. */
import { publishFiles } from '../configuration/publish.js';
import type { PublishRequest } from '../configuration/publish.js';
import { createConfigurationStore } from '../configuration/store.js';
import type { FakePlatform } from './fake-platform.js';
import { createActor } from './virtual-time.js';

/** What operators found. */
export interface SoakOperators {
  /** Publishes a team's file; resolves once its publisher has given up or is done. */
  publish(team: string, revision: number, files: ReadonlyMap<string, string>): Promise<void>;
  /** The highest version that a publisher was told is in force. */
  getHighest(): number;
}

/** Builds operators with access of their own. */
export function createSoakOperators(
  platform: FakePlatform,
  onBreach: (text: string) => void,
): SoakOperators {
  const access = platform.createAccess(createActor('operators'));
  const store = createConfigurationStore(access.table, access.objects);
  /** Which publication each version was told to be: one number must never be told to two. */
  const owners = new Map<number, string>();
  let highest = 0;
  return {
    async publish(team, revision, files) {
      const publishId = `${team}-${revision}`;
      const request: PublishRequest = {
        files,
        only: [`${team}.yaml`, ...(revision === 0 ? [...files.keys()] : [])],
        baseVersion: undefined,
        who: team,
        reason: 'soak',
        atMs: 0,
        publishId,
      };
      const published = await publishFiles(store, request);
      if (published.err || published.val.changes.length === 0) return;
      const { version } = published.val;
      const owner = owners.get(version);
      if (owner !== undefined) onBreach(`version ${version} is both ${owner} and ${publishId}`);
      owners.set(version, publishId);
      highest = Math.max(highest, version);
    },
    getHighest: () => highest,
  };
}
