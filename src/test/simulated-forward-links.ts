/** Streams between simulated instances that carry exchanges for each other. */
import type { ForwardLinks, ForwardRequest } from '../forwarding/forward-messages.js';
import type { CallForwarding } from '../gateway/call-forwarding.js';
import { createAsyncQueue } from '../utils/async-queue.js';
import { createGate } from '../utils/gate.js';

export interface SimulatedForwardLinksOptions {
  readonly findCarrier: (address: string) => CallForwarding['runCarried'] | undefined;
  /** Runs something after the delay of the network. */
  readonly runLater: (run: () => void) => void;
}

export function createSimulatedForwardLinks({
  findCarrier,
  runLater,
}: SimulatedForwardLinksOptions): ForwardLinks {
  return {
    open(address, _timeoutMs, listener) {
      const requests = createAsyncQueue<ForwardRequest>();
      const abort = new AbortController();
      const gate = createGate();

      async function run(): Promise<void> {
        const runCarried = findCarrier(address);
        if (runCarried === undefined) {
          listener.onClosed(true, 'unimplemented');
          return;
        }
        for await (const response of runCarried(requests, abort.signal)) {
          runLater(() => {
            if (!abort.signal.aborted) listener.onResponse(response);
          });
          if (gate.isClosed()) await gate.waitOpened();
        }
      }

      runLater(() => {
        run().catch(() => undefined);
      });
      return {
        send: (request) => runLater(() => requests.add(request)),
        pause: () => gate.close(),
        resume: () => gate.open(),
        close() {
          abort.abort();
          gate.open();
          requests.close();
        },
      };
    },
    renew: () => undefined,
    close: () => undefined,
  };
}
