/** A fault in a declaration, with where it stands and what to do. */
export interface DeclarationError {
  readonly file: string;
  /** Line counted from 1. */
  readonly line: number;
  /** What is wrong and the remedy. */
  readonly message: string;
}

/** The error as one line for people. */
export function formatDeclarationError(error: DeclarationError): string {
  return `${error.file}:${error.line}: ${error.message}`;
}
