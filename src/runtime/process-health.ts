/** Memory and event loop of this process, against the memory of its machine. */
import { totalmem } from 'node:os';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { TimerService, Unsubscribe } from './timer-service.js';

const CHECK_PERIOD_MS = 1000;
/** Share of the machine's memory from which on the process is in danger. */
const HIGH_SHARE = 0.8;
/** It counts as low again below this share. */
const LOW_SHARE = 0.7;
const DELAY_RESOLUTION_MS = 10;
const NS_PER_S = 1e9;
const US_PER_MS = 1000;

/** In bytes. */
export interface MemoryLevel {
  readonly isHigh: boolean;
  readonly residentBytes: number;
  readonly machineBytes: number;
}

export interface MemoryWatchOptions {
  readonly getResidentBytes: () => number;
  readonly machineBytes: number;
  /** The memory of the process has become high, or low again. */
  readonly onChanged: (level: MemoryLevel) => void;
}

/** Returns the function that checks the memory. Does no I/O. */
export function createMemoryWatch({
  getResidentBytes,
  machineBytes,
  onChanged,
}: MemoryWatchOptions): () => void {
  let isHigh = false;
  return () => {
    const residentBytes = getResidentBytes();
    const isNowHigh = residentBytes > machineBytes * (isHigh ? LOW_SHARE : HIGH_SHARE);
    if (isNowHigh === isHigh) return;
    isHigh = isNowHigh;
    onChanged({ isHigh, residentBytes, machineBytes });
  };
}

export interface ProcessHealth {
  getResidentBytes(): number;
  /** Processor time that the process has used, in milliseconds. */
  getCpuMs(): number;
  /** Returns by how much the event loop was late at most since the last call, in seconds. */
  takeLoopDelaySeconds(): number;
  stop(): void;
}

/** Starts to measure; `onMemoryChanged` is called when the memory becomes high, or low again. */
export function createProcessHealth(
  timers: TimerService,
  onMemoryChanged: MemoryWatchOptions['onChanged'],
): ProcessHealth {
  const getResidentBytes = (): number => process.memoryUsage.rss();
  const delays = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });
  delays.enable();
  const unsubscribe: Unsubscribe = timers.subscribe(
    CHECK_PERIOD_MS,
    createMemoryWatch({
      getResidentBytes,
      machineBytes: totalmem(),
      onChanged: onMemoryChanged,
    }),
  );
  return {
    getResidentBytes,
    getCpuMs() {
      const { user, system } = process.cpuUsage();
      return (user + system) / US_PER_MS;
    },
    takeLoopDelaySeconds() {
      const seconds = delays.max / NS_PER_S - DELAY_RESOLUTION_MS / 1000;
      delays.reset();
      return Math.max(0, seconds);
    },
    stop() {
      delays.disable();
      unsubscribe();
    },
  };
}
