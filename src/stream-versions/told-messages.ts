/** Groups bindings that are told by owner, pool and version, so that a stream takes 8 bytes. Performs no I/O. */
import type { UntoldBinding } from './binding-ledger.js';
import type { BindingMessage } from './binding-messages.js';
import type { StreamBinding, StreamKey } from './stream-binding.js';

/** Streams in one datagram; the others follow in the next. */
const DATAGRAM_KEYS_MAX = 128;

interface ToldGroup {
  readonly to: string;
  readonly binding: StreamBinding;
  readonly keys: StreamKey[];
}

function buildGroupMessages({ to, binding, keys }: ToldGroup, lifeMs: number): BindingMessage[] {
  const messages: BindingMessage[] = [];
  for (let from = 0; from < keys.length; from += DATAGRAM_KEYS_MAX) {
    const group = { ...binding, keys: keys.slice(from, from + DATAGRAM_KEYS_MAX), lifeMs };
    messages.push({ kind: 'told', to, groups: [group] });
  }
  return messages;
}

/** `listOwnersOf` returns the instances to tell of a stream, whose callers try for `lifeMs` at most. */
export function buildToldMessages(
  untold: readonly UntoldBinding[],
  listOwnersOf: (key: StreamKey) => readonly string[],
  lifeMs: number,
): BindingMessage[] {
  const groups = new Map<string, ToldGroup>();
  for (const { key, binding } of untold) {
    for (const to of listOwnersOf(key)) {
      const name = `${binding.pool}|${binding.version}|${to}`;
      const group = groups.get(name) ?? { to, binding, keys: [] };
      group.keys.push(key);
      groups.set(name, group);
    }
  }
  return [...groups.values()].flatMap((group) => buildGroupMessages(group, lifeMs));
}
