/** Evidence on contents in the form in which it travels between instances. */
import { create } from '@bufbuild/protobuf';
import { CrashCaseSchema, TellCasesSchema } from '../gen/peer_pb.js';
import type { CrashCase, TellCases } from '../gen/peer_pb.js';
import type { ToldCase } from '../quarantine/case-ledger.js';

/** The longest time that fits its field, in milliseconds: 49 days. */
const AGO_MAX_MS = 2 ** 32 - 1;

function encodeMs(ms: number): number {
  return Math.min(AGO_MAX_MS, Math.max(0, Math.round(ms)));
}

function encodeCase({ content, organisation, strikes, cleared, trial }: ToldCase): CrashCase {
  return create(CrashCaseSchema, {
    content,
    organisation,
    starts: strikes.map(({ start }) => start),
    sentAgoMs: strikes.map(({ sentAgoMs }) => encodeMs(sentAgoMs)),
    crashedAgoMs: strikes.map(({ crashedAgoMs }) => encodeMs(crashedAgoMs)),
    cleared: [...cleared],
    ...(trial === undefined
      ? {}
      : { trialStart: trial.start, trialLeftMs: encodeMs(trial.leftMs) }),
  });
}

function decodeCase(told: CrashCase): ToldCase {
  const { content, organisation, cleared, trialStart } = told;
  return {
    content,
    organisation,
    strikes: told.starts.map((start, index) => ({
      start,
      sentAgoMs: told.sentAgoMs[index] ?? 0,
      crashedAgoMs: told.crashedAgoMs[index] ?? 0,
    })),
    cleared,
    trial: trialStart === undefined ? undefined : { start: trialStart, leftMs: told.trialLeftMs },
  };
}

/** Builds a telling. */
export function encodeCases(cases: readonly ToldCase[]): TellCases {
  return create(TellCasesSchema, { cases: cases.map(encodeCase) });
}

/** Reads a telling. */
export function decodeCases(told: TellCases): ToldCase[] {
  return told.cases.map(decodeCase);
}
