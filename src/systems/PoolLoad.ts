import type { Urgency } from '../settings/index.js';
import type { GrantRow, PoolTables } from '../tables/index.js';
import type { JobSize } from './estimateJobSize.js';
import { VmLoad } from './VmLoad.js';
import { isQuarantined } from './vmStates.js';

/** Share of its cores that a throttled run retains. */
export const THROTTLED_CORE_FRACTION = 0.25;

/** Options of {@link PoolLoad}. */
export interface PoolLoadOptions {
  readonly tables: PoolTables;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Increases a counter in a map. */
function increase<Key>(counts: Map<Key, number>, key: Key, by: number): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}

/** Current usage of a pool by accepting VM, rack, team and urgency. */
export class PoolLoad {
  readonly vmLoads: readonly VmLoad[];

  /** Slots of the accepting VMs. */
  readonly slotCount: number;

  private readonly loadByVm: ReadonlyMap<string, VmLoad>;

  private readonly usedSlotsByRack = new Map<string, number>();

  private readonly slotsByRack = new Map<string, number>();

  private readonly slotsByTeam = new Map<string, number>();

  private readonly slotsByUrgency = new Map<Urgency, number>();

  private usedSlots = 0;

  /**
   * Computes the usage from the pool's grants.
   * @param options - State of the pool and the time.
   */
  constructor(options: PoolLoadOptions) {
    const { tables, nowMs } = options;
    this.vmLoads = tables.vms
      .list()
      .filter((vm) => vm.condition === 'accepting' && vm.state === 'live')
      .filter((vm) => !isQuarantined(tables, vm.vm, nowMs))
      .map((vm) => new VmLoad({ vm, health: tables.health.get(vm.vm), nowMs }));
    this.slotCount = this.vmLoads.reduce((sum, load) => sum + load.vm.slotCount, 0);
    this.loadByVm = new Map(this.vmLoads.map((load) => [load.vm.vm, load]));
    this.vmLoads.forEach(({ rack, vm }) => increase(this.slotsByRack, rack, vm.slotCount));
    tables.grants.list().forEach((grant) => {
      const throttled = tables.preemptions.get(grant.grantId)?.action === 'throttle';
      const coreCount = grant.coreCount * (throttled ? THROTTLED_CORE_FRACTION : 1);
      this.addRun(grant, { coreCount, memoryMb: grant.memoryMb }, grant.grantedAtMs);
    });
  }

  /** Unoccupied slots of the accepting VMs. */
  get freeSlotCount(): number {
    return this.slotCount - this.usedSlots;
  }

  /**
   * Gets the load of an accepting VM.
   * @param vm - Name of the VM.
   * @returns The load, or undefined if the VM accepts no work.
   */
  getVmLoad(vm: string): VmLoad | undefined {
    return this.loadByVm.get(vm);
  }

  /**
   * Counts the slots that a team occupies.
   * @param team - The team.
   * @returns Slots on all VMs, including draining ones.
   */
  countTeamSlots(team: string): number {
    return this.slotsByTeam.get(team) ?? 0;
  }

  /**
   * Counts the slots that jobs of an urgency occupy.
   * @param urgency - The urgency.
   * @returns Slots on all VMs, including draining ones.
   */
  countUrgencySlots(urgency: Urgency): number {
    return this.slotsByUrgency.get(urgency) ?? 0;
  }

  /**
   * Computes the slot utilisation of a VM's rack.
   * @param load - Load of the VM.
   * @returns Share of the rack's slots that are in use.
   */
  getRackUtilisation(load: VmLoad): number {
    const usedSlotCount = this.usedSlotsByRack.get(load.rack) ?? 0;
    return usedSlotCount / (this.slotsByRack.get(load.rack) ?? 1);
  }

  /**
   * Adds a run.
   * @param run - VM, team and urgency of the run.
   * @param size - Resources of the run.
   * @param startedAtMs - Monotonic time of its start, in milliseconds.
   */
  addRun(run: Pick<GrantRow, 'vm' | 'team' | 'urgency'>, size: JobSize, startedAtMs: number): void {
    increase(this.slotsByTeam, run.team, 1);
    increase(this.slotsByUrgency, run.urgency, 1);
    const load = this.loadByVm.get(run.vm);
    if (load === undefined) return;
    load.add(size, startedAtMs);
    this.usedSlots += 1;
    increase(this.usedSlotsByRack, load.rack, 1);
  }
}
