import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe } from '../test/describe.js';

const LIFE_URL = new URL('./process-life.js', import.meta.url).href;
const SIGNALS_URL = new URL('./process-signals.js', import.meta.url).href;
/** More than a pipe holds. */
const OUTPUT_BYTES = 4 * 1024 * 1024;
const READER_DELAY_MS = 300;

/** A server whose start writes a lot and fails. */
const PROGRAM = `
  const { runProcess } = await import('${LIFE_URL}');
  const { subscribeSignals } = await import('${SIGNALS_URL}');
  runProcess({
    signals: subscribeSignals(),
    async start() {
      process.stdout.write('x'.repeat(${OUTPUT_BYTES}) + '\\n');
      throw new Error('no start');
    },
    writeLine: (line) => process.stdout.write(JSON.stringify(line) + '\\n'),
    isLinkFailure: () => false,
    exit: (code) => process.exit(code),
  });`;

function startProgram() {
  return spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('the end of a process', ({ it }) => {
  // Guards against last lines that are lost, since what a full pipe does not take is written later.
  it('comes after its last line if the reader is slow', async (t) => {
    const child = startProgram();
    await waitMs(READER_DELAY_MS);
    const chunks: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    const [code] = (await once(child, 'close')) as [number];
    t.is(code, 1);
    const text = Buffer.concat(chunks).toString();
    t.true(text.length > OUTPUT_BYTES, `${text.length} bytes`);
    t.regex(text.slice(-200), /process_ended.*start_failed.*no start/);
  });

  // Guards against a process that stays for ever, since nobody reads its log.
  it('comes in time if nobody reads its output', async (t) => {
    const child = startProgram();
    const [code] = (await once(child, 'exit')) as [number];
    t.is(code, 1);
    child.stdout.destroy();
  });

  // Guards against an end of another kind if the reader of the log has gone.
  it('has its exit code if the reader has gone', async (t) => {
    const child = startProgram();
    child.stdout.destroy();
    const [code] = (await once(child, 'exit')) as [number];
    t.is(code, 1);
  });
});
