import { expect, it } from 'vitest';
import {
  createJobRow,
  type DurableJobRow,
  endRun,
  isFinished,
  listPlacedTasks,
  placeTask,
} from '../../src/jobs/index.js';
import {
  disableMechanisms,
  type Mechanism,
  type Mechanisms,
  orderJobs,
  type PlacementTarget,
  placeTasks,
  RunTimes,
} from '../../src/systems/index.js';
import { makeEntry, makeJob, makeStep } from '../taskHome/HomeWorld.js';

const TICK_MS = 100;
const RUN_MS = 1_000;
const DAY_MS = 12_000;
/** An organisation sends a job of two tasks in this interval; the one in a rush eight times. */
const ARRIVAL_INTERVAL_MS = 1_000;
const RUSH_FACTOR = 8;
const ORGANISATIONS = ['rushing', 'water', 'housing', 'library', 'parks'];
/** Four targets of four cores: the calm four need half of them, the rush asks for all. */
const TARGETS: readonly PlacementTarget[] = ['t1', 't2', 't3', 't4'].map((targetId) => ({
  ...makeEntry(targetId),
  takesTasks: true,
}));
/** Time within which callers are served: the run, and once more as long. */
const OBJECTIVE_MS = 2 * RUN_MS;

function arrive(nowMs: number): readonly DurableJobRow[] {
  return ORGANISATIONS.flatMap((organisation) => {
    const intervalMs = ARRIVAL_INTERVAL_MS / (organisation === 'rushing' ? RUSH_FACTOR : 1);
    if (nowMs % intervalMs >= TICK_MS) return [];
    const jobId = `${organisation}-${nowMs}`;
    const spec = makeJob(jobId, [makeStep({ taskCount: 2, estimatedRunMs: RUN_MS })]);
    return [createJobRow({ ...spec, organisation, submittedAtMs: nowMs })];
  });
}

/** A pool and its callers, in steps of {@link TICK_MS}. */
class RushWorld {
  /** How long each finished job of an organisation took. */
  readonly tookMs = new Map<string, number[]>();

  private readonly mechanisms: Mechanisms;

  private readonly runTimes = new RunTimes();

  private readonly endsAtMs = new Map<string, number>();

  private rows: readonly DurableJobRow[] = [];

  constructor(mechanisms: Mechanisms) {
    this.mechanisms = mechanisms;
  }

  tick(nowMs: number): void {
    const rows = [...this.rows.map((row) => this.finish(row, nowMs)), ...arrive(nowMs)];
    rows.filter(isFinished).forEach(({ spec, finishedAtMs }) => {
      const own = this.tookMs.get(spec.organisation!) ?? [];
      this.tookMs.set(spec.organisation!, [...own, finishedAtMs! - spec.submittedAtMs]);
    });
    this.rows = rows.filter((row) => !isFinished(row));
    this.place(nowMs);
  }

  private finish(row: DurableJobRow, nowMs: number): DurableJobRow {
    return listPlacedTasks(row).reduce((after, { position }) => {
      if (this.endsAtMs.get(`${row.spec.jobId}/${position}`)! > nowMs) return after;
      return endRun(after, position, { end: 'done', checkpoint: undefined }, nowMs);
    }, row);
  }

  private place(nowMs: number): void {
    const { mechanisms, runTimes, rows: allocatedJobs } = this;
    const placements = placeTasks({
      jobs: orderJobs(allocatedJobs, { runTimes, mechanisms, nowMs, allocatedJobs }),
      allocatedJobs,
      targets: TARGETS,
      getFailedTargets: () => new Set(),
      nowMs,
      mechanisms,
    });
    placements.forEach(({ jobId, position, targetId }) => {
      this.endsAtMs.set(`${jobId}/${position}`, nowMs + RUN_MS);
      this.rows = this.rows.map((row) =>
        row.spec.jobId === jobId ? placeTask(row, position, targetId) : row,
      );
    });
  }
}

/** Plays the load and returns how long each finished job of an organisation took. */
function play(off: readonly Mechanism[]): ReadonlyMap<string, readonly number[]> {
  const world = new RushWorld(disableMechanisms(off));
  const ticks = Array.from({ length: DAY_MS / TICK_MS }, (_none, index) => index * TICK_MS);
  ticks.forEach((nowMs) => world.tick(nowMs));
  return world.tookMs;
}

function getShareInTime(tookMs: ReadonlyMap<string, readonly number[]>): number {
  const calm = ORGANISATIONS.filter((organisation) => organisation !== 'rushing');
  const submittedCount = calm.length * (DAY_MS / ARRIVAL_INTERVAL_MS);
  const inTime = calm.flatMap((organisation) =>
    (tookMs.get(organisation) ?? []).filter((took) => took <= OBJECTIVE_MS),
  );
  return inTime.length / submittedCount;
}

// Failure: callers of all organisations wait because one sends eight times its usual.
it('serves the calm organisations in time while one sends eight times its usual', () => {
  const withShares = play([]);
  const without = play(['shares-by-weight']);
  expect(getShareInTime(withShares)).toBeGreaterThan(0.85);
  expect(getShareInTime(without)).toBeLessThan(getShareInTime(withShares));
  expect(withShares.get('rushing')!.length).toBeGreaterThan(DAY_MS / ARRIVAL_INTERVAL_MS);
});
