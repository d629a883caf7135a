import { describe, expect, it } from 'vitest';
import { createJobRow, placeTask } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import { JobBeginnings } from '../../src/taskHome/JobBeginnings.js';
import { JobTable } from '../../src/taskHome/JobTable.js';
import { JobTelemetry } from '../../src/taskHome/JobTelemetry.js';
import { ManualClock } from '../../src/utils/index.js';
import { makeJob, makeStep, TERMS } from './HomeWorld.js';

describe('JobBeginnings', () => {
  it('measures only the first beginning of a job, and nothing of its placements', () => {
    const clock = new ManualClock();
    const metrics = new MemoryMetrics();
    const table = new JobTable(clock);
    const events = new MemoryEventLog();
    const telemetry = new JobTelemetry({ events, metrics, clock, term: 3 });
    const beginnings = new JobBeginnings({ table, telemetry });
    const spec = { ...makeJob('a', [makeStep({ taskCount: 2 })]), submittedAtMs: clock.wallMs() };
    table.add(placeTask(createJobRow(spec), 0, 't1'));
    clock.advance(40);
    expect(table.countPending(TERMS.queue)).toBe(1);
    beginnings.note('a.0.0.0');
    clock.advance(40);
    beginnings.note('a.0.0.0');
    beginnings.note('a.0.0.1');
    beginnings.note('unknown.0.0.0');
    expect(table.countPending(TERMS.queue)).toBe(0);
    const starts = metrics.measurements.filter(({ name }) => name === 'first_start_ms');
    expect(starts).toEqual([{ name: 'first_start_ms', value: 40, tags: { pool: TERMS.pool } }]);
  });
});
