import type { Contact } from '../membership/membership-messages.js';
import { describe } from '../test/describe.js';
import { createRandom } from '../utils/random.js';
import { createPeerChooser } from './choose-peer.js';
import type { PeerChooser } from './choose-peer.js';

function buildPeers(dataCentre: string, count: number): Contact[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${dataCentre}-${index}`,
    address: `${dataCentre}:${index}`,
    dataCentre,
  }));
}

interface Harness {
  readonly chooser: PeerChooser;
  setNow(nowMs: number): void;
}

function createHarness(peers: readonly Contact[]): Harness {
  let nowMs = 0;
  const chooser = createPeerChooser({
    dataCentre: 'own',
    listPeers: () => peers,
    random: createRandom(7),
    getNow: () => nowMs,
  });
  return {
    chooser,
    setNow(next) {
      nowMs = next;
    },
  };
}

describe('a chooser of peers', ({ it }) => {
  it('spreads calls over the peers of the own data centre', (t) => {
    const { chooser } = createHarness([...buildPeers('own', 3), ...buildPeers('far', 3)]);
    const chosen = Array.from({ length: 60 }, () => chooser.choose('e', new Set(), false)?.name);
    t.deepEqual([...new Set(chosen)].sort(), ['own-0', 'own-1', 'own-2']);
  });

  it('asks another data centre once those of the own one did not help', (t) => {
    const { chooser } = createHarness([...buildPeers('own', 1), ...buildPeers('far', 1)]);
    chooser.recordUnhelpful('own-0', 'e');
    t.is(chooser.choose('e', new Set(), false)?.name, 'far-0');
    t.is(chooser.choose('other endpoint', new Set(), false)?.name, 'far-0');
  });

  it('asks a peer again that did not help two seconds ago', (t) => {
    const { chooser, setNow } = createHarness(buildPeers('own', 1));
    chooser.recordUnhelpful('own-0', 'e');
    t.is(chooser.choose('e', new Set(), false), undefined);
    setNow(2001);
    t.is(chooser.choose('e', new Set(), false)?.name, 'own-0');
  });

  // Guards against asking instances of an older release, which do not know the call, over and over.
  it('does not ask a peer that does not know the call', (t) => {
    const { chooser, setNow } = createHarness(buildPeers('own', 1));
    chooser.recordUnsupported('own-0');
    setNow(59_000);
    t.is(chooser.choose('e', new Set(), false), undefined);
  });

  it('asks nobody twice for one attempt', (t) => {
    const { chooser } = createHarness(buildPeers('own', 2));
    t.is(chooser.choose('e', new Set(['own-0', 'own-1']), false), undefined);
  });
});
