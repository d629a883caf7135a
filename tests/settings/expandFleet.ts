import { z } from 'zod';
import type { VmRow } from '../../src/tables/index.js';

/** Schema of a `fleet.jsonc`. */
export const fleetSchema = z
  .strictObject({
    dataCentres: z
      .array(z.strictObject({ name: z.string(), rackCount: z.int().positive() }).readonly())
      .readonly(),
    workersPerRack: z.int().positive(),
    workerCount: z.int().positive(),
    vmsPerWorker: z.int().positive(),
    slotsPerVm: z.int().positive(),
    coresPerVm: z.number().positive(),
    memoryMbPerVm: z.number().positive(),
    acceleratorsPerVm: z.int().nonnegative(),
  })
  .readonly();

/** Lists the VMs of a fleet, rack by rack; the last racks stay empty where workers run out. */
export function expandFleet(fleet: z.output<typeof fleetSchema>): readonly VmRow[] {
  const racks = fleet.dataCentres.flatMap(({ name, rackCount }) =>
    Array.from({ length: rackCount }, (_, index) => ({
      dataCentre: name,
      rack: `${name}-rack-${index + 1}`,
    })),
  );
  const workers = racks
    .flatMap((rack) =>
      Array.from({ length: fleet.workersPerRack }, (_, index) => ({
        ...rack,
        worker: `${rack.rack}-worker-${index + 1}`,
      })),
    )
    .slice(0, fleet.workerCount);
  return workers.flatMap((worker) =>
    Array.from({ length: fleet.vmsPerWorker }, (_, index) => ({
      ...worker,
      vm: `${worker.worker}-vm-${index + 1}`,
      host: '127.0.0.1',
      port: 1,
      coreCount: fleet.coresPerVm,
      memoryMb: fleet.memoryMbPerVm,
      acceleratorCount: fleet.acceleratorsPerVm,
      slotCount: fleet.slotsPerVm,
      state: 'live' as const,
      bootId: 'boot-1',
    })),
  );
}
