/** Probes an address by opening a TCP connection and sending no data. */
import { connect } from 'node:net';
import { ACCEPTANCE } from './crash-detector.js';
import type { Acceptance } from './crash-detector.js';

/** Well above the round-trip time between data centres. */
const CONNECT_TIMEOUT_MS = 300;
const REFUSED_CODE = 'ECONNREFUSED';

/** `address` has the form `HOST:PORT`. */
export function checkAcceptance(address: string): Promise<Acceptance> {
  const separator = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      timeout: CONNECT_TIMEOUT_MS,
    });
    const close = (result: Acceptance): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => close(ACCEPTANCE.Accepted));
    socket.once('timeout', () => close(ACCEPTANCE.Unreachable));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      close(error.code === REFUSED_CODE ? ACCEPTANCE.Refused : ACCEPTANCE.Unreachable);
    });
  });
}
