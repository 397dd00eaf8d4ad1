/** A map that evicts its least recently used entry when full. */
export interface BoundedMap<K, V> {
  get(key: K): V | undefined;
  set(key: K, value: V): void;
  remove(key: K): void;
  count(): number;
  countEvicted(): number;
}

export function createBoundedMap<K, V>(capacity: number): BoundedMap<K, V> {
  const entries = new Map<K, V>();
  let evicted = 0;
  return {
    get(key) {
      const value = entries.get(key);
      if (value === undefined) return undefined;
      entries.delete(key);
      entries.set(key, value);
      return value;
    },
    set(key, value) {
      entries.delete(key);
      entries.set(key, value);
      if (entries.size <= capacity) return;
      const [oldest] = entries.keys();
      entries.delete(oldest as K);
      evicted += 1;
    },
    remove(key) {
      entries.delete(key);
    },
    count: () => entries.size,
    countEvicted: () => evicted,
  };
}
