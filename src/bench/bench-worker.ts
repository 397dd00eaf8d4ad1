/** A worker thread of the bench: one run, with a loop of its own. */
import { parentPort, workerData } from 'node:worker_threads';
import { runScenario } from './run-scenario.js';
import type { RunRequest } from './run-scenario.js';

parentPort?.postMessage(await runScenario(workerData as RunRequest));
