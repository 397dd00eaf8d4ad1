/**
 * Stands for `node:assert` in the bundle. Guards against a process that stops for seconds where a bare
 * assertion of a library fails: for its message the runtime reads and parses the file around the call, which
 * is the whole bundle.
 */
type Assert = typeof import('node:assert');

const MESSAGE = 'an assertion failed';

/** Not an import, which the bundler would replace by this module. */
const load = require;
const nodeAssert: Assert = load('node:assert') as Assert;

function assert(value: unknown, message: string | Error = MESSAGE): asserts value {
  nodeAssert.ok(value, message);
}

const plainAssert: unknown = Object.assign(assert, nodeAssert, { ok: assert });
export = plainAssert;
