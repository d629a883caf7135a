export { measureCall, type MeasuredCall } from './measureCall.js';
export { MemoryMetrics, type KeptMeasurement } from './MemoryMetrics.js';
export {
  METRIC_CATALOGUE,
  type CounterName,
  type GaugeName,
  type MetricKind,
  type MetricName,
  type TimerName,
} from './METRIC_CATALOGUE.js';
export type { Metrics, MetricTags } from './Metrics.js';
export { NoMetrics } from './NoMetrics.js';
export { ScrapedMetrics, type ScrapedMetricsOptions } from './ScrapedMetrics.js';
export { StatsdMetrics, type StatsdMetricsOptions } from './StatsdMetrics.js';
