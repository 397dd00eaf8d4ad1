import type { ScalingLimits } from '../types/traffic.js';
import { describe } from '../test/describe.js';
import type { DutyOutcome, ScaleRequest } from './duty-calls.js';
import type { DutyChange, DutyRow, DutyWriteResult } from './duty-store.js';
import { createPoolScaler } from './pool-scaler.js';
import type { ScalerMessage, PoolLoad } from './pool-scaler.js';

const SCALING: ScalingLimits = {
  dataCentres: ['a', 'b'],
  min: 1,
  max: 40,
  bootMs: 4000,
  spotPrice: 0.2,
};

/** A platform that carries out each request at once. */
function createHarness(rows: DutyRow[] = []) {
  const scaler = createPoolScaler();
  const sent: ScaleRequest[] = [];
  const counts = new Map<string, number>([
    ['a|false', 10],
    ['b|false', 10],
  ]);
  let outcome: DutyOutcome = 'done';
  let version = rows[0]?.version ?? 0;
  let nowMs = 0;

  function storeChange({ expected, writes }: DutyChange): DutyWriteResult {
    if (expected[0]?.version !== version) return { kind: 'conflict', rows };
    version += 1;
    rows.splice(0, rows.length, ...writes.map((write) => ({ ...write, version })));
    return { kind: 'written', version };
  }

  function run(message: ScalerMessage): void {
    for (const command of scaler.handle(message, nowMs)) {
      if (command.kind === 'read') run({ kind: 'read', rows });
      else if (command.kind === 'change') {
        run({ kind: 'changed', change: command.change, write: storeChange(command.change) });
      } else {
        const { request } = command;
        sent.push(request);
        if (outcome === 'done')
          counts.set(`${request.dataCentre}|${request.isSpot}`, request.count);
        run({ kind: 'sent', request, outcome });
      }
    }
  }

  function buildPool(backlogMs: number): PoolLoad {
    return {
      pool: 'p',
      scaling: SCALING,
      running: ['a', 'b'].map((dataCentre) => ({
        dataCentre,
        onDemand: counts.get(`${dataCentre}|false`) ?? 0,
        spot: counts.get(`${dataCentre}|true`) ?? 0,
      })),
      backlogMs,
      targetMs: 400,
    };
  }

  return {
    sent,
    rows,
    counts,
    run,
    setOutcome(next: DutyOutcome) {
      outcome = next;
    },
    /** Advances time with one tick per second. */
    advance(seconds: number, knowledgeAgeMs = 0, backlogMs = 0) {
      for (let second = 0; second < seconds; second += 1) {
        nowMs += 1000;
        run({ kind: 'tick', pools: [buildPool(backlogMs)], knowledgeAgeMs });
      }
    },
  };
}

describe('pool scaler', ({ it }) => {
  it('waits for a stable endpoint count, then converges', (t) => {
    const { sent, counts, advance } = createHarness();
    advance(1);
    t.is(sent.length, 0);
    advance(20);
    const before = sent.length;
    advance(60);
    t.is(sent.length, before);
    const all = [...counts.values()].reduce((sum, count) => sum + count, 0);
    t.true(all - (counts.get('a|true') ?? 0) >= 20);
  });

  // Guards against a pool being resized at each change of holder.
  it('requests the same counts after a change of holder', (t) => {
    const first = createHarness();
    first.advance(30);
    const next = createHarness([...first.rows]);
    for (const [key, count] of first.counts) next.counts.set(key, count);
    next.advance(30);
    for (const request of next.sent) {
      t.is(first.counts.get(`${request.dataCentre}|${request.isSpot}`), request.count);
    }
  });

  it('retries with a delay while capacity is unavailable', (t) => {
    const { sent, advance, setOutcome } = createHarness();
    setOutcome('unavailable');
    advance(30);
    const spot = sent.filter(({ isSpot, dataCentre }) => isSpot && dataCentre === 'a');
    t.true(spot.length >= 5 && spot.length <= 12, String(spot.length));
  });

  it('requests reclaimed endpoints again', (t) => {
    const { sent, counts, advance } = createHarness();
    advance(30);
    const before = sent.length;
    const requested = counts.get('a|true');
    counts.set('a|true', 0);
    advance(10);
    t.true(sent.length > before);
    t.is(counts.get('a|true'), requested);
  });

  it('stops when the pool is removed from the configuration', (t) => {
    const { sent, run, setOutcome, advance } = createHarness();
    setOutcome('rejected');
    advance(10);
    const other = { pool: 'q', scaling: SCALING, running: [], backlogMs: 0, targetMs: 400 };
    run({ kind: 'tick', pools: [other], knowledgeAgeMs: 0 });
    const before = sent.length;
    for (let count = 0; count < 5; count += 1) run({ kind: 'tick', pools: [], knowledgeAgeMs: 0 });
    t.true(before > 0);
    t.is(sent.length, before);
  });

  // Guards against shrinking a pool on outdated information.
  it('does not scale down on outdated information', (t) => {
    const { counts, advance } = createHarness();
    advance(2);
    advance(30, 60_000);
    t.is(counts.get('a|false'), 10);
  });

  it('grows the pool under backlog and delays scaling down', (t) => {
    const { counts, advance } = createHarness();
    advance(30);
    const idle = counts.get('a|true') ?? 0;
    advance(3, 0, 500);
    const loaded = counts.get('a|true') ?? 0;
    t.true(loaded > idle, `${loaded} ${idle}`);
    advance(20);
    t.is(counts.get('a|true'), loaded);
  });
});
