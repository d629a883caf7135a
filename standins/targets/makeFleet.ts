import type { TargetVmSpec } from './targetsConfig.js';

/** Shape of a fleet. */
export interface FleetShape {
  /** Starts every name, so that two fleets can stand side by side. */
  readonly namePrefix?: string;
  readonly workerCount: number;
  readonly vmCountPerWorker: number;
  readonly workerCountPerRack: number;
  readonly dataCentres: readonly string[];
  readonly coreCount?: number;
  readonly memoryMb?: number;
  readonly slotCount?: number;
}

const DEFAULT_VM_SIZE = { coreCount: 8, memoryMb: 16_384, slotCount: 4 };

/**
 * Makes the VMs of a fleet; racks fill up in turn and go round the data centres.
 * @param shape - How many of what.
 * @returns The VMs, in the order of their names.
 */
export function makeFleet(shape: FleetShape): readonly TargetVmSpec[] {
  const { workerCount, vmCountPerWorker, workerCountPerRack, dataCentres } = shape;
  const { coreCount, memoryMb, slotCount } = { ...DEFAULT_VM_SIZE, ...shape };
  const { namePrefix = '' } = shape;
  return Array.from({ length: workerCount * vmCountPerWorker }, (_, index) => {
    const workerIndex = Math.floor(index / vmCountPerWorker);
    const rackIndex = Math.floor(workerIndex / workerCountPerRack);
    return {
      vm: `${namePrefix}vm-${String(index + 1).padStart(3, '0')}`,
      worker: `${namePrefix}worker-${workerIndex + 1}`,
      rack: `${namePrefix}rack-${rackIndex + 1}`,
      dataCentre: dataCentres[rackIndex % dataCentres.length]!,
      coreCount,
      memoryMb,
      acceleratorCount: 0,
      slotCount,
    };
  });
}
