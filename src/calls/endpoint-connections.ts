/**
 * HTTP connections to endpoints. Each connection has its own undici client, so that the state of the
 * connection that carries an exchange is known: whether it was established, and whether it was reset.
 */
import { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { Dispatcher } from 'undici';
import type { AnswerFault } from '../connections/answer-guard.js';
import { createGuardedLink, findAnswerFault, isRefusal } from '../connections/guarded-link.js';
import type { GuardedLink } from '../connections/guarded-link.js';
import type { HeaderField } from './call-messages.js';
import { isSuccess, isUnproven, readFraming } from './response-framing.js';
import type { ResponseFraming } from './response-framing.js';

/** Shorter than the retransmission timeout of a lost SYN: another endpoint is tried instead. */
const CONNECT_TIMEOUT_MS = 300;
/** Never reached: the timer of this module ends earlier. */
const CONNECTOR_TIMEOUT_MS = 10 * CONNECT_TIMEOUT_MS;
/** Idle timeout if the endpoint sends no `Keep-Alive` timeout. */
const DEFAULT_KEEP_ALIVE_MS = 1500;
/** Idle connections are closed this much before the endpoint would, to avoid sending into a closing connection. */
const KEEP_ALIVE_MARGIN_MS = 1000;
const INFORMATIONAL_STATUS_MAX = 199;
/** Codes of undici for a request that it does not write to anybody. */
const UNWRITABLE_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

/** Request to an endpoint. */
export interface EndpointRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly HeaderField[];
  readonly body: Buffer;
}

/** Receives the response; returning `false` closes the connection and ends the notifications. */
export interface ExchangeListener {
  /**
   * Read right before the request is written. If it is false, nothing is sent and `onWithheld` is
   * the only notification, as it is for a request that no connection can write. Guards against a request that waits for its connection while the endpoint
   * says that it takes no more.
   */
  isSendAllowed(): boolean;
  onWithheld(): void;
  onHead(status: number, headers: readonly HeaderField[]): boolean;
  onData(bytes: Buffer): boolean;
  onEnd(): void;
  /**
   * `isSent`: bytes of the request may have reached the endpoint. `isUnreachable`: no connection
   * could be made. `isRefused`: this instance closed the connection because of what the endpoint sent.
   */
  onError(isSent: boolean, reason: string, isUnreachable?: boolean, isRefused?: boolean): void;
  /**
   * The response is silent, and the path to the endpoint, or the start that was sent the request, counts as
   * lost; the exchange goes on. May be called again.
   */
  onPathLost?(): void;
}

/** Lets the receiver of a response hold it back; the functions have no effect outside of one. */
export interface ExchangeFlow {
  pause: () => void;
  resume: () => void;
}

/** Connections of this instance to all endpoints. */
export interface EndpointConnections {
  /**
   * Starts an exchange; the returned function closes its connection. `address`: HOST:PORT, or an origin with
   * its scheme.
   */
  open(
    address: string,
    connectionsMax: number,
    request: EndpointRequest,
    listener: ExchangeListener,
    flow?: ExchangeFlow,
  ): () => void;
  /** Closes the connections to an address that carry no exchange. */
  closeIdle(address: string): void;
  /** Number of connections opened since the start. */
  countOpened(): number;
  close(): Promise<void>;
}

interface Connection {
  readonly client: Client;
  readonly link: GuardedLink;
  readonly address: string;
  wasConnected: boolean;
  isBusy: boolean;
  /** The connection was reset or failed otherwise than by a FIN. */
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

function isUnwritable({ code = '' }: NodeJS.ErrnoException): boolean {
  return UNWRITABLE_CODES.has(code);
}

function buildOrigin(address: string): string {
  return address.includes('://') ? address : `http://${address}`;
}

export interface EndpointConnectionsOptions {
  /** Address that connections are made from; chosen by the system by default. */
  readonly sourceHost?: string | undefined;
  /** A connection was closed because of what its endpoint sent. */
  readonly onAnswerFault?: (address: string, fault: AnswerFault) => void;
}

/**
 * Destroys a socket that is not connected in time. The second look after the event loop has polled
 * again guards against taking a pause of this process for a slow endpoint. The timeout of undici's
 * connector is read from a coarse clock, up to three times as late.
 */
function startConnectTimer(socket: Socket): void {
  const closeUnconnected = (): void => {
    if (socket.connecting)
      socket.destroy(new Error(`not connected within ${CONNECT_TIMEOUT_MS} ms`));
  };
  const timer = setTimeout(() => setImmediate(closeUnconnected), CONNECT_TIMEOUT_MS);
  const stopTimer = (): void => clearTimeout(timer);
  socket.once('connect', stopTimer);
  socket.once('close', stopTimer);
}

/** Creates a pool that opens connections on demand. */
export function createEndpointConnections({
  sourceHost,
  onAnswerFault,
}: EndpointConnectionsOptions = {}): EndpointConnections {
  const connectionsByAddress = new Map<string, Set<Connection>>();
  const connector = buildConnector({ timeout: CONNECTOR_TIMEOUT_MS });
  let openedCount = 0;

  /** Guards against an exchange that is given a connection which is about to be closed. */
  function removeFromPool(connection: Connection): void {
    const connections = connectionsByAddress.get(connection.address);
    connections?.delete(connection);
    if (connections?.size === 0) connectionsByAddress.delete(connection.address);
  }

  function removeConnection(connection: Connection): void {
    removeFromPool(connection);
    connection.client.destroy().catch(() => undefined);
  }

  function createConnection(address: string): Connection {
    const link = createGuardedLink();
    const connection: Connection = {
      client: new Client(buildOrigin(address), {
        pipelining: 1,
        ...(sourceHost === undefined ? {} : { localAddress: sourceHost }),
        // The call state machine detects stalled responses.
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        connect: (options, callback) => {
          const connecting: unknown = connector(options, (error, socket) => {
            // Guards against a truncated response without a length that looks complete: libuv reports a
            // reset that arrives with the last bytes as `end`. After a reset the socket has no remote
            // address. This listener is added first, so it runs before undici handles the end.
            socket?.on('end', () => {
              connection.wasReset ||= socket.remoteAddress === undefined;
            });
            socket?.on('error', () => {
              connection.wasReset = true;
            });
            if (error !== null) callback(error, null);
            else {
              link.addSocket(socket);
              callback(null, socket);
            }
          });
          if (connecting instanceof Socket) startConnectTimer(connecting);
        },
      }),
      link,
      address,
      wasConnected: false,
      isBusy: false,
      wasReset: false,
    };
    connection.client.on('connect', () => {
      connection.wasConnected = true;
      openedCount += 1;
    });
    connection.client.on('disconnect', (_, __, error) => {
      const fault = findAnswerFault(error);
      if (fault !== undefined) onAnswerFault?.(address, fault);
      removeConnection(connection);
    });
    const connections = connectionsByAddress.get(address) ?? new Set();
    connections.add(connection);
    connectionsByAddress.set(address, connections);
    return connection;
  }

  /** Returns the most recently added idle connection, so that the others reach their idle timeout. */
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
    flow: ExchangeFlow | undefined,
  ): () => void {
    /** Undefined until the request is written. */
    let requestController: Dispatcher.DispatchController | undefined;
    let isFinished = false;
    let status = 0;
    let framing: ResponseFraming | undefined;
    let bodyBytes = 0;
    connection.isBusy = true;

    /** Undici's parsers go on only while none of them handles bytes. */
    function setFlow(
      exchangeFlow: ExchangeFlow,
      controller: Pick<Dispatcher.DispatchController, 'pause' | 'resume'>,
    ): void {
      let isHeld = false;
      const resume = (): void => {
        // The connection may carry another exchange by now.
        if (isHeld || isFinished) return;
        controller.resume();
        connection.link.release();
      };
      Object.assign(exchangeFlow, {
        pause() {
          if (isFinished) return;
          isHeld = true;
          connection.link.hold();
          controller.pause();
        },
        resume() {
          isHeld = false;
          queueMicrotask(resume);
        },
      });
    }

    function close(): void {
      isFinished = true;
      requestController?.abort(new Error('exchange cancelled'));
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
          connection.link.startAnswer();
          if (flow !== undefined) setFlow(flow, controller);
          if (isFinished) controller.abort(new Error('exchange cancelled'));
          else if (!listener.isSendAllowed()) {
            close();
            queueMicrotask(() => listener.onWithheld());
          }
        },
        onResponseStart(controller, responseStatus) {
          const isAllowed = connection.link.recordHead(responseStatus);
          if (!isAllowed || isFinished || responseStatus <= INFORMATIONAL_STATUS_MAX) return;
          const headers = parseRawHeaders(controller.rawHeaders);
          status = responseStatus;
          framing = readFraming(request.method, status, headers);
          if (framing.endsWithConnection && isSuccess(status))
            connection.link.recordUnframed(request.body.length);
          if (!listener.onHead(status, headers)) close();
        },
        onResponseData(_, bytes) {
          if (isFinished) return;
          bodyBytes += bytes.length;
          connection.link.recordBody(bytes.length);
          if (!listener.onData(bytes)) close();
        },
        onResponseEnd() {
          if (isFinished) return;
          isFinished = true;
          connection.isBusy = false;
          connection.link.endAnswer();
          if (framing?.closesConnection === true) removeFromPool(connection);
          if (connection.wasReset) listener.onError(true, 'connection reset by the endpoint');
          else if (framing !== undefined && isUnproven(framing, status, bodyBytes))
            listener.onError(true, 'connection closed by the endpoint before the body');
          else listener.onEnd();
        },
        onResponseError(_, error) {
          if (isFinished) return;
          isFinished = true;
          const { wasConnected } = connection;
          removeConnection(connection);
          // Guards against a request that makes every endpoint it is meant for count as unreachable.
          if (isUnwritable(error)) {
            queueMicrotask(() => listener.onWithheld());
            return;
          }
          const isSent = requestController !== undefined;
          listener.onError(isSent, error.message, !wasConnected, isRefusal(error));
        },
      },
    );
    return () => {
      if (!isFinished) close();
    };
  }

  return {
    open(address, connectionsMax, request, listener, flow) {
      const connection = takeConnection(address, connectionsMax);
      if (connection !== undefined) return runExchange(connection, request, listener, flow);
      queueMicrotask(() => listener.onError(false, `all ${connectionsMax} connections are in use`));
      return () => undefined;
    },
    closeIdle(address) {
      for (const connection of [...(connectionsByAddress.get(address) ?? [])]) {
        if (!connection.isBusy) removeConnection(connection);
      }
    },
    countOpened: () => openedCount,
    async close() {
      const all = [...connectionsByAddress.values()].flatMap((connections) => [...connections]);
      connectionsByAddress.clear();
      await Promise.all(all.map(({ client }) => client.destroy()));
    },
  };
}
