/** The send limits of a gateway, with the messages that instances exchange about them. */
import { createSendLimits } from '../endpoint-limits/send-limits.js';
import type {
  PermitMessage,
  SendLimits,
  SendLimitsObserver,
} from '../endpoint-limits/send-limits.js';
import type { Datagrams } from '../peers/datagrams.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import type { PeerExchange } from './peer-exchange.js';

const TICK_MS = 100;

export interface CallLimitsOptions {
  readonly self: string;
  readonly timers: TimerService;
  readonly random: Random;
  readonly observer: SendLimitsObserver;
  readonly datagrams: Pick<Datagrams, 'sendPermitRequests' | 'sendPermitReplies'>;
  readonly peers: Pick<PeerExchange, 'listAliveNames' | 'findAddress'>;
  readonly listOpen: (pool: string) => readonly RegisteredEndpoint[];
}

export function createCallLimits(options: CallLimitsOptions): SendLimits {
  const { timers, datagrams, peers } = options;

  function sendMessage(message: PermitMessage): void {
    const address = peers.findAddress(message.to);
    if (address === undefined) return;
    switch (message.kind) {
      case 'requests':
        datagrams.sendPermitRequests(address, message.requests);
        break;
      case 'replies':
        datagrams.sendPermitReplies(address, message.replies);
        break;
      default:
        assertNever(message);
    }
  }

  const limits = createSendLimits({
    self: options.self,
    random: options.random,
    getNow: () => timers.clock.monotonicMs(),
    listAlive: () => peers.listAliveNames(),
    listOpen: options.listOpen,
    observer: options.observer,
    send: sendMessage,
  });
  timers.subscribe(TICK_MS, () => limits.advance());
  return limits;
}
