import { describe, expect, it } from 'vitest';
import { cancelJob, createJobRow, type DurableJobSpec, placeTask } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import { JobTable } from '../../src/taskHome/JobTable.js';
import { JobTelemetry } from '../../src/taskHome/JobTelemetry.js';
import { ManualClock } from '../../src/utils/index.js';
import { makeJob } from './HomeWorld.js';

const DEMAND = {
  pool: 'pages',
  targets: [],
  neededCpuMillicores: 0,
  lateCpuMillicores: 0,
  wholeVmCount: 0,
  jobCount: 4,
};

function createTelemetry(submittedAtMs = 0) {
  const events = new MemoryEventLog();
  const metrics = new MemoryMetrics();
  const clock = new ManualClock();
  const spec: DurableJobSpec = { ...makeJob('j1'), submittedAtMs: clock.wallMs() + submittedAtMs };
  const telemetry = new JobTelemetry({ events, metrics, clock, term: 3 });
  return { telemetry, events, metrics, clock, row: createJobRow(spec) };
}

describe('JobTelemetry', () => {
  it('warns of an end that is ignored, unless its task does not run again', () => {
    const { telemetry, events, row } = createTelemetry();
    const key = { taskName: 'j1.0.0.0', run: 1, targetId: 't1' };
    const table = new JobTable();
    telemetry.noteIgnoredEnd(table, key, 'done');
    table.restore(placeTask(row, 0, 't1'));
    telemetry.noteIgnoredEnd(table, key, 'done');
    table.restore(cancelJob(row, 0));
    telemetry.noteIgnoredEnd(table, key, 'done');
    expect(events.events).toEqual([
      { event: 'endIgnored', fields: { ...key, term: 3, end: 'done', reason: 'unknown-job' } },
    ]);
  });

  it('logs the basis of each placement, and measures when a job begins', () => {
    const { telemetry, events, metrics, clock, row } = createTelemetry();
    clock.advance(40);
    const key = { taskName: 'j1.0.0.0', run: 1, targetId: 't1' };
    const basis = { freeCpuMillicores: 4_000, reportAgeMs: 120 };
    telemetry.notePlaced(row, key, basis);
    telemetry.notePlaced(placeTask(row, 0, 't1'), { ...key, run: 2 }, basis);
    telemetry.noteBegun(placeTask(row, 0, 't1'));
    expect(events.events[0]).toEqual({
      event: 'taskPlaced',
      fields: { jobId: 'j1', ...key, term: 3, jobAgeMs: 40, ...basis },
    });
    const starts = metrics.measurements.filter(({ name }) => name === 'first_start_ms');
    expect(starts).toEqual([{ name: 'first_start_ms', value: 40, tags: { pool: 'pages' } }]);
  });

  it('logs once when tasks begin to wait and once when none waits any more', () => {
    const { telemetry, events } = createTelemetry();
    const waiting = { ...DEMAND, waitingCpuMillicores: 8_000 };
    telemetry.noteDemand(waiting);
    telemetry.noteDemand(waiting);
    telemetry.noteDemand({ ...DEMAND, waitingCpuMillicores: 0 });
    telemetry.noteDemand({ ...DEMAND, waitingCpuMillicores: 0 });
    expect(events.events.map(({ event }) => event)).toEqual(['tasksWait', 'tasksFit']);
    expect(events.events[0]!.fields).toMatchObject({ pool: 'pages', jobCount: 4, term: 3 });
  });
});
