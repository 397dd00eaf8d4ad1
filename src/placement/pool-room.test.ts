import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { ENDPOINT_VERDICT, createEndpointLoads } from './endpoint-loads.js';
import { LOAD_CLASS } from './load-class.js';
import type { LoadClass } from './load-class.js';
import { POOL_ROOM, createPoolRooms } from './pool-room.js';
import type { PoolRoom } from './pool-room.js';

const SLOTS = 10;
/** Longer than a pool must be watched for its room to be known. */
const WATCHED_MS = 6000;

function buildEndpoint(id: string, isLeaving = false): RegisteredEndpoint {
  return {
    id,
    startId: id,
    pool: 'p',
    address: `${id}:1`,
    dataCentre: 'd',
    slots: SLOTS,
    isLeaving,
    isSpot: false,
    softwareVersion: 'v1',
  };
}

function createPool(...ids: readonly string[]) {
  const loads = createEndpointLoads();
  let endpoints = ids.map((id) => buildEndpoint(id));
  let knowsFleetLoad = true;
  let nowMs = 0;
  const rooms = createPoolRooms({
    loads,
    listServing: () => endpoints,
    knowsFleetLoad: () => knowsFleetLoad,
  });
  rooms.get('p', nowMs);
  nowMs += WATCHED_MS;
  return {
    rooms,
    startOne: (id: string) => loads.start(buildEndpoint(id), 0, nowMs),
    start(id: string, count: number, loadClass: LoadClass = LOAD_CLASS.Normal): void {
      for (let index = 0; index < count; index += 1)
        loads.start(buildEndpoint(id), 0, nowMs, loadClass);
    },
    setEndpoints(next: readonly RegisteredEndpoint[]): void {
      endpoints = [...next];
    },
    setKnown(isKnown: boolean): void {
      knowsFleetLoad = isKnown;
    },
    /** The room some time later. */
    getAfter(ms: number): PoolRoom {
      nowMs += ms;
      return rooms.get('p', nowMs);
    },
    getNow: () => nowMs,
  };
}

describe('room for the least urgent calls of a pool', ({ it }) => {
  it('is what more urgent calls leave of the slots', (t) => {
    const pool = createPool('a', 'b');
    pool.start('a', 6, LOAD_CLASS.Urgent);
    pool.start('b', 10, LOAD_CLASS.Preemptible);
    t.is(pool.getAfter(1000), POOL_ROOM.Ample);
    pool.start('b', 6);
    t.is(pool.getAfter(1000), POOL_ROOM.Scarce);
    pool.start('b', 1);
    t.is(pool.getAfter(1000), POOL_ROOM.None);
  });

  // Guards against large calls that begin while the calls of a leaving endpoint move to those that stay.
  it('is not at endpoints that leave, whose calls are followed by others', (t) => {
    const pool = createPool('a', 'b', 'c');
    pool.start('a', 3);
    pool.start('b', 3);
    pool.start('c', 3);
    t.not(pool.getAfter(1000), POOL_ROOM.None);
    pool.setEndpoints([buildEndpoint('a'), buildEndpoint('b', true), buildEndpoint('c', true)]);
    t.is(pool.getAfter(1000), POOL_ROOM.None);
  });

  // Guards against large calls that begin right before the next of several endpoints leaves.
  it('leaves out one more endpoint for a while after one has left', (t) => {
    const pool = createPool('a', 'b', 'c');
    pool.start('a', 7);
    t.not(pool.getAfter(1000), POOL_ROOM.None);
    pool.setEndpoints([buildEndpoint('a'), buildEndpoint('b')]);
    t.is(pool.getAfter(1000), POOL_ROOM.None);
    t.is(pool.getAfter(9000), POOL_ROOM.None);
    t.not(pool.getAfter(1000), POOL_ROOM.None);
    pool.setEndpoints([buildEndpoint('a')]);
    t.is(pool.getAfter(1000), POOL_ROOM.None);
  });

  it('is back at once with an endpoint that replaces the one that left', (t) => {
    const pool = createPool('a', 'b');
    pool.start('a', 9);
    t.not(pool.getAfter(1000), POOL_ROOM.None);
    pool.setEndpoints([buildEndpoint('a'), buildEndpoint('b', true), buildEndpoint('c')]);
    t.not(pool.getAfter(1000), POOL_ROOM.None);
  });

  // Guards against large calls that begin in a lull between two bursts of more urgent ones.
  it('counts the recent peak of more urgent calls', (t) => {
    const pool = createPool('a');
    const tickets = Array.from({ length: 8 }, () => pool.startOne('a'));
    t.is(pool.getAfter(100), POOL_ROOM.None);
    for (const ticket of tickets) ticket.recordEnd(ENDPOINT_VERDICT.Good, pool.getNow());
    t.is(pool.getAfter(2000), POOL_ROOM.None);
    t.not(pool.getAfter(8000), POOL_ROOM.None);
  });

  // Guards against an instance that has just started in a lull and knows no peak.
  it('is smaller until the pool has been watched for a while', (t) => {
    const loads = createEndpointLoads();
    const rooms = createPoolRooms({
      loads,
      listServing: () => [buildEndpoint('a')],
      knowsFleetLoad: () => true,
    });
    for (let count = 0; count < 4; count += 1) loads.start(buildEndpoint('a'), 0, 0);
    t.is(rooms.get('p', 0), POOL_ROOM.None);
    t.not(rooms.get('p', WATCHED_MS), POOL_ROOM.None);
  });

  // Guards against a starting or leaving instance that takes all engines for idle.
  it('is unknown while the loads of other instances are', (t) => {
    const pool = createPool('a');
    pool.setKnown(false);
    t.is(pool.getAfter(1000), POOL_ROOM.None);
    pool.setKnown(true);
    t.not(pool.getAfter(1000), POOL_ROOM.None);
  });

  // Guards against large calls that begin between two refusals of more urgent ones.
  it('is not there while more urgent calls are refused', (t) => {
    const pool = createPool('a');
    for (let count = 0; count < 20; count += 1)
      pool.rooms.recordMoreUrgent('p', false, pool.getNow());
    pool.rooms.recordMoreUrgent('p', true, pool.getNow());
    t.is(pool.getAfter(100), POOL_ROOM.None);
    for (let count = 0; count < 20; count += 1)
      pool.rooms.recordMoreUrgent('p', false, pool.getNow());
    t.not(pool.getAfter(100), POOL_ROOM.None);
  });
});
