import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import { assertNever, type Clock } from '../utils/index.js';
import {
  type CounterName,
  type GaugeName,
  METRIC_CATALOGUE,
  type MetricKind,
  type MetricName,
  type TimerName,
} from './METRIC_CATALOGUE.js';
import type { Metrics, MetricTags } from './Metrics.js';

/** Bounds of the histograms in ms: from a call on the same VM to the longest job, 1-2-5 apart. */
const BUCKETS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
] as const;
/** Series of one name: four times the 65 pools aimed at, or all kinds of log line, and room. */
const DEFAULT_MAX_SERIES_COUNT = 300;
/** Age from which a gauge says nothing, in milliseconds: homes set theirs five times a second. */
const GAUGE_FRESH_MS = 10_000;
/**
 * How often the lag of the event loop is sampled, in milliseconds. At the library's own 10 ms an
 * idle daemon wakes up 110 times a second, at this one 20 times.
 */
const EVENT_LOOP_SAMPLE_MS = 250;
const PREFIX = 'rattanlift_';
/** Value of each tag of what comes beyond the bound of series. */
const OTHER = 'other';

/** Options of {@link ScrapedMetrics}. */
export interface ScrapedMetricsOptions {
  readonly clock: Clock;
  /** Whether the text has the figures of the runtime too. */
  readonly hasRuntimeFigures?: boolean;
  readonly maxSeriesCount?: number;
}

interface GaugeSeries {
  readonly name: GaugeName;
  readonly tags: MetricTags;
  readonly setAtMs: number;
}

/** Measurements that are kept until someone fetches them as text. */
export class ScrapedMetrics implements Metrics {
  private readonly options: ScrapedMetricsOptions;

  private readonly registry = new Registry();

  private readonly counters = new Map<MetricName, Counter>();

  private readonly histograms = new Map<MetricName, Histogram>();

  private readonly gauges = new Map<MetricName, Gauge>();

  private readonly seriesByName = new Map<MetricName, Set<string>>();

  private readonly gaugeSeries = new Map<string, GaugeSeries>();

  /**
   * Creates every measurement of the catalogue, without a value.
   * @param options - Clock and bounds.
   */
  constructor(options: ScrapedMetricsOptions) {
    this.options = options;
    Object.entries(METRIC_CATALOGUE).forEach(([name, kind]) =>
      this.register(name as MetricName, kind),
    );
    if (options.hasRuntimeFigures === true) {
      collectDefaultMetrics({
        register: this.registry,
        eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
      });
    }
  }

  /** Media type of the text. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** {@inheritDoc Metrics.increment} */
  increment(name: CounterName, tags: MetricTags = {}): void {
    this.counters.get(name)!.inc(this.bound(name, tags));
  }

  /** {@inheritDoc Metrics.timing} */
  timing(name: TimerName, valueMs: number, tags: MetricTags = {}): void {
    this.histograms.get(name)!.observe(this.bound(name, tags), valueMs);
  }

  /** {@inheritDoc Metrics.gauge} */
  gauge(name: GaugeName, value: number, tags: MetricTags = {}): void {
    const bounded = this.bound(name, tags);
    this.gauges.get(name)!.set(bounded, value);
    const setAtMs = this.options.clock.monotonicMs();
    this.gaugeSeries.set(ScrapedMetrics.getKey(name, bounded), { name, tags: bounded, setAtMs });
  }

  /**
   * Writes all measurements as text.
   * @returns The text, in the format that scrapers read.
   */
  async render(): Promise<string> {
    this.dropOldGauges();
    return this.registry.metrics();
  }

  private register(name: MetricName, { type, meaning, tags }: MetricKind): void {
    const registers = [this.registry];
    const base = { help: meaning, labelNames: [...tags], registers };
    switch (type) {
      case 'counter':
        this.counters.set(name, new Counter({ ...base, name: `${PREFIX}${name}_total` }));
        return;
      case 'timer': {
        const options = { ...base, name: `${PREFIX}${name}`, buckets: [...BUCKETS_MS] };
        this.histograms.set(name, new Histogram(options));
        return;
      }
      case 'gauge':
        this.gauges.set(name, new Gauge({ ...base, name: `${PREFIX}${name}` }));
        return;
      default:
        assertNever(type);
    }
  }

  /**
   * Guards against memory that grows with the values of a tag, for instance with pools that come
   * and go for months: beyond the bound all new ones share one series.
   */
  private bound(name: MetricName, tags: MetricTags): MetricTags {
    const { maxSeriesCount = DEFAULT_MAX_SERIES_COUNT } = this.options;
    const known = this.seriesByName.get(name) ?? new Set<string>();
    this.seriesByName.set(name, known);
    const key = ScrapedMetrics.getKey(name, tags);
    if (known.has(key)) return tags;
    if (known.size >= maxSeriesCount) {
      return Object.fromEntries(Object.keys(tags).map((tag) => [tag, OTHER]));
    }
    known.add(key);
    return tags;
  }

  /** Guards against the load of a pool that is told for ever by the instance that had its home. */
  private dropOldGauges(): void {
    const oldestMs = this.options.clock.monotonicMs() - GAUGE_FRESH_MS;
    [...this.gaugeSeries]
      .filter(([, { setAtMs }]) => setAtMs < oldestMs)
      .forEach(([key, { name, tags }]) => {
        this.gauges.get(name)!.remove(tags);
        this.gaugeSeries.delete(key);
        this.seriesByName.get(name)?.delete(key);
      });
  }

  private static getKey(name: MetricName, tags: MetricTags): string {
    return `${name}\u0000${Object.values(tags).join('\u0000')}`;
  }
}
