/**
 * Signals to this process, remembered until the process handles them. Guards against the default action
 * of a signal, which ends a process that has just begun to start. Needs no other module, so that it can
 * be the first that an entry point runs.
 */

/** Signals to stop, and to reload. The runtime has handlers of its own for the first two. */
export const PROCESS_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
export type ProcessSignal = (typeof PROCESS_SIGNALS)[number];

export interface ProcessSignals {
  /** Sets the listener, which is called at once for the signals that came before. */
  onSignal(listener: (signal: ProcessSignal) => void): void;
}

/** Handles the signals from now on. */
export function subscribeSignals(): ProcessSignals {
  const early: ProcessSignal[] = [];
  let handleSignal = (signal: ProcessSignal): void => {
    early.push(signal);
  };
  PROCESS_SIGNALS.forEach((signal) => process.on(signal, () => handleSignal(signal)));
  return {
    onSignal(listener) {
      handleSignal = listener;
      early.splice(0).forEach(listener);
    },
  };
}
