export type { Metrics, MetricTags } from './Metrics.js';
