import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** The verbs that a function's name begins with; docs/GLOSSARY.md explains each. */
const VERBS = [
  'add',
  'advance',
  'apply',
  'are',
  'assert',
  'build',
  'cancel',
  'check',
  'choose',
  'close',
  'compare',
  'compute',
  'count',
  'create',
  'decode',
  'describe',
  'encode',
  'fetch',
  'find',
  'format',
  'get',
  'grant',
  'handle',
  'has',
  'hash',
  'is',
  'list',
  'load',
  'merge',
  'on',
  'open',
  'parse',
  'post',
  'predict',
  'preempt',
  'print',
  'publish',
  'query',
  'read',
  'record',
  'refuse',
  'release',
  'remove',
  'resolve',
  'run',
  'send',
  'set',
  'start',
  'stop',
  'store',
  'subscribe',
  'take',
  'update',
  'wait',
  'write',
];

export default [
  { ignores: ['target/**', 'journal/**', 'dist/**', 'src/gen/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    files: ['**/*.{js,mjs,ts,cts}'],
    rules: {
      // The scripts of the build are short and run alone; a synchronous call holds up nobody.
      'n/no-sync': 'off',
    },
  },
  {
    files: ['src/cli/**/*.ts', 'platform/run-router.ts', 'scripts/**/*.mjs'],
    rules: {
      // Binaries and build scripts are where exit codes are decided.
      'n/no-process-exit': 'off',
    },
  },
  {
    files: ['src/test/**/*.ts'],
    rules: {
      // What only tests import is a development dependency.
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
    },
  },
  {
    files: ['src/utils/hash.ts', 'src/utils/random.ts'],
    rules: {
      // A hash function is bit arithmetic.
      'no-bitwise': 'off',
    },
  },
  {
    files: ['**/*.{ts,cts}'],
    rules: {
      'no-restricted-properties': [
        'error',
        { property: 'resetAndDestroy', message: 'It can leave a socket open; use closeWithReset.' },
      ],
      // Node 20 runs for-of natively, so the guide's reason (a generator runtime) does not hold.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // Functions of one closure call each other in both directions; `const`s are set before any runs.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
      // A factory's functions pass parts of the state they close over to each other.
      'no-param-reassign': ['error', { props: false }],
      // The binaries are built from src/cli to dist/cli.
      'n/hashbang': [
        'error',
        { convertPath: { 'src/**/*.ts': ['^src/(.+)\\.ts$', 'dist/$1.js'] } },
      ],
      // ESM on Node needs the written extension, and TypeScript wants the emitted one.
      'import-x/extensions': 'off',
      // One name per module stays free to grow into two.
      'import-x/prefer-default-export': 'off',
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'variable',
          format: ['camelCase', 'PascalCase', 'UPPER_CASE'],
          leadingUnderscore: 'forbid',
        },
        { selector: 'typeLike', format: ['PascalCase'] },
        {
          selector: 'function',
          format: ['camelCase'],
          custom: { regex: `^(${VERBS.join('|')})([A-Z0-9].*)?$`, match: true },
        },
      ],
    },
  },
];
