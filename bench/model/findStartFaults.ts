import type { PoolTables, QueuedRow } from '../../src/tables/index.js';

/** A start that a policy has decided on, before it is carried out. */
export interface PlannedStart {
  readonly row: QueuedRow;
  /** Name of the VM. */
  readonly vm: string;
  /** Whether the caller has the final answer already. */
  readonly isAnswered: boolean;
}

/**
 * Finds the promises that a start would break.
 * @param tables - Tables of the pool.
 * @param start - The start.
 * @returns A sentence for each broken promise.
 */
export function findStartFaults(tables: PoolTables, start: PlannedStart): readonly string[] {
  const { row, isAnswered } = start;
  const vm = tables.vms.getOrThrow(start.vm);
  const grants = tables.grants.list();
  const vmGrants = grants.filter((grant) => grant.vm === start.vm);
  const teamGrants = grants.filter((grant) => grant.team === row.team);
  const { quotas } = tables.settings;
  const quota = quotas[row.team] ?? quotas['*'];
  const checks: readonly (readonly [boolean, string])[] = [
    [vm.condition === 'accepting', 'started on a VM that takes no work'],
    [vmGrants.length < vm.slotCount, 'slots overfilled'],
    [!row.excludedVms.includes(start.vm), 'started again on a VM that failed it'],
    [!isAnswered, 'started after its final answer'],
    [teamGrants.length < (quota?.slotCount ?? 0), 'quota exceeded'],
  ];
  return checks
    .filter(([holds]) => !holds)
    .map(([, text]) => `${row.attemptId} on ${start.vm}: ${text}`);
}
