/** Binds the ports of a router before it does anything that its peers or the platform see. */
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createCallerConnections } from '../caller-connections/caller-connections.js';
import type {
  CallerConnections,
  CallerConnectionsOptions,
} from '../caller-connections/caller-connections.js';
import { createPeerServer } from '../peers/peer-server.js';
import type { PeerServer } from '../peers/peer-server.js';
import type { PortBinder } from '../runtime/bind-port.js';
import { createRequestGate } from '../runtime/request-gate.js';
import type { ResolvedRouterConfig } from './settings.js';

/** Larger request headers are answered with status 431. */
export const HEADER_BYTES_MAX = 16_384;

/** A server that answers with status 503 until `start` is called. */
interface HeldServer {
  readonly server: Server;
  readonly start: (listener: RequestListener) => void;
}

export interface RouterPorts {
  readonly callers: HeldServer & CallerConnections;
  readonly operators: HeldServer;
  readonly peerServer: PeerServer;
  close(): Promise<void>;
}

export function getPort(server: Pick<Server, 'address'>): number {
  return (server.address() as AddressInfo).port;
}

function createHeldServer(server: Server): HeldServer {
  return { server, start: createRequestGate(server) };
}

/** Throws a `PortUnavailableError`, or the reason of a stop, with all ports closed. */
export async function openRouterPorts(
  config: Pick<ResolvedRouterConfig, 'callers' | 'operators' | 'peers'>,
  binder: PortBinder,
  callerOptions: CallerConnectionsOptions,
): Promise<RouterPorts> {
  const callers = createHeldServer(createServer({ maxHeaderSize: HEADER_BYTES_MAX }));
  const callerConnections = createCallerConnections(callers.server, callerOptions);
  const operators = createHeldServer(createServer());
  const peerServer = createPeerServer();

  async function close(): Promise<void> {
    for (const { server } of [callers, operators]) {
      server.close();
      server.closeAllConnections();
    }
    await peerServer.close();
  }

  try {
    // In the same order in all processes, so that no two wait for each other; callers come last.
    await binder.openServer({ role: 'peers', address: config.peers }, peerServer.server);
    await binder.openServer({ role: 'operators', address: config.operators }, operators.server);
    await binder.openServer({ role: 'callers', address: config.callers }, callers.server);
    return { callers: { ...callers, ...callerConnections }, operators, peerServer, close };
  } catch (error) {
    await close();
    throw error;
  }
}
