import type { CounterName, GaugeName, TimerName } from './METRIC_CATALOGUE.js';

/** Labels of a measurement. */
export type MetricTags = Readonly<Record<string, string>>;

/** Where measurements go. */
export interface Metrics {
  /**
   * Counts something.
   * @param name - Name of the counter.
   * @param tags - Labels.
   */
  increment(name: CounterName, tags?: MetricTags): void;

  /**
   * Records a length of time.
   * @param name - Name of the timer.
   * @param valueMs - Milliseconds.
   * @param tags - Labels.
   */
  timing(name: TimerName, valueMs: number, tags?: MetricTags): void;

  /**
   * Records a level.
   * @param name - Name of the gauge.
   * @param value - Its present value.
   * @param tags - Labels.
   */
  gauge(name: GaugeName, value: number, tags?: MetricTags): void;
}
