/** An error at one place of a declaration file. */
export interface DeclarationError {
  readonly file: string;
  /** 1-based. */
  readonly line: number;
  /** States the error and how to correct it. */
  readonly message: string;
}

export function formatDeclarationError(error: DeclarationError): string {
  return `${error.file}:${error.line}: ${error.message}`;
}
