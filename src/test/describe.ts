/** Nested `describe` blocks for ava, which has none of its own: a block prefixes its tests' titles. */
import test from 'ava';
import type { ExecutionContext } from 'ava';

type TestFunction = (t: ExecutionContext) => void | Promise<void>;

/** What a block's function is given. */
export interface Block {
  readonly describe: (title: string, define: (block: Block) => void) => void;
  /** A test that may run beside others of its file. */
  readonly it: (title: string, body: TestFunction) => void;
  /** A test that runs alone within its file. */
  readonly itSerial: (title: string, body: TestFunction) => void;
}

const TITLE_SEPARATOR = ' › ';

function createBlock(path: readonly string[]): Block {
  const buildTitle = (title: string): string => [...path, title].join(TITLE_SEPARATOR);
  return {
    describe: (title, define) => define(createBlock([...path, title])),
    it: (title, body) => test(buildTitle(title), body),
    itSerial: (title, body) => test.serial(buildTitle(title), body),
  };
}

/** Opens a block at the top of a file. */
export function describe(title: string, define: (block: Block) => void): void {
  define(createBlock([title]));
}
