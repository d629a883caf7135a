import type { VmDirectory } from '../fleet/index.js';
import { isWaveFinished } from '../log/index.js';
import type { FleetTables, PoolTables, PoolVmRow, VmRow } from '../tables/index.js';

/** Options of {@link syncPoolTables}. */
export interface SyncPoolTablesOptions {
  readonly tables: PoolTables;
  readonly fleet: FleetTables;
  readonly directory: VmDirectory;
  /** VMs that get no new work because this home has started a step or a release on them. */
  readonly withheldVms: ReadonlySet<string>;
  readonly isUnreachable: (vm: string) => boolean;
}

/**
 * Determines the condition of a VM.
 *
 * The platform's list lags, and a VM that leaves or reboots would still get work if only the list
 * counted. Operators' drains and wave steps therefore take precedence over the list.
 */
function findCondition(vm: VmRow, options: SyncPoolTablesOptions): PoolVmRow['condition'] {
  const { tables, fleet, withheldVms, isUnreachable } = options;
  if (vm.state === 'gone') return 'absent';
  const isInStep = tables.waveSteps
    .list()
    .some((step) => step.vm === vm.vm && step.state === 'intended');
  const isDrained = fleet.drains.has(vm.vm) || withheldVms.has(vm.vm) || isInStep;
  if (isDrained || vm.state === 'leaving') return 'draining';
  return isUnreachable(vm.vm) ? 'unreachable' : 'accepting';
}

function syncWaves({ tables, fleet }: SyncPoolTablesOptions): void {
  tables.waves.clear();
  tables.waveSteps.clear();
  fleet.waves
    .list()
    .filter((wave) => wave.pools.includes(tables.pool) && !isWaveFinished(wave))
    .forEach((wave) => tables.waves.put(wave));
  fleet.waveSteps
    .list()
    .filter((step) => step.pool === tables.pool && tables.waves.has(step.wave))
    .forEach((step) => tables.waveSteps.put(step));
}

/**
 * Updates a pool's tables from the log and the platform's VM list.
 * @param options - Tables to update, and their sources.
 */
export function syncPoolTables(options: SyncPoolTablesOptions): void {
  const { tables, fleet } = options;
  syncWaves(options);
  const members = fleet.assignments.list().filter((row) => row.pool === tables.pool);
  const names = new Set(members.map((row) => row.vm));
  tables.vms
    .list()
    .filter((row) => !names.has(row.vm))
    .forEach((row) => tables.vms.remove(row.vm));
  names.forEach((name) => {
    const vm = options.directory.get(name);
    if (vm !== undefined) tables.vms.put({ ...vm, condition: findCondition(vm, options) });
  });
}
