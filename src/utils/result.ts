/** `ts-results` is CommonJS: from ESM only its default import carries values. */
import tsResults from 'ts-results';

export const { Ok, Err } = tsResults;
export type { Result } from 'ts-results';
