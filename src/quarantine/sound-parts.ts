/**
 * Parts of prompts on which endpoints lately wrote answers without crashing. Popular parts run on
 * endpoints that crash for other reasons all the time, and a few such crashes do not count against
 * them. Performs no I/O; bounded in size.
 */
import type { EndpointKey } from '../placement/remote-loads.js';
import type { SubjectId } from './crash-subject.js';

/** Time after the last sound run for which it excuses crashes. */
const MEMORY_MS = 10 * 60 * 1000;
/** Crashes excused since the last sound run; a part that has begun to crash endpoints is suspected from the next. */
const EXCUSED_MAX = 3;
/** About 2 MB of memory; the parts without a recent run give way. */
const PARTS_MAX = 8192;

export interface SoundParts {
  /** Records a sound run. */
  record(parts: readonly SubjectId[], nowMs: number): void;
  /** Whether the crash does not count against the part; each crash that is excused uses up the excuse. */
  takeExcuse(part: SubjectId, start: EndpointKey, nowMs: number): boolean;
}

interface SoundPart {
  readonly soundMs: number;
  readonly excused: Set<EndpointKey>;
}

export function createSoundParts(): SoundParts {
  const known = new Map<SubjectId, SoundPart>();

  function setSound(part: SubjectId, nowMs: number): void {
    known.delete(part);
    known.set(part, { soundMs: nowMs, excused: new Set() });
    const [oldest] = known.keys();
    if (known.size > PARTS_MAX && oldest !== undefined) known.delete(oldest);
  }

  return {
    record(parts, nowMs) {
      for (const part of parts) setSound(part, nowMs);
    },
    takeExcuse(part, start, nowMs) {
      const sound = known.get(part);
      if (sound === undefined || nowMs - sound.soundMs > MEMORY_MS) return false;
      if (sound.excused.has(start)) return true;
      if (sound.excused.size >= EXCUSED_MAX) return false;
      sound.excused.add(start);
      return true;
    },
  };
}
