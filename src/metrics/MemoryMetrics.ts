import type { CounterName, GaugeName, MetricName, TimerName } from './METRIC_CATALOGUE.js';
import type { Metrics, MetricTags } from './Metrics.js';

/** A measurement that {@link MemoryMetrics} has kept. */
export interface KeptMeasurement {
  readonly name: MetricName;
  readonly value: number;
  readonly tags: MetricTags;
}

/** Measurements kept in memory, for replays and tests. */
export class MemoryMetrics implements Metrics {
  readonly measurements: KeptMeasurement[] = [];

  /** {@inheritDoc Metrics.increment} */
  increment(name: CounterName, tags: MetricTags = {}): void {
    this.measurements.push({ name, value: 1, tags });
  }

  /** {@inheritDoc Metrics.timing} */
  timing(name: TimerName, valueMs: number, tags: MetricTags = {}): void {
    this.measurements.push({ name, value: valueMs, tags });
  }

  /** {@inheritDoc Metrics.gauge} */
  gauge(name: GaugeName, value: number, tags: MetricTags = {}): void {
    this.measurements.push({ name, value, tags });
  }
}
