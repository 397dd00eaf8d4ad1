/**
 * The HTTP/2 connection to one peer, opened when it is needed and replaced when it fails. The sessions
 * and streams have error listeners from their creation to their end, so that no error of a connection
 * is uncaught, whatever a peer, or another program at its address, sends.
 */
import { connect, constants } from 'node:http2';
import type { ClientHttp2Session, ClientHttp2Stream, OutgoingHttpHeaders } from 'node:http2';
import { Code, ConnectError } from '@connectrpc/connect';
import type { Http2SessionManager } from '@connectrpc/connect-node';

/** A session may be closed by the peer between its opening and the request. */
const REQUEST_ATTEMPTS = 2;

/** What the connect library needs of the sessions. */
export interface PeerSessions extends Pick<
  Http2SessionManager,
  'authority' | 'request' | 'notifyResponseByteRead'
> {
  /** Closes the connection and its streams; the next request opens another. */
  abort(): void;
}

interface Connection {
  readonly session: ClientHttp2Session;
  /** Rejects if the session ends before it is connected. */
  readonly opened: Promise<void>;
  streams: number;
}

/** The owner of the session learns of its errors by its end. */
function handleIgnored(): void {}

function waitConnected(session: ClientHttp2Session): Promise<void> {
  return new Promise((resolve, reject) => {
    session.once('connect', () => resolve());
    session.once('error', reject);
    session.once('close', () =>
      reject(new ConnectError('the connection was closed', Code.Unavailable)),
    );
  });
}

/** `idleTimeoutMs`: time after which a connection without streams is closed. */
export function createPeerSessions(address: string, idleTimeoutMs: number): PeerSessions {
  const { origin } = new URL(`http://${address}`);
  let current: Connection | undefined;

  function removeConnection(connection: Connection): void {
    if (current === connection) current = undefined;
  }

  function openConnection(): Connection {
    const session = connect(origin);
    session.on('error', handleIgnored);
    const connection: Connection = { session, opened: waitConnected(session), streams: 0 };
    connection.opened.catch(handleIgnored);
    session.once('connect', () => session.unref());
    session.once('close', () => removeConnection(connection));
    session.once('goaway', () => {
      removeConnection(connection);
      if (connection.streams === 0) session.destroy();
    });
    session.setTimeout(idleTimeoutMs, () => {
      if (connection.streams > 0) return;
      removeConnection(connection);
      session.close();
    });
    current = connection;
    return connection;
  }

  function recordStream(connection: Connection, stream: ClientHttp2Stream): void {
    const { session } = connection;
    connection.streams += 1;
    if (connection.streams === 1) session.ref();
    stream.on('error', handleIgnored);
    stream.once('close', () => {
      connection.streams -= 1;
      if (connection.streams === 0) session.unref();
    });
  }

  async function sendRequest(
    headers: OutgoingHttpHeaders,
    options: Parameters<PeerSessions['request']>[3],
    attemptsLeft: number,
  ): Promise<ClientHttp2Stream> {
    const connection = current ?? openConnection();
    const { session } = connection;
    await connection.opened;
    try {
      const stream = session.request(headers, options);
      recordStream(connection, stream);
      return stream;
    } catch (error) {
      removeConnection(connection);
      if (attemptsLeft === 0 || !(session.closed || session.destroyed)) throw error;
      return sendRequest(headers, options, attemptsLeft - 1);
    }
  }

  return {
    authority: origin,
    request: (method, path, headers, options) =>
      sendRequest({ ...headers, ':method': method, ':path': path }, options, REQUEST_ATTEMPTS - 1),
    // Connections that are silent are found by the timeouts of calls.
    notifyResponseByteRead: handleIgnored,
    abort() {
      const error = new ConnectError('connection aborted', Code.Canceled);
      current?.session.destroy(error, constants.NGHTTP2_CANCEL);
      current = undefined;
    },
  };
}
