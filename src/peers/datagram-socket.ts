/** The UDP socket of an instance, which is opened anew if it fails. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { parseListen } from '../utils/address.js';
import type { TimerService } from '../runtime/timer-service.js';

const REOPEN_MIN_MS = 100;
const REOPEN_MAX_MS = 1000;

/** Operations that fail for one datagram and leave the socket as it is. */
const DATAGRAM_SYSCALLS: readonly string[] = ['getaddrinfo', 'send'];

export interface DatagramSocket {
  /** Datagrams are dropped while the socket is opened anew. */
  send(bytes: Uint8Array, port: number, host: string): void;
  /** Sets the listener; datagrams before it are dropped. */
  onMessage(listener: (bytes: Uint8Array) => void): void;
  /** Sets the listener for errors; the socket needs no help from it. */
  onError(listener: (reason: string) => void): void;
  close(): void;
}

export interface DatagramSocketOptions {
  /** HOST:PORT */
  readonly address: string;
  readonly timers: TimerService;
  /** @default an IPv4 socket of the system */
  readonly createSystemSocket?: () => Socket;
}

function startReceiving(socket: Socket, address: string): Promise<void> {
  const { host, port } = parseListen(address);
  return new Promise((resolve, reject) => {
    const onError = (error: Error): void => {
      socket.close();
      reject(error);
    };
    socket.once('error', onError);
    socket.bind(port, host, () => {
      socket.off('error', onError);
      resolve();
    });
  });
}

/** Opens the socket, trying once; rejects if its port is held. */
export async function openDatagramSocket({
  address,
  timers,
  createSystemSocket = () => createSocket('udp4'),
}: DatagramSocketOptions): Promise<DatagramSocket> {
  let current: Socket | undefined;
  let isClosed = false;
  let handleMessage: (bytes: Uint8Array) => void = () => undefined;
  let handleError: (reason: string) => void = () => undefined;

  async function openSocket(): Promise<void> {
    const socket = createSystemSocket();
    await startReceiving(socket, address);
    if (isClosed) {
      socket.close();
      return;
    }
    current = socket;
    socket.on('message', (bytes) => handleMessage(bytes));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      handleError(String(error));
      if (current === socket && !DATAGRAM_SYSCALLS.includes(error.syscall ?? '')) {
        current = undefined;
        socket.close();
        startReopening(REOPEN_MIN_MS);
      }
    });
  }

  /** Guards against an instance that hears no peer for the rest of its life. */
  function startReopening(delayMs: number): void {
    timers.subscribeOnce(delayMs, () => {
      if (isClosed) return;
      openSocket().catch((error: unknown) => {
        handleError(String(error));
        startReopening(Math.min(REOPEN_MAX_MS, delayMs * 2));
      });
    });
  }

  await openSocket();
  return {
    send: (bytes, port, host) => current?.send(bytes, port, host),
    onMessage(listener) {
      handleMessage = listener;
    },
    onError(listener) {
      handleError = listener;
    },
    close() {
      isClosed = true;
      current?.close();
      current = undefined;
    },
  };
}
