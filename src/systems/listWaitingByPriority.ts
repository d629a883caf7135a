import type { DurableJobRow } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import type { WaitingCpu } from './PoolDemand.js';
import type { RunTimes } from './RunTimes.js';
import { sumReadyCpu } from './sumReadyCpu.js';

/**
 * Lists the CPU that ready tasks wait for by the priority of their queues, for jobs that can still
 * meet their objective.
 * @param rows - Jobs of one pool.
 * @param runTimes - Learned run times.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns One entry for each priority with waiting work.
 */
export function listWaitingByPriority(
  rows: readonly DurableJobRow[],
  runTimes: RunTimes,
  nowMs: number,
): readonly WaitingCpu[] {
  const onTime = rows.filter((row) => nowMs <= estimateStartByMs(row, runTimes));
  return [...groupBy(onTime, ({ spec }) => spec.terms.priority)]
    .map(([priority, ofPriority]) => ({ priority, cpuMillicores: sumReadyCpu(ofPriority, nowMs) }))
    .filter(({ cpuMillicores }) => cpuMillicores > 0);
}
