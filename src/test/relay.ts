/** A small TCP relay, to cut or silence a connection between two processes of a test. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** What the relay does with bytes. */
export type RelayMode = 'open' | 'silent' | 'refusing';

/** A running relay. */
export interface Relay {
  readonly address: string;
  readonly url: string;
  /** `silent` keeps connections and swallows their bytes; `refusing` ends them and takes no new. */
  setMode(mode: RelayMode): void;
  close(): Promise<void>;
}

/** Starts a relay to a port of this machine. */
export async function startRelay(targetPort: number): Promise<Relay> {
  let mode: RelayMode = 'open';
  const sockets = new Set<Socket>();

  function addSocket(socket: Socket): void {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
  }

  function sendOn(from: Socket, to: Socket): void {
    from.on('data', (chunk) => {
      if (mode === 'open') to.write(chunk);
    });
    from.on('close', () => to.destroy());
  }

  const server = createServer((caller) => {
    addSocket(caller);
    if (mode === 'refusing') {
      caller.destroy();
      return;
    }
    const target = connect(targetPort, '127.0.0.1');
    addSocket(target);
    sendOn(caller, target);
    sendOn(target, caller);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    url: `http://127.0.0.1:${port}`,
    setMode(next) {
      mode = next;
      if (next === 'refusing') for (const socket of sockets) socket.destroy();
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}
