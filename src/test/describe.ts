/** Nested `describe` blocks for AVA, which has none: each prefixes the titles of its tests. */
import test from 'ava';
import type { ExecutionContext } from 'ava';

type TestFunction = (t: ExecutionContext) => void | Promise<void>;

export interface Block {
  readonly describe: (title: string, define: (block: Block) => void) => void;
  /** Defines a test that may run concurrently with others of its file. */
  readonly it: (title: string, body: TestFunction) => void;
  /** Defines a test that runs serially, before the concurrent ones of its file. */
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

/** Defines a top-level block. */
export function describe(title: string, define: (block: Block) => void): void {
  define(createBlock([title]));
}
