import { describe, expect, it } from 'vitest';
import { CountedEventLog, MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';

describe('CountedEventLog', () => {
  it('counts a line by its event and writes it on', () => {
    const events = new MemoryEventLog();
    const metrics = new MemoryMetrics();
    new CountedEventLog({ events, metrics }).write('jobAccepted', { jobId: 'a' });
    expect(events.events).toEqual([{ event: 'jobAccepted', fields: { jobId: 'a' } }]);
    expect(metrics.measurements).toEqual([
      { name: 'log_lines', value: 1, tags: { event: 'jobAccepted' } },
    ]);
  });
});
