import { describe, expect, it } from 'vitest';
import { createMetricsServer } from '../../src/callers/index.js';
import { ScrapedMetrics } from '../../src/metrics/index.js';
import { ManualClock } from '../../src/utils/index.js';

describe('createMetricsServer', () => {
  it('serves the measurements as text', async () => {
    const metrics = new ScrapedMetrics({ clock: new ManualClock() });
    metrics.increment('log_lines', { event: 'jobFinished' });
    const answer = await createMetricsServer(metrics).inject({ url: '/metrics' });
    expect(answer.statusCode).toBe(200);
    expect(answer.headers['content-type']).toContain('text/plain; version=0.0.4');
    expect(answer.body).toContain('rattanlift_log_lines_total{event="jobFinished"} 1');
  });

  it('answers 404 elsewhere', async () => {
    const metrics = new ScrapedMetrics({ clock: new ManualClock() });
    expect((await createMetricsServer(metrics).inject({ url: '/' })).statusCode).toBe(404);
  });
});
