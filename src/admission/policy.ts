/** How instances allocate endpoint slots. All policies but `owners` are benchmark baselines. */
export type AdmissionPolicy =
  /** Shard owners queue tickets and grant slots. */
  | {
      readonly kind: 'owners';
      /** @default true */
      readonly hasFloors?: boolean;
      /** @default true */
      readonly hasPreemption?: boolean;
    }
  /** Each instance has its own queue and an even share of every endpoint's slots. */
  | { readonly kind: 'shares' }
  /** No queueing at the instance; endpoints queue by priority or in order of arrival. */
  | {
      readonly kind: 'independent';
      readonly choice: 'round_robin' | 'least_in_flight';
      readonly hasPriority: boolean;
    };

export const DEFAULT_POLICY: AdmissionPolicy = { kind: 'owners' };
