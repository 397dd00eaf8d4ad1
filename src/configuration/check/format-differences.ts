/** Formats differences in an operator's terms. */
import { FINDING } from './findings.js';
import type { Difference, ListField, ScalarField } from './findings.js';

interface FieldTerm {
  readonly term: string;
  readonly unit: string;
}

const SCALAR_TERMS: Readonly<Record<ScalarField, FieldTerm>> = {
  tier: { term: 'tier (0 is served first)', unit: '' },
  firstTokenMs: { term: 'target time to first token', unit: ' ms' },
  betweenTokensMs: { term: 'target time between tokens', unit: ' ms' },
  deadlineMs: { term: 'time limit for the complete response', unit: ' ms' },
  floor: { term: 'guaranteed share of slots', unit: '' },
  defaultClass: { term: 'default class', unit: '' },
  weight: { term: 'weight within a class', unit: '' },
  'limits.concurrency': { term: 'limit of concurrent requests', unit: '' },
  'limits.requestsPerSecond': { term: 'limit of requests per second', unit: '' },
  kind: { term: 'kind', unit: '' },
  fencing: { term: 'fencing', unit: '' },
  url: { term: 'URL', unit: '' },
  dataCentre: { term: 'data centre', unit: '' },
  slots: { term: 'concurrent requests (slots)', unit: '' },
};

interface ListTerm {
  readonly added: string;
  readonly removed: string;
  /** What follows from another order. */
  readonly reordered: string;
}

const LIST_TERMS: Readonly<Record<ListField, ListTerm>> = {
  keys: {
    added: 'accepts the key',
    removed: 'no longer accepts the key',
    reordered: 'keys in another order, without effect',
  },
  classes: {
    added: 'may use the class',
    removed: 'may no longer use the class',
    reordered: 'classes in another order, without effect',
  },
  pools: {
    added: 'may use the pool',
    removed: 'may no longer use the pool',
    reordered: 'pools in another order: a model that several have is served by the first',
  },
  models: {
    added: 'loads the model',
    removed: 'no longer loads the model',
    reordered: 'models in another order, without effect',
  },
  endpoints: {
    added: 'gets the endpoint',
    removed: 'loses the endpoint',
    reordered: 'endpoints in another order',
  },
};

/** Digits of a key's hash that identify it to an operator. */
const KEY_DIGITS = 8;

function formatItem(field: ListField, item: string): string {
  return field === 'keys' ? `sha256:${item.slice(0, KEY_DIGITS)}…` : item;
}

function formatListChange(difference: Extract<Difference, { kind: 'list_changed' }>): string {
  const { entry, field, added, removed, isReordered } = difference;
  const terms = LIST_TERMS[field];
  const changes = [
    ...added.map((item) => `${terms.added} ${formatItem(field, item)}`),
    ...removed.map((item) => `${terms.removed} ${formatItem(field, item)}`),
    ...(isReordered ? [terms.reordered] : []),
  ];
  return `~ ${entry}: ${changes.join('; ')}`;
}

/** Formats a difference as one line, which begins with `+`, `-` or `~`. */
export function formatDifference(difference: Difference): string {
  switch (difference.kind) {
    case FINDING.AllClosed:
      return `! ${difference.entry}: none is left, so every request will be refused`;
    case FINDING.Added:
      return `+ ${difference.entry}`;
    case FINDING.Removed:
      return `- ${difference.entry}`;
    case FINDING.Changed: {
      const { entry, before, after } = difference;
      const { term, unit } = SCALAR_TERMS[difference.field];
      return `~ ${entry}: ${term} ${before}${unit} -> ${after}${unit}`;
    }
    case FINDING.ListChanged:
      return formatListChange(difference);
    default: {
      const unknown: never = difference;
      return unknown;
    }
  }
}
