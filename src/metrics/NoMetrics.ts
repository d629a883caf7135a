import type { Metrics } from './Metrics.js';

/** Measurements that go nowhere. */
export class NoMetrics implements Metrics {
  /* eslint-disable class-methods-use-this -- there is nothing to use */
  /** {@inheritDoc Metrics.increment} */
  increment(): void {}

  /** {@inheritDoc Metrics.timing} */
  timing(): void {}

  /** {@inheritDoc Metrics.gauge} */
  gauge(): void {}
  /* eslint-enable class-methods-use-this */
}
