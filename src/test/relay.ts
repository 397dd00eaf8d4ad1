/** A small TCP relay, to lose track of connections between two processes of a test. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A running relay. */
export interface Relay {
  readonly url: string;
  /** Connections open now carry nothing from here on and stay open; new ones work. */
  silenceOpen(): void;
  close(): Promise<void>;
}

/** Starts a relay to a port of this machine. */
export async function startRelay(targetPort: number): Promise<Relay> {
  const sockets = new Set<Socket>();
  const stalledSockets = new Set<Socket>();

  function addSocket(socket: Socket): void {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
  }

  function addForwarding(from: Socket, to: Socket): void {
    from.on('data', (chunk) => {
      if (!stalledSockets.has(from)) to.write(chunk);
    });
    from.on('close', () => to.destroy());
  }

  const server = createServer((client) => {
    addSocket(client);
    const target = connect(targetPort, '127.0.0.1');
    addSocket(target);
    addForwarding(client, target);
    addForwarding(target, client);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    silenceOpen() {
      for (const socket of sockets) stalledSockets.add(socket);
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}
