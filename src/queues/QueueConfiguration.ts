import type { QueueTerms } from '../jobs/index.js';
import type { Organisation } from './Organisation.js';

/** A queue and the host and path under which callers reach it. */
export interface QueueRoute {
  /** Host in the caller's request. */
  readonly host: string;
  /** Paths with this prefix belong to the queue unless a longer prefix also matches. */
  readonly pathPrefix: string;
  readonly terms: QueueTerms;
  /** Whether calls need no key. */
  readonly isPublic?: boolean;
}

/** A pool of targets. */
export interface PoolDefinition {
  readonly pool: string;
  /** Whether the pool's VMs are switched off and serve as a reserve for the other pools. */
  readonly isStandby: boolean;
}

/** A complete configuration of queues and pools, as published by operators. */
export interface QueueConfiguration {
  /** Increases with each publication; versions need not be consecutive. */
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  readonly pools: readonly PoolDefinition[];
  /** Organisations with keys; if absent, no call needs a key. */
  readonly organisations?: readonly Organisation[];
}
