import { describe, expect, it } from 'vitest';
import { createJobRow, type DurableJobRow, placeTask } from '../../src/jobs/index.js';
import { estimateNeededCpu, RunTimes, switchOff } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const WIDE = makeStep({ taskCount: 4, estimatedRunMs: 2_000 });
const LONG_RUNNING = makeStep({ taskCount: 2, isLongRunning: true });

/** A job with its first tasks on targets. */
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
  // The rush of the exports was nearly over, yet their pool asked for three times what it used, as
  // the work of second steps counted as if it could run at once. Ten VMs idled there while searches
  // waited for room.
  it('asks for no more than what runs where the pool keeps up with the rest', () => {
    const row = makeRow('j1', 4, [WIDE, makeStep({ taskCount: 8, afterSteps: [0] })]);
    expect(estimateNeededCpu({ rows: [row], ...QUIET }).neededCpuMillicores).toBe(4_000);
  });

  // Jobs of a rush came 24 a second to eight VMs; more were asked for only once their tasks waited,
  // two seconds later, and came after another two.
  it('asks for VMs before a queue has grown where more arrives than the pool can carry', () => {
    const rows = [makeRow('j1', 4)];
    // 90 cores arrive; by the time a VM is there, 2 s x 58 cores of them and 8 core-s were left.
    const input = { rows, ...QUIET, arrivingCpuMillicores: 90_000 };
    expect(estimateNeededCpu(input).neededCpuMillicores).toBe(90_000 + 58_000 + 4_000);
  });

  it('asks for what catches up within two seconds where work waits', () => {
    const rows = Array.from({ length: 20 }, (_unused, number) => makeRow(`j${number}`, 0));
    // 20 jobs of 8 core-s against 2 s x 32 cores: 96 core-s are left.
    expect(estimateNeededCpu({ rows, ...QUIET }).neededCpuMillicores).toBe(48_000);
  });

  // The next rush had five of its VMs, as 20 stood in the pool of the last one: they worked off
  // jobs that were late already, which callers had nearly no use for any more.
  it('asks for little to catch up with work that is too late for its objective', () => {
    const rows = Array.from({ length: 20 }, (_unused, number) => makeRow(`j${number}`, 0));
    const tooLate = { ...QUIET, nowMs: Date.now() + 60_000 };
    // 160 core-s in 10 s, and nothing that arrives.
    expect(estimateNeededCpu({ rows, ...tooLate }).neededCpuMillicores).toBe(16_000);
    const mechanisms = switchOff(['late-work-yields']);
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
