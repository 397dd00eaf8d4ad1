/**
 * Connections to endpoints by undici, one client for each connection, so that it is known on which
 * connection an exchange runs, whether it was made before the call was written, and how it ended.
 */
import { Client, buildConnector } from 'undici';
import type { Dispatcher } from 'undici';
import type { HeaderField } from './call-messages.js';

/** A connection that is not made within this time counts as not made, in milliseconds: a hundred times a round trip between data centres. A lost opening packet is sent again after a second; another endpoint has answered by then. */
const CONNECT_TIMEOUT_MS = 300;
/** How long an idle connection is kept where the endpoint names no time, in milliseconds. */
const DEFAULT_KEEP_ALIVE_MS = 1500;
/** An idle connection is given up this long before the endpoint would close it, in milliseconds: a call on its way must not meet the close. */
const KEEP_ALIVE_MARGIN_MS = 1000;
const INFORMATIONAL_STATUS_MAX = 199;

/** One exchange with an endpoint. */
export interface EndpointRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly HeaderField[];
  readonly body: Buffer;
}

/** What an exchange reports; `false` closes its connection and ends the reports. */
export interface ExchangeListener {
  onHead(status: number, headers: readonly HeaderField[]): boolean;
  onData(bytes: Buffer): boolean;
  onEnd(): void;
  /** `isSent`: bytes of the call may have reached the endpoint. */
  onError(isSent: boolean, reason: string): void;
}

/** Connections of one instance to all endpoints. */
export interface EndpointConnections {
  /** Starts an exchange; the returned function closes its connection. */
  open(
    address: string,
    connectionsMax: number,
    request: EndpointRequest,
    listener: ExchangeListener,
  ): () => void;
  /** Closes every connection to an address; exchanges under way there break off. */
  closeAll(address: string): void;
  /** Connections made since the start. */
  countMade(): number;
  close(): Promise<void>;
}

interface Connection {
  readonly client: Client;
  readonly address: string;
  wasConnected: boolean;
  isBusy: boolean;
  /** The endpoint reset the connection, or it failed otherwise than by an orderly end. */
  wasReset: boolean;
}

function parseRawHeaders(raw: Dispatcher.DispatchController['rawHeaders']): HeaderField[] {
  const fields: HeaderField[] = [];
  if (!Array.isArray(raw)) return fields;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = (raw[index] as Buffer | string).toString('latin1');
    fields.push({ name, value: (raw[index + 1] as Buffer | string).toString('latin1') });
  }
  return fields;
}

/** Builds connections; none is made before it is needed. */
export function createEndpointConnections(): EndpointConnections {
  const connectionsByAddress = new Map<string, Set<Connection>>();
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let openedCount = 0;

  function removeConnection(connection: Connection): void {
    const connections = connectionsByAddress.get(connection.address);
    connections?.delete(connection);
    if (connections?.size === 0) connectionsByAddress.delete(connection.address);
    connection.client.destroy().catch(() => undefined);
  }

  function createConnection(address: string): Connection {
    const connection: Connection = {
      client: new Client(`http://${address}`, {
        pipelining: 1,
        // Silence is judged by the call's life, not by a fixed time here.
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        connect: (options, callback) => {
          connector(options, (error, socket) => {
            // Guards against taking a reset for the end of an answer without a length. It shows as a
            // short answer that looks whole: libuv reports a reset that arrives with the last bytes as
            // an orderly end. By then the socket has no peer any more, which an orderly end leaves it.
            // It is looked at before undici sees the end, since the listener is added first.
            socket?.on('end', () => {
              connection.wasReset ||= socket.remoteAddress === undefined;
            });
            socket?.on('error', () => {
              connection.wasReset = true;
            });
            if (error !== null) callback(error, null);
            else callback(null, socket);
          });
        },
      }),
      address,
      wasConnected: false,
      isBusy: false,
      wasReset: false,
    };
    connection.client.on('connect', () => {
      connection.wasConnected = true;
      openedCount += 1;
    });
    connection.client.on('disconnect', () => removeConnection(connection));
    const connections = connectionsByAddress.get(address) ?? new Set();
    connections.add(connection);
    connectionsByAddress.set(address, connections);
    return connection;
  }

  /** The connection used last, so that the others run into their idle time. */
  function findIdleConnection(address: string): Connection | undefined {
    return [...(connectionsByAddress.get(address) ?? [])].findLast(({ isBusy }) => !isBusy);
  }

  function takeConnection(address: string, connectionsMax: number): Connection | undefined {
    const idle = findIdleConnection(address);
    if (idle !== undefined) return idle;
    if ((connectionsByAddress.get(address)?.size ?? 0) >= connectionsMax) return undefined;
    return createConnection(address);
  }

  function runExchange(
    connection: Connection,
    request: EndpointRequest,
    listener: ExchangeListener,
  ): () => void {
    let requestController: Dispatcher.DispatchController | undefined;
    let isFinished = false;
    connection.isBusy = true;

    function close(): void {
      isFinished = true;
      requestController?.abort(new Error('the exchange is of no more use'));
      removeConnection(connection);
    }

    connection.client.dispatch(
      {
        method: request.method,
        path: request.target,
        headers: request.headers.flatMap(({ name, value }) => [name, value]),
        body: request.body.length === 0 ? null : request.body,
      },
      {
        onRequestStart(controller) {
          requestController = controller;
          if (isFinished) controller.abort(new Error('the exchange is of no more use'));
        },
        onResponseStart(controller, status) {
          if (isFinished || status <= INFORMATIONAL_STATUS_MAX) return;
          if (!listener.onHead(status, parseRawHeaders(controller.rawHeaders))) close();
        },
        onResponseData(_, bytes) {
          if (isFinished) return;
          if (!listener.onData(bytes)) close();
        },
        onResponseEnd() {
          if (isFinished) return;
          isFinished = true;
          connection.isBusy = false;
          if (connection.wasReset) listener.onError(true, 'the endpoint reset the connection');
          else listener.onEnd();
        },
        onResponseError(_, error) {
          if (isFinished) return;
          isFinished = true;
          const { wasConnected } = connection;
          removeConnection(connection);
          listener.onError(wasConnected, error.message);
        },
      },
    );
    return () => {
      if (!isFinished) close();
    };
  }

  return {
    open(address, connectionsMax, request, listener) {
      const connection = takeConnection(address, connectionsMax);
      if (connection !== undefined) return runExchange(connection, request, listener);
      queueMicrotask(() => listener.onError(false, `all ${connectionsMax} connections are in use`));
      return () => undefined;
    },
    closeAll(address) {
      for (const connection of [...(connectionsByAddress.get(address) ?? [])]) {
        removeConnection(connection);
      }
    },
    countMade: () => openedCount,
    async close() {
      const all = [...connectionsByAddress.values()].flatMap((connections) => [...connections]);
      connectionsByAddress.clear();
      await Promise.all(all.map(({ client }) => client.destroy()));
    },
  };
}
