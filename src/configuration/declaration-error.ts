/** An error at one place of a declaration file. */
export interface DeclarationError {
  readonly file: string;
  /** 1-based. */
  readonly line: number;
  /** Section, entry and field; shorter if the error concerns a whole entry, section or file. */
  readonly path: readonly string[];
  /** The declared value as text; undefined if there is none, or if it is not a scalar or a list. */
  readonly value: string | undefined;
  readonly problem: string;
  readonly remedy: string;
  /** States the problem and the remedy. */
  readonly message: string;
}

const VALUE_LENGTH_MAX = 80;
const KEY_HASH_PATTERN = /^sha256:[0-9a-f]{64}$/;

function isScalar(value: unknown): boolean {
  return value === null || ['string', 'number', 'boolean'].includes(typeof value);
}

function formatScalar(value: unknown, isKey: boolean): string {
  // A key that is declared in place of its hash must not appear in outputs and logs.
  if (isKey && !KEY_HASH_PATTERN.test(String(value))) return '(not a hash; hidden)';
  const text = JSON.stringify(value);
  return text.length > VALUE_LENGTH_MAX ? `${text.slice(0, VALUE_LENGTH_MAX)}…` : text;
}

/** Formats the declared value at a path; keys that are not hashed are hidden. */
export function formatDeclaredValue(path: readonly string[], value: unknown): string | undefined {
  const isKey = path[0] === 'organisations' && path[2] === 'keys';
  if (isScalar(value)) return formatScalar(value, isKey);
  if (!Array.isArray(value) || !value.every(isScalar)) return undefined;
  return `[${value.map((item) => formatScalar(item, isKey)).join(', ')}]`;
}

/** Finds the value at a path of nested objects and arrays. */
function findValue(root: unknown, path: readonly string[]): unknown {
  let value = root;
  for (const key of path) {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, key)) return undefined;
    value = (value as Readonly<Record<string, unknown>>)[key];
  }
  return value;
}

export interface DeclarationErrorOptions {
  readonly file: string;
  readonly line: number;
  readonly path: readonly string[];
  /** Content of the file, in which the value is looked up. */
  readonly content: unknown;
  readonly problem: string;
  readonly remedy: string;
}

export function createDeclarationError(options: DeclarationErrorOptions): DeclarationError {
  const { content, ...place } = options;
  return {
    ...place,
    value: formatDeclaredValue(place.path, findValue(content, place.path)),
    message: `${place.problem}; ${place.remedy}`,
  };
}

export function formatDeclarationError(error: DeclarationError): string {
  return `${error.file}:${error.line}: ${error.message}`;
}
