/** Events that a router emits. */

/** A state transition of a request. */
export interface DecisionEvent {
  readonly requestId: string;
  readonly organisation: string;
  readonly className: string;
  readonly step:
    | 'received'
    | 'granted'
    | 'resumed'
    | 'preempted'
    | 'stalled'
    | 'refused'
    | 'failed'
    | 'completed';
  readonly endpoint?: string;
  readonly detail?: string;
}

/** A configuration version was applied. */
export interface ConfigurationEvent {
  readonly version: number;
}

/** An instance or endpoint changed its state. */
export interface MemberEvent {
  readonly subject: string;
  readonly state: string;
}

/** Event payloads by name. */
export interface RouterEvents {
  decision: DecisionEvent;
  configuration: ConfigurationEvent;
  member: MemberEvent;
  drained: undefined;
}
