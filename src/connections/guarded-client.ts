/** Clients of undici whose connections are read under the limits of a guarded link. */
import { Agent, Client, Pool, buildConnector } from 'undici';
import type { Dispatcher } from 'undici';
import { createGuardedLink } from './guarded-link.js';
import type { GuardedLink } from './guarded-link.js';

type Handler = Dispatcher.DispatchHandler;
type HandlerArguments = readonly unknown[];

interface AnswerSteps {
  readonly start: () => void;
  readonly end: () => void;
}

/** An answer ends only if it has started: a request may fail while that before it is being answered. */
function createAnswerSteps(link: GuardedLink): AnswerSteps {
  let isStarted = false;
  return {
    start() {
      isStarted = true;
      link.startAnswer();
    },
    end() {
      if (isStarted) link.endAnswer();
      isStarted = false;
    },
  };
}

/** Undici has two interfaces of handlers, the second with a controller before all other arguments. */
function recordCall(
  name: string | symbol,
  [first, second]: HandlerArguments,
  link: GuardedLink,
  steps: AnswerSteps,
): void {
  switch (name) {
    case 'onConnect':
    case 'onRequestStart':
      steps.start();
      break;
    case 'onHeaders':
      link.recordHead(first as number);
      break;
    case 'onResponseStart':
      link.recordHead(second as number);
      break;
    case 'onData':
      link.recordBody((first as Uint8Array).length);
      break;
    case 'onResponseData':
      link.recordBody((second as Uint8Array).length);
      break;
    case 'onComplete':
    case 'onResponseEnd':
    case 'onError':
    case 'onResponseError':
      steps.end();
      break;
    default:
  }
}

/** Passes on what a handler is told of its answer. */
function createWatchedHandler(handler: Handler, link: GuardedLink): Handler {
  const steps = createAnswerSteps(link);
  return new Proxy(handler, {
    get(target, name) {
      const value: unknown = Reflect.get(target, name);
      if (typeof value !== 'function') return value;
      return (...args: unknown[]): unknown => {
        recordCall(name, args, link, steps);
        return Reflect.apply(value, target, args) as unknown;
      };
    },
  });
}

/** Creates a client with one connection, which carries one request at a time. */
export function createGuardedClient(origin: string | URL, options: Client.Options = {}): Client {
  const { connect, connectTimeout } = options;
  const connector =
    typeof connect === 'function'
      ? connect
      : buildConnector({ timeout: connectTimeout, ...connect });
  const link = createGuardedLink();
  const client = new Client(origin, {
    ...options,
    connect: (connectOptions, callback) => {
      connector(connectOptions, (error, socket) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        link.addSocket(socket);
        callback(null, socket);
      });
    },
    pipelining: 1,
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (request, handler) => dispatch(request, createWatchedHandler(handler, link));
  return client;
}

export function createGuardedPool(origin: string | URL, options: Pool.Options = {}): Pool {
  return new Pool(origin, { ...options, factory: createGuardedClient });
}

/** Creates a dispatcher for requests to any origin. */
export function createGuardedAgent(): Agent {
  return new Agent({ factory: createGuardedPool });
}
