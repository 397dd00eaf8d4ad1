/** A TCP relay that can stop forwarding on open connections without closing them. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

export interface Relay {
  readonly url: string;
  /** Stops forwarding on the connections open now, without closing them; new ones work. */
  stallOpenConnections(): void;
  close(): Promise<void>;
}

/** Starts a relay to a port on the loopback interface. */
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
    stallOpenConnections() {
      for (const socket of sockets) stalledSockets.add(socket);
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}
