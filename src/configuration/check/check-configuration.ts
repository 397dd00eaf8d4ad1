/** Checks the files of a configuration, and compares them with another version. */
import type { Declarations } from '../../types/declarations.js';
import { Err } from '../../utils/result.js';
import type { Result } from '../../utils/result.js';
import type { DeclarationError } from '../declaration-error.js';
import type { FolderFiles } from '../manifest.js';
import { mergeFiles } from '../merge-files.js';
import { SECTIONS, parseDeclarationFile } from '../parse-file.js';
import type { ParsedFile } from '../parse-file.js';
import { compareDeclarations } from './compare-declarations.js';
import { FINDING, buildPlace, formatEntry } from './findings.js';
import type { Fault, Finding, GetPlace } from './findings.js';
import { listContradictions } from './list-contradictions.js';
import { listUnmatched } from './list-unmatched.js';

/** Version number for compiled files that are not published. */
const UNPUBLISHED_VERSION = 0;

interface ParsedText {
  readonly text: string;
  readonly file: ParsedFile;
}

/** Files by name, parsed and merged. */
export interface CompiledFiles {
  readonly parsed: ReadonlyMap<string, ParsedText>;
  readonly declarations: Declarations;
}

/**
 * Compiles as `createCompiler` does, and also returns the parsed files, which places are found in.
 * Files that `known` has with the same text are not parsed again: parsing takes most of the time.
 */
export function buildCompiledFiles(
  files: FolderFiles,
  known?: CompiledFiles,
): Result<CompiledFiles, readonly DeclarationError[]> {
  const parsed = new Map<string, ParsedText>();
  const errors: DeclarationError[] = [];
  for (const [name, text] of files) {
    const previous = known?.parsed.get(name);
    if (previous?.text === text) {
      parsed.set(name, previous);
    } else {
      const result = parseDeclarationFile(name, text);
      if (result.ok) parsed.set(name, { text, file: result.val });
      else errors.push(...result.val);
    }
  }
  if (errors.length > 0) return Err(errors);
  const merged = mergeFiles(
    [...parsed.values()].map(({ file }) => file),
    UNPUBLISHED_VERSION,
  );
  return merged.map((declarations) => ({ parsed, declarations }));
}

function buildInvalid({ file, line, path, value, problem, remedy }: DeclarationError): Fault {
  return { kind: FINDING.Invalid, place: buildPlace(file, line, path), value, problem, remedy };
}

function createGetPlace(parsed: CompiledFiles['parsed']): GetPlace {
  const files = new Map<string, ParsedFile>();
  for (const { file } of parsed.values()) {
    for (const section of SECTIONS) {
      for (const name of Object.keys(file.content[section])) {
        files.set(formatEntry([section, name]), file);
      }
    }
  }
  return (path) => {
    const file = files.get(formatEntry(path));
    return buildPlace(file?.name ?? '', file?.getLine(path) ?? 1, path);
  };
}

/**
 * Lists the faults of the files and, if a reference is given, their differences from it. Files that do
 * not compile are not compared.
 */
export function checkConfiguration(
  files: FolderFiles,
  reference: CompiledFiles | undefined,
): readonly Finding[] {
  const compiled = buildCompiledFiles(files, reference);
  if (compiled.err) return compiled.val.map(buildInvalid);
  const { parsed, declarations } = compiled.val;
  const getPlace = createGetPlace(parsed);
  return [
    ...listUnmatched(declarations, getPlace),
    ...listContradictions(declarations, getPlace),
    ...(reference === undefined ? [] : compareDeclarations(reference.declarations, declarations)),
  ];
}
