import { describe, expect, it } from 'vitest';
import { ScrapedMetrics } from '../../src/metrics/index.js';
import { ManualClock } from '../../src/utils/index.js';

async function listLines(metrics: ScrapedMetrics, name: string): Promise<readonly string[]> {
  const text = await metrics.render();
  return text.split('\n').filter((line) => line.startsWith(`rattanlift_${name}`));
}

describe('ScrapedMetrics', () => {
  it('writes counters, histograms and gauges as text that scrapers read', async () => {
    const metrics = new ScrapedMetrics({ clock: new ManualClock() });
    metrics.increment('log_lines', { event: 'jobAccepted' });
    metrics.increment('log_lines', { event: 'jobAccepted' });
    metrics.timing('store_call_ms', 7, { call: 'append', result: 'appended' });
    metrics.gauge('open_jobs', 3, { pool: 'pages' });
    expect(metrics.contentType).toContain('text/plain');
    expect(await listLines(metrics, 'log_lines')).toEqual([
      'rattanlift_log_lines_total{event="jobAccepted"} 2',
    ]);
    expect(await listLines(metrics, 'open_jobs')).toEqual(['rattanlift_open_jobs{pool="pages"} 3']);
    const histogram = await listLines(metrics, 'store_call_ms');
    const tags = 'call="append",result="appended"';
    expect(histogram).toContain(`rattanlift_store_call_ms_bucket{le="5",${tags}} 0`);
    expect(histogram).toContain(`rattanlift_store_call_ms_bucket{le="10",${tags}} 1`);
    expect(histogram).toContain(`rattanlift_store_call_ms_sum{${tags}} 7`);
    expect(histogram).toContain(`rattanlift_store_call_ms_count{${tags}} 1`);
  });

  // A daemon that ran for months was killed for its memory. Pools had come and gone, each with
  // series of its own that were kept for ever. Cause: nothing bounded the values of a tag.
  it('keeps a bounded number of series, whatever values its tags get', async () => {
    const metrics = new ScrapedMetrics({ clock: new ManualClock(), maxSeriesCount: 3 });
    Array.from({ length: 10 }, (_, number) =>
      metrics.timing('first_start_ms', 5, { pool: `p${number}` }),
    );
    const counts = await listLines(metrics, 'first_start_ms_count');
    expect(counts).toEqual([
      'rattanlift_first_start_ms_count{pool="p0"} 1',
      'rattanlift_first_start_ms_count{pool="p1"} 1',
      'rattanlift_first_start_ms_count{pool="p2"} 1',
      'rattanlift_first_start_ms_count{pool="other"} 7',
    ]);
  });

  // On call saw 40 waiting jobs of a pool at two daemons and added VMs that nobody needed. The
  // pool's home had moved; the daemon that had it before told its last figure for ever.
  it('leaves out a gauge that was not set for ten seconds, and tells it again once it is', async () => {
    const clock = new ManualClock();
    const metrics = new ScrapedMetrics({ clock });
    metrics.gauge('open_jobs', 40, { pool: 'pages' });
    metrics.gauge('open_jobs', 2, { pool: 'search' });
    clock.advance(9_000);
    metrics.gauge('open_jobs', 1, { pool: 'search' });
    clock.advance(2_000);
    expect(await listLines(metrics, 'open_jobs')).toEqual([
      'rattanlift_open_jobs{pool="search"} 1',
    ]);
    metrics.gauge('open_jobs', 7, { pool: 'pages' });
    expect(await listLines(metrics, 'open_jobs')).toContain('rattanlift_open_jobs{pool="pages"} 7');
  });

  it('tells the figures of the runtime where it is asked to', async () => {
    const metrics = new ScrapedMetrics({ clock: new ManualClock(), hasRuntimeFigures: true });
    expect(await metrics.render()).toContain('process_cpu_user_seconds_total');
  });
});
