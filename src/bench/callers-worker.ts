/** A worker thread of the bench: the callers of one run. */
import { parentPort, workerData } from 'node:worker_threads';
import { sendArrivals } from './callers.js';
import type { CallersRequest } from './callers.js';

parentPort?.postMessage(await sendArrivals(workerData as CallersRequest));
