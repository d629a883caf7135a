import type { Rng } from '../../src/utils/index.js';
import type { PlacementPolicy } from '../policies/PlacementPolicy.js';
import type { Trace } from '../traces/index.js';

/** Options of `JobModel`. */
export interface JobModelOptions {
  readonly trace: Trace;
  readonly policy: PlacementPolicy;
  readonly rng: Rng;
}
