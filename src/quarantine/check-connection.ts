/** Probes an address by opening a TCP connection and sending no data. */
import { connect } from 'node:net';
import { CONNECTION_RESULT } from './crash-detector.js';
import type { ConnectionResult } from './crash-detector.js';

/** Well above the round-trip time between data centres. */
const CONNECT_TIMEOUT_MS = 300;
const REFUSED_CODE = 'ECONNREFUSED';

/**
 * `address` has the form `HOST:PORT`. `sourceHost`: address that the connection is made from; chosen
 * by the system by default.
 */
export function checkConnection(address: string, sourceHost?: string): Promise<ConnectionResult> {
  const separator = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      timeout: CONNECT_TIMEOUT_MS,
      ...(sourceHost === undefined ? {} : { localAddress: sourceHost }),
    });
    const close = (result: ConnectionResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => close(CONNECTION_RESULT.Accepted));
    // Guards against taking a pause of this process for silence: a connection made meanwhile is seen first.
    socket.once('timeout', () => setImmediate(() => close(CONNECTION_RESULT.Unreachable)));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      close(
        error.code === REFUSED_CODE ? CONNECTION_RESULT.Refused : CONNECTION_RESULT.Unreachable,
      );
    });
  });
}
