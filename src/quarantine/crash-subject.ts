/**
 * What crashes of endpoints count against: the whole content of a call, and each part of its prompt
 * that other calls may share.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import type { ContentId } from '../calls/content-id.js';
import { hashText } from '../utils/hash.js';

/** A content id, or a part's id with a prefix that no content id has. */
export type SubjectId = ContentId;

const PART_PREFIX = 'part-';
/** 64 bits of a cryptographic hash, so that no organisation finds a collision with another's part. */
const PART_DIGITS = 16;
/** Further parts of a prompt are not looked at. */
const PARTS_MAX = 64;

/** Cached, since a waiting call is looked at again and again. */
const partsOfCall = new WeakMap<RoutedCall, readonly SubjectId[]>();

function buildPartSubject(model: string, partId: string): SubjectId {
  return `${PART_PREFIX}${hashText(JSON.stringify([model, partId])).slice(0, PART_DIGITS)}`;
}

export function isPartSubject(subject: SubjectId): boolean {
  return subject.startsWith(PART_PREFIX);
}

/** Parts of the call's prompt but the last, which belongs to the call or its session. */
export function listPartSubjects(call: RoutedCall): readonly SubjectId[] {
  const { prompt } = call;
  if (prompt === undefined) return [];
  const known = partsOfCall.get(call);
  if (known !== undefined) return known;
  const shared = prompt.parts.slice(0, -1).slice(0, PARTS_MAX);
  const subjects = [...new Set(shared.map(({ id }) => buildPartSubject(prompt.model, id)))];
  partsOfCall.set(call, subjects);
  return subjects;
}
