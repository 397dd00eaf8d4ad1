/** Converts crash case reports to and from their wire form. */
import { create } from '@bufbuild/protobuf';
import { CrashCaseSchema, TellCasesSchema } from '../gen/peer_pb.js';
import type { CrashCase, TellCases } from '../gen/peer_pb.js';
import type { CaseReport } from '../quarantine/case-ledger.js';
import { encodeUint32 } from './encode-uint32.js';

function encodeCase({ content, organisation, crashes, cleared, trial }: CaseReport): CrashCase {
  return create(CrashCaseSchema, {
    content,
    organisation,
    starts: crashes.map(({ start }) => start),
    sentAgoMs: crashes.map(({ sentAgoMs }) => encodeUint32(sentAgoMs)),
    crashedAgoMs: crashes.map(({ crashedAgoMs }) => encodeUint32(crashedAgoMs)),
    cleared: [...cleared],
    ...(trial === undefined
      ? {}
      : { trialStart: trial.start, trialLeftMs: encodeUint32(trial.remainingMs) }),
  });
}

function decodeCase(wireCase: CrashCase): CaseReport {
  const { content, organisation, cleared, trialStart } = wireCase;
  return {
    content,
    organisation,
    crashes: wireCase.starts.map((start, index) => ({
      start,
      sentAgoMs: wireCase.sentAgoMs[index] ?? 0,
      crashedAgoMs: wireCase.crashedAgoMs[index] ?? 0,
    })),
    cleared,
    trial:
      trialStart === undefined
        ? undefined
        : { start: trialStart, remainingMs: wireCase.trialLeftMs },
  };
}

export function encodeCases(cases: readonly CaseReport[]): TellCases {
  return create(TellCasesSchema, { cases: cases.map(encodeCase) });
}

export function decodeCases(message: TellCases): CaseReport[] {
  return message.cases.map(decodeCase);
}
