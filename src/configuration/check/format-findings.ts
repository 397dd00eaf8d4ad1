/** Formats the findings of a check as text, and as the objects that `--json` prints. */
import { FINDING, isFault } from './findings.js';
import type { Difference, Fault, Finding } from './findings.js';
import { formatDifference } from './format-differences.js';
import { formatFault, formatFaultLine } from './format-faults.js';
import type { FaultText } from './format-faults.js';

/** Formats a finding as one line. */
export function formatFinding(finding: Finding): string {
  return isFault(finding) ? formatFaultLine(finding) : formatDifference(finding);
}

/** A finding as `--json` prints it. */
export type PrintedFinding = (Fault & FaultText) | (Difference & { readonly text: string });

/** Adds the words to a finding, for output as JSON. */
export function buildPrintedFinding(finding: Finding): PrintedFinding {
  if (isFault(finding)) return { ...finding, ...formatFault(finding) };
  return { ...finding, text: formatDifference(finding) };
}

export interface FindingsSummary {
  /** Number of files that were checked. */
  readonly files: number;
  /** What they were compared with, as in `version 7`; undefined if with nothing. */
  readonly reference: string | undefined;
}

/** Formats the faults and the differences, each under its own heading. */
export function formatFindings(findings: readonly Finding[], summary: FindingsSummary): string {
  const faults = findings.filter(isFault);
  const differences = findings.filter((finding) => !isFault(finding));
  const isCompiled = faults.every(({ kind }) => kind !== FINDING.Invalid);
  const lines = [
    faults.length === 0
      ? `clean: ${summary.files} files`
      : `${faults.length} findings in ${summary.files} files:`,
    ...faults.map((fault) => `  ${formatFinding(fault)}`),
  ];
  if (summary.reference === undefined) return lines.join('\n');
  if (!isCompiled) {
    return [...lines, `not compared with ${summary.reference}: correct the errors first`].join(
      '\n',
    );
  }
  const heading =
    differences.length === 0
      ? `no difference from ${summary.reference}`
      : `${differences.length} differences from ${summary.reference}:`;
  return [...lines, heading, ...differences.map((entry) => `  ${formatFinding(entry)}`)].join('\n');
}
