import { StatsD } from 'hot-shots';
import type { CounterName, GaugeName, TimerName } from './METRIC_CATALOGUE.js';
import type { Metrics, MetricTags } from './Metrics.js';

const MAX_PACKET_BYTES = 1400;
const FLUSH_EVERY_MS = 250;

/** Options of {@link StatsdMetrics}. */
export interface StatsdMetricsOptions {
  /** Address of the StatsD server, which is reached over UDP. */
  readonly host: string;
  readonly port: number;
  /** Text before each name. */
  readonly prefix?: string;
  /** Tags of each measurement. */
  readonly tags?: MetricTags;
}

/** Measurements sent to a StatsD server; one that cannot be sent is lost without an error. */
export class StatsdMetrics implements Metrics {
  private readonly client: StatsD;

  /**
   * Opens a socket towards the server.
   * @param options - Address, prefix and tags.
   */
  constructor(options: StatsdMetricsOptions) {
    const { host, port, prefix = 'rattanlift.', tags = {} } = options;
    this.client = new StatsD({
      host,
      port,
      prefix,
      globalTags: { ...tags },
      // Names and tags of the environment stay out: a process learns all from its settings.
      includeDataDogTags: false,
      maxBufferSize: MAX_PACKET_BYTES,
      bufferFlushInterval: FLUSH_EVERY_MS,
      // A server that is down shows as ICMP errors on the socket; work goes on without metrics.
      errorHandler: () => {},
    });
  }

  /** {@inheritDoc Metrics.increment} */
  increment(name: CounterName, tags: MetricTags = {}): void {
    this.client.increment(name, 1, { ...tags });
  }

  /** {@inheritDoc Metrics.timing} */
  timing(name: TimerName, valueMs: number, tags: MetricTags = {}): void {
    this.client.timing(name, valueMs, { ...tags });
  }

  /** {@inheritDoc Metrics.gauge} */
  gauge(name: GaugeName, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, { ...tags });
  }

  /** Sends what is buffered and closes the socket. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.client.close(() => resolve());
    });
  }
}
