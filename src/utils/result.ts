/** `ts-results` is a CommonJS module, whose values ESM can only access through the default import. */
import tsResults from 'ts-results';

export const { Ok, Err } = tsResults;
export type { Result } from 'ts-results';
