import { describe, expect, it } from 'vitest';
import { createJobRow, type DurableJobRow, placeTask } from '../../src/jobs/index.js';
import { estimateNeededCpu, RunTimes, disableMechanisms } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const WIDE = makeStep({ taskCount: 4, estimatedRunMs: 2_000 });
const LONG_RUNNING = makeStep({ taskCount: 2, isLongRunning: true });

/** Creates a job whose first tasks are placed. */
function makeRow(jobId: string, placedCount: number, steps = [WIDE]): DurableJobRow {
  return Array.from({ length: placedCount }).reduce<DurableJobRow>(
    (row, _unused, position) => placeTask(row, position, 't1'),
    createJobRow(makeJob(jobId, steps)),
  );
}

const QUIET = {
  runTimes: new RunTimes(),
  capacityCpuMillicores: 32_000,
  arrivingCpuMillicores: 0,
  nowMs: 0,
};

describe('estimateNeededCpu', () => {
  // Guards against a backlog that counts as immediate need: at the end of a load peak of exports,
  // their pool requested three times what it used, since the work of second steps counted as if it
  // could start at once. Ten VMs idled there while searches waited for capacity.
  it('needs no more than the running tasks if the pool keeps up with the backlog', () => {
    const row = makeRow('j1', 4, [WIDE, makeStep({ taskCount: 8, afterSteps: [0] })]);
    expect(estimateNeededCpu({ rows: [row], ...QUIET }).neededCpuMillicores).toBe(4_000);
  });

  // Guards against VMs that are ordered only once tasks wait: at 24 jobs per second on eight VMs,
  // more were ordered two seconds late and arrived after another two.
  it('asks for VMs before a queue has grown where more arrives than the pool can carry', () => {
    const rows = [makeRow('j1', 4)];
    // 90 cores of work arrive. When a VM becomes available, 2 s x 58 cores of it and 8 core-s are
    // left.
    const input = { rows, ...QUIET, arrivingCpuMillicores: 90_000 };
    const mechanisms = disableMechanisms(['need-by-known-work']);
    expect(estimateNeededCpu({ ...input, mechanisms }).neededCpuMillicores).toBe(
      90_000 + 58_000 + 4_000,
    );
    // 90 core-s of that are under way on schedule: jobs of 2 s that are half done. What is behind,
    // 34 core-s, is completed in 3 s.
    expect(estimateNeededCpu(input).neededCpuMillicores).toBeCloseTo(90_000 + 34_000 / 3);
  });

  it('asks for what catches up within two or three seconds where work waits', () => {
    const rows = Array.from({ length: 20 }, (_unused, number) => makeRow(`j${number}`, 0));
    // 20 jobs of 8 core-s minus 2 s x 32 cores leave 96 core-s.
    const mechanisms = disableMechanisms(['need-by-known-work']);
    expect(estimateNeededCpu({ rows, ...QUIET, mechanisms }).neededCpuMillicores).toBe(48_000);
    expect(estimateNeededCpu({ rows, ...QUIET }).neededCpuMillicores).toBe(32_000);
  });

  // Guards against late work that holds VMs: 20 VMs stayed in the pool of the previous load peak
  // for late jobs that were of little use to their callers, and the next peak had five VMs.
  it('asks for little to catch up with work that is too late for its objective', () => {
    const rows = Array.from({ length: 20 }, (_unused, number) => makeRow(`j${number}`, 0));
    const tooLate = { ...QUIET, nowMs: Date.now() + 60_000 };
    // 160 core-s in 10 s, without arriving work.
    expect(estimateNeededCpu({ rows, ...tooLate }).neededCpuMillicores).toBe(16_000);
    const mechanisms = disableMechanisms(['late-work-yields', 'need-by-known-work']);
    expect(estimateNeededCpu({ rows, ...tooLate, mechanisms }).neededCpuMillicores).toBe(48_000);
  });

  it('always counts long-running tasks, and nothing of finished jobs', () => {
    const finished: DurableJobRow = { ...makeRow('j1', 4), state: 'cancelled' };
    const rows = [finished, makeRow('j2', 0, [LONG_RUNNING])];
    expect(
      estimateNeededCpu({ rows, ...QUIET, arrivingCpuMillicores: 9_000 }).neededCpuMillicores,
    ).toBe(11_000);
  });
});
