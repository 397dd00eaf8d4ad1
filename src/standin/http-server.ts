/** Starts and stops an HTTP server on loopback for a stand-in. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { RequestListener } from 'node:http';

/** A server that listens. */
export interface RunningServer {
  readonly url: string;
  readonly port: number;
  close(): Promise<void>;
}

/** Serves on a port (0: chosen by the system) and an address of this machine. */
export async function startHttpServer(
  listener: RequestListener,
  port: number,
  host = '127.0.0.1',
): Promise<RunningServer> {
  const server = createServer(listener);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address() as AddressInfo;
  return {
    url: `http://${host}:${address.port}`,
    port: address.port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
