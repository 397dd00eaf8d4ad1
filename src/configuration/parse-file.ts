/** Parses one YAML declaration file and validates it against the schema. */
import { LineCounter, isMap, isScalar, parseDocument } from 'yaml';
import type { Document, Node } from 'yaml';
import type { z } from 'zod';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import { createDeclarationError } from './declaration-error.js';
import type { DeclarationError } from './declaration-error.js';
import { fileSchema } from './schema.js';
import type { DeclarationFile } from './schema.js';

type Path = readonly PropertyKey[];

export const SECTIONS = ['classes', 'organisations', 'pools'] as const;
export type Section = (typeof SECTIONS)[number];

export interface ParsedFile {
  readonly name: string;
  readonly content: DeclarationFile;
  /** Returns the 1-based line of the node at a path, or of its closest existing ancestor. */
  getLine(path: Path): number;
}

function findNode(document: Document, path: Path): Node | undefined {
  for (let { length } = path; length > 0; length -= 1) {
    const parent =
      length === 1 ? document.contents : document.getIn(path.slice(0, length - 1), true);
    const key = path[length - 1];
    if (isMap(parent)) {
      const pair = parent.items.find((item) => isScalar(item.key) && item.key.value === key);
      if (pair !== undefined && isScalar(pair.key)) return pair.key;
    }
    const node = document.getIn(path.slice(0, length), true);
    if (node !== undefined && node !== null) return node as Node;
  }
  return document.contents ?? undefined;
}

interface SourceText {
  readonly text: string;
  readonly document: Document;
  readonly lineCounter: LineCounter;
}

/** The text of the last error: errors come by file, and one file can have thousands. */
let latestSource: SourceText | undefined;

/** Parses the text again: only errors need lines, and keeping every document would cost memory. */
function parseSource(text: string): SourceText {
  if (latestSource?.text === text) return latestSource;
  const lineCounter = new LineCounter();
  latestSource = { text, document: parseDocument(text, { lineCounter }), lineCounter };
  return latestSource;
}

function findLine(text: string, path: Path): number {
  const { document, lineCounter } = parseSource(text);
  const offset = findNode(document, path)?.range?.[0] ?? 0;
  return lineCounter.linePos(offset).line;
}

/** States how to correct a value that the schema rejects. */
function formatRemedy(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'unrecognized_keys':
      return 'remove it or correct its name';
    case 'invalid_type':
      return `write a value of type ${issue.expected}`;
    case 'too_small':
      return `write a value ${issue.inclusive === true ? 'of at least' : 'above'} ${issue.minimum}`;
    case 'too_big':
      return `write a value ${issue.inclusive === true ? 'of at most' : 'below'} ${issue.maximum}`;
    case 'invalid_value':
      return `write ${issue.values.map(String).join(' or ')}`;
    case 'invalid_key':
      return issue.issues[0]?.message ?? 'correct its name';
    default:
      return 'correct it';
  }
}

function formatProblem(issue: z.core.$ZodIssue): string {
  const location = issue.path.map(String).join('.');
  return `${location === '' ? 'the file' : location}: ${issue.message}`;
}

/** Creates the error of a text that is not YAML, or that refers to an anchor that does not exist. */
function createSyntaxError(file: string, line: number, detail: string): DeclarationError {
  const problem = `not valid YAML (${detail.split('\n')[0] ?? ''})`;
  const remedy = 'correct the line';
  return createDeclarationError({ file, line, path: [], content: undefined, problem, remedy });
}

/** Resolves aliases, which fails if an anchor is missing or if too much would be copied. */
function parseContent(document: Document): Result<unknown, string> {
  try {
    return Ok(document.toJS() ?? {});
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

export function parseDeclarationFile(
  name: string,
  text: string,
): Result<ParsedFile, readonly DeclarationError[]> {
  const document = parseDocument(text, { uniqueKeys: true });
  if (document.errors.length > 0) {
    return Err(
      document.errors.map((error) =>
        createSyntaxError(name, error.linePos?.[0].line ?? 1, error.message),
      ),
    );
  }
  const content = parseContent(document);
  if (content.err) return Err([createSyntaxError(name, 1, content.val)]);
  const getLine = (path: Path): number => findLine(text, path);
  const parsed = fileSchema.safeParse(content.val);
  if (parsed.success) return Ok({ name, content: parsed.data, getLine });
  return Err(
    parsed.error.issues.map((issue) => {
      const keys = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
      const path = [...issue.path, ...keys];
      return createDeclarationError({
        file: name,
        line: getLine(path),
        path: path.map(String),
        content: content.val,
        problem: formatProblem(issue),
        remedy: formatRemedy(issue),
      });
    }),
  );
}
