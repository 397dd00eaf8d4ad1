/** What a call counts as in the load of an engine, besides a running call. */
export const LOAD_CLASS = {
  /** Of the most urgent of several priorities in its pool. */
  Urgent: 'urgent',
  Normal: 'normal',
  /** Of the least urgent of several priorities in its pool. */
  Preemptible: 'preemptible',
} as const;
export type LoadClass = (typeof LOAD_CLASS)[keyof typeof LOAD_CLASS];
