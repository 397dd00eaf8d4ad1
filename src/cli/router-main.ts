#!/usr/bin/env node
/** Binary of the router. */
import { subscribeSignals } from '../runtime/process-signals.js';

const signals = subscribeSignals();
// Imported once signals are handled, since it takes most of the start.
const { runRouter } = await import('./run-router.js');
runRouter(signals);
