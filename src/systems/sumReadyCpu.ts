import type { DurableJobRow } from '../jobs/index.js';
import { listReadyTasks } from './listReadyTasks.js';
import { getAllocatedResources } from './TargetCapacity.js';

/**
 * Sums up the CPU that the ready tasks of jobs wait for.
 * @param rows - The jobs.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The CPU, in thousandths of a core.
 */
export function sumReadyCpu(rows: readonly DurableJobRow[], nowMs: number): number {
  return rows
    .flatMap((row) =>
      listReadyTasks(row, nowMs).map(
        ({ step, positions }) =>
          positions.length * getAllocatedResources(row.spec.steps[step]!).cpuMillicores,
      ),
    )
    .reduce((sum, cpuMillicores) => sum + cpuMillicores, 0);
}
