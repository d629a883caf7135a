/**
 * A search for a job in the pools that its queue has had besides the one that is to accept it. None
 * of them accepts the job afterwards by an older configuration.
 */
export interface PoolSearch {
  readonly pools: readonly string[];
  /** Version of the configuration below which these pools refuse jobs of the queue. */
  readonly configurationVersion: number;
}
