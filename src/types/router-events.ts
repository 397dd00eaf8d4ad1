/** Events a router emits for logs, the demo and tests. */

/** A step in a request's life that somebody on call would want to see. */
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

/** A configuration came into force. */
export interface ConfigurationEvent {
  readonly version: number;
}

/** A member or endpoint changed its state. */
export interface MemberEvent {
  readonly subject: string;
  readonly state: string;
}

/** Events by name, for emittery. */
export interface RouterEvents {
  decision: DecisionEvent;
  configuration: ConfigurationEvent;
  member: MemberEvent;
  drained: undefined;
}
