import { describe, expect, it } from 'vitest';
import {
  createJobRow,
  type DurableJobRow,
  placeTask,
  type Resources,
  type StepSpec,
} from '../../src/jobs/index.js';
import {
  explainUnplaced,
  OrganisationRooms,
  type PlacementTarget,
  type UnplacedReason,
} from '../../src/systems/index.js';
import { makeEntry, makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NOW_MS = 1_000_000;
const SMALL: Resources = { cpuMillicores: 500, memoryMb: 500, gpuCount: 0 };

function makeTarget(targetId: string, changes: Partial<PlacementTarget> = {}): PlacementTarget {
  return { ...makeEntry(targetId), takesTasks: true, ...changes };
}

function makeRow(jobId: string, step: Partial<StepSpec> = {}): DurableJobRow {
  return createJobRow(makeJob(jobId, [makeStep(step)]));
}

function explain(
  jobs: readonly DurableJobRow[],
  targets: readonly PlacementTarget[],
  part?: Resources,
) {
  const rooms = new OrganisationRooms(jobs, () => part);
  return explainUnplaced({ jobs, targets, rooms, nowMs: NOW_MS });
}

describe('explainUnplaced', () => {
  const placed = placeTask(makeRow('a', { taskCount: 2, maxTasksPerTarget: 1 }), 0, 't1');
  const inOrganisation = { ...makeRow('a'), spec: { ...makeRow('a').spec, organisation: 'water' } };
  const full = { ...makeEntry('t1').capacity, cpuMillicores: 999 };

  it.each<[UnplacedReason, DurableJobRow, readonly PlacementTarget[]]>([
    ['no-target', makeRow('a'), [makeTarget('t1', { pool: 'other' })]],
    ['none-takes-tasks', makeRow('a'), [makeTarget('t1', { takesTasks: false })]],
    ['organisation-limit', inOrganisation, [makeTarget('t1')]],
    ['label', makeRow('a', { requiredLabel: 'ssd' }), [makeTarget('t1')]],
    ['room', makeRow('a'), [makeTarget('t1', { capacity: full })]],
    ['reserved', makeRow('a'), [makeTarget('t1', { holdsSuspect: true })]],
    ['spread', placed, [makeTarget('t1')]],
    ['gang', makeRow('a', { isGang: true, taskCount: 5 }), [makeTarget('t1')]],
    ['fits', makeRow('a'), [makeTarget('t1')]],
  ])('tells that tasks wait for the reason %s', (reason, row, targets) => {
    const { unplaced } = explain([row], targets, SMALL);
    expect(unplaced.map((tasks) => tasks.reason)).toEqual([reason]);
  });

  it('counts what placed tasks take, and names no placed task', () => {
    const holder = placeTask(makeRow('a', { taskCount: 1 }), 0, 't1');
    const waiting = makeRow('b', {
      taskCount: 2,
      demand: { cpuMillicores: 3_500, memoryMb: 100, gpuCount: 0 },
    });
    const { unplaced, largestFreeCpuMillicores } = explain([holder, waiting], [makeTarget('t1')]);
    expect(unplaced).toMatchObject([
      { row: { spec: { jobId: 'b' } }, ready: { positions: [0, 1] }, reason: 'room' },
    ]);
    expect(largestFreeCpuMillicores.get('pages')).toBe(3_000);
  });

  it('looks for room in memory where the processors suffice', () => {
    const demand = { cpuMillicores: 100, memoryMb: 20_000, gpuCount: 0 };
    const { unplaced } = explain([makeRow('a', { demand })], [makeTarget('t1')]);
    expect(unplaced.map(({ reason }) => reason)).toEqual(['room']);
  });
});
