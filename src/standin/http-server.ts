/** HTTP server that the stand-ins share. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { RequestListener } from 'node:http';

export interface RunningServer {
  readonly url: string;
  readonly port: number;
  close(): Promise<void>;
}

/** Starts a server and waits until it listens; port 0 selects any free port. */
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
