/** Parses one YAML declaration file and validates it against the schema. */
import { LineCounter, isMap, isScalar, parseDocument } from 'yaml';
import type { Document, Node } from 'yaml';
import type { z } from 'zod';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
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

/** Parses the text again: only errors need lines, and keeping every document would cost memory. */
function findLine(text: string, path: Path): number {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  const offset = findNode(document, path)?.range?.[0] ?? 0;
  return lineCounter.linePos(offset).line;
}

function formatIssue(issue: z.core.$ZodIssue): string {
  const location = issue.path.map(String).join('.');
  const remedy = issue.code === 'unrecognized_keys' ? '; remove it or correct its name' : '';
  return `${location === '' ? 'the file' : location}: ${issue.message}${remedy}`;
}

export function parseDeclarationFile(
  name: string,
  text: string,
): Result<ParsedFile, readonly DeclarationError[]> {
  const document = parseDocument(text, { uniqueKeys: true });
  const getLine = (path: Path): number => findLine(text, path);
  if (document.errors.length > 0) {
    return Err(
      document.errors.map((error) => ({
        file: name,
        line: error.linePos?.[0].line ?? 1,
        message: `not valid YAML (${error.message.split('\n')[0] ?? ''}); correct the line`,
      })),
    );
  }
  const parsed = fileSchema.safeParse(document.toJS() ?? {});
  if (parsed.success) return Ok({ name, content: parsed.data, getLine });
  return Err(
    parsed.error.issues.map((issue) => {
      const keys = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
      return { file: name, line: getLine([...issue.path, ...keys]), message: formatIssue(issue) };
    }),
  );
}
