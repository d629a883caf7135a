import { z } from 'zod';

const vmSchema = z
  .strictObject({
    vm: z.string().min(1),
    worker: z.string().min(1),
    rack: z.string().min(1),
    dataCentre: z.string().min(1),
    coreCount: z.number().positive(),
    memoryMb: z.number().positive(),
    acceleratorCount: z.int().nonnegative().default(0),
    slotCount: z.int().nonnegative(),
  })
  .readonly();

/** Schema of the stand-in's settings. */
export const targetsConfigSchema = z
  .strictObject({
    vms: z.array(vmSchema).readonly().default([]),
    /** Port of the platform stand-in to register the VMs with; absent to register nowhere. */
    platformPort: z.int().optional(),
    /** Run times by kind of job, where the job itself does not say. */
    runMsByJobKind: z.record(z.string(), z.number().nonnegative()).default({}),
    defaultRunMs: z.number().nonnegative().default(20),
    rebootMs: z.number().nonnegative().default(1000),
    /** Age of the usage that a VM reports. */
    usageLagMs: z.number().nonnegative().default(1000),
    /** How often a running task shows an interim answer; 0 for never. */
    progressIntervalMs: z.number().nonnegative().default(1000),
  })
  .readonly();

/** Settings of the targets stand-in. */
export type TargetsConfig = z.output<typeof targetsConfigSchema>;
/** A VM of the fleet without its address and boot. */
export type TargetVmSpec = z.output<typeof vmSchema>;
