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
const IDLE_UNSTATED_MS = 1500;
/** An idle connection is given up this long before the endpoint would close it, in milliseconds: a call on its way must not meet the close. */
const IDLE_MARGIN_MS = 1000;
const INFORMATIONAL_MAX = 199;

/** One exchange with an endpoint. */
export interface EndpointExchange {
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
    exchange: EndpointExchange,
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
  isMade: boolean;
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
  const connectionsOf = new Map<string, Set<Connection>>();
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let made = 0;

  function removeConnection(connection: Connection): void {
    const connections = connectionsOf.get(connection.address);
    connections?.delete(connection);
    if (connections?.size === 0) connectionsOf.delete(connection.address);
    connection.client.destroy().catch(() => undefined);
  }

  function createConnection(address: string): Connection {
    const connection: Connection = {
      client: new Client(`http://${address}`, {
        pipelining: 1,
        // Silence is judged by the call's life, not by a fixed time here.
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: IDLE_UNSTATED_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
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
      isMade: false,
      isBusy: false,
      wasReset: false,
    };
    connection.client.on('connect', () => {
      connection.isMade = true;
      made += 1;
    });
    connection.client.on('disconnect', () => removeConnection(connection));
    const connections = connectionsOf.get(address) ?? new Set();
    connections.add(connection);
    connectionsOf.set(address, connections);
    return connection;
  }

  /** The connection used last, so that the others run into their idle time. */
  function findIdle(address: string): Connection | undefined {
    return [...(connectionsOf.get(address) ?? [])].findLast(({ isBusy }) => !isBusy);
  }

  function takeConnection(address: string, connectionsMax: number): Connection | undefined {
    const idle = findIdle(address);
    if (idle !== undefined) return idle;
    if ((connectionsOf.get(address)?.size ?? 0) >= connectionsMax) return undefined;
    return createConnection(address);
  }

  function runExchange(
    connection: Connection,
    exchange: EndpointExchange,
    listener: ExchangeListener,
  ): () => void {
    let controllerOf: Dispatcher.DispatchController | undefined;
    let isOver = false;
    connection.isBusy = true;

    function close(): void {
      isOver = true;
      controllerOf?.abort(new Error('the exchange is of no more use'));
      removeConnection(connection);
    }

    connection.client.dispatch(
      {
        method: exchange.method,
        path: exchange.target,
        headers: exchange.headers.flatMap(({ name, value }) => [name, value]),
        body: exchange.body.length === 0 ? null : exchange.body,
      },
      {
        onRequestStart(controller) {
          controllerOf = controller;
          if (isOver) controller.abort(new Error('the exchange is of no more use'));
        },
        onResponseStart(controller, status) {
          if (isOver || status <= INFORMATIONAL_MAX) return;
          if (!listener.onHead(status, parseRawHeaders(controller.rawHeaders))) close();
        },
        onResponseData(_, bytes) {
          if (isOver) return;
          if (!listener.onData(bytes)) close();
        },
        onResponseEnd() {
          if (isOver) return;
          isOver = true;
          connection.isBusy = false;
          if (connection.wasReset) listener.onError(true, 'the endpoint reset the connection');
          else listener.onEnd();
        },
        onResponseError(_, error) {
          if (isOver) return;
          isOver = true;
          const { isMade } = connection;
          removeConnection(connection);
          listener.onError(isMade, error.message);
        },
      },
    );
    return () => {
      if (!isOver) close();
    };
  }

  return {
    open(address, connectionsMax, exchange, listener) {
      const connection = takeConnection(address, connectionsMax);
      if (connection !== undefined) return runExchange(connection, exchange, listener);
      queueMicrotask(() => listener.onError(false, `all ${connectionsMax} connections are in use`));
      return () => undefined;
    },
    closeAll(address) {
      for (const connection of [...(connectionsOf.get(address) ?? [])]) {
        removeConnection(connection);
      }
    },
    countMade: () => made,
    async close() {
      const all = [...connectionsOf.values()].flatMap((connections) => [...connections]);
      connectionsOf.clear();
      await Promise.all(all.map(({ client }) => client.destroy()));
    },
  };
}
