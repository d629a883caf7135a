import { type DurableJobRow, listPlacedTasks, type StepSpec } from '../jobs/index.js';
import { memoizeByObject } from '../utils/index.js';
import { getStepKey } from './TargetCapacity.js';

/** The allocation of a placed task on its target. */
export interface TaskAllocation {
  readonly targetId: string;
  readonly stepKey: string;
  readonly step: StepSpec;
}

/**
 * Lists the allocations of a job on targets.
 * @param row - The job.
 * @returns One allocation for each placed task.
 */
export const listAllocations = memoizeByObject((row: DurableJobRow): readonly TaskAllocation[] =>
  listPlacedTasks(row).map(({ task: { occurrence, step, targetId } }) => ({
    targetId: targetId!,
    stepKey: getStepKey(row, occurrence, step),
    step: row.spec.steps[step]!,
  })),
);
