/**
 * Bounds the bytes that were read from callers and are no request yet, of all connections together:
 * heads without an end, and requests that wait unparsed. Performs no I/O.
 */

export interface UnreadBudget<Connection> {
  /**
   * Sets what a connection holds; returns the connection that has to close, which is the one that holds
   * most, the oldest of equals.
   */
  set(connection: Connection, bytes: number): Connection | undefined;
  remove(connection: Connection): void;
  /** Bytes that are held. */
  getUsed(): number;
}

export function createUnreadBudget<Connection>(totalBytes: number): UnreadBudget<Connection> {
  const held = new Map<Connection, number>();
  let used = 0;

  function removeConnection(connection: Connection): void {
    used -= held.get(connection) ?? 0;
    held.delete(connection);
  }

  function findLargest(): Connection | undefined {
    let largest: Connection | undefined;
    let most = 0;
    for (const [connection, bytes] of held) {
      if (bytes > most) {
        largest = connection;
        most = bytes;
      }
    }
    return largest;
  }

  return {
    set(connection, bytes) {
      used += bytes - (held.get(connection) ?? 0);
      if (bytes === 0) held.delete(connection);
      else held.set(connection, bytes);
      return used > totalBytes ? findLargest() : undefined;
    },
    remove: removeConnection,
    getUsed: () => used,
  };
}
