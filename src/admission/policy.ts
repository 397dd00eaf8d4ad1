/** How an entry finds endpoints for requests. Only the first is for use; the others are baselines. */
export type AdmissionPolicy =
  /** Soft owners queue tickets and grant slots. */
  | {
      readonly kind: 'owners';
      /** @default true */
      readonly hasFloors?: boolean;
      /** @default true */
      readonly hasPreemption?: boolean;
    }
  /** Each entry queues alone, for an even share of every endpoint's slots. */
  | { readonly kind: 'shares' }
  /** Each entry sends at once; the endpoint queues, by priority or in order of arrival. */
  | {
      readonly kind: 'independent';
      readonly choice: 'round_robin' | 'least_in_flight';
      readonly hasPriority: boolean;
    };

/** The policy in use unless a bench asks for another. */
export const DEFAULT_POLICY: AdmissionPolicy = { kind: 'owners' };
