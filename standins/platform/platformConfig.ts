import { readFileSync } from 'node:fs';
import { type ParseError, parse, printParseErrorCode } from 'jsonc-parser';
import { z } from 'zod';
import { platformFaultsSchema } from './PlatformFaults.js';

const retentionSchema = z.strictObject({
  keepCount: z.int().positive().optional(),
  keepMs: z.number().positive().optional(),
});

/** Schema of a VM as the platform lists it. */
export const vmRowSchema = z
  .strictObject({
    vm: z.string().min(1),
    worker: z.string().min(1),
    rack: z.string().min(1),
    dataCentre: z.string().min(1),
    host: z.string().min(1),
    port: z.int(),
    coreCount: z.number().positive(),
    memoryMb: z.number().positive(),
    acceleratorCount: z.int().nonnegative(),
    slotCount: z.int().nonnegative(),
    state: z.enum(['live', 'leaving', 'gone']),
    bootId: z.string().min(1),
  })
  .readonly();

/** Schema of the stand-in's settings. */
export const platformConfigSchema = z
  .strictObject({
    port: z.int().min(0).max(65535).default(0),
    /** VMs from the start; a targets stand-in can register more. */
    vms: z.array(vmRowSchema).readonly().default([]),
    /** Records that stand on the streams from the start. */
    seedRecords: z.record(z.string(), z.array(z.unknown()).readonly()).default({}),
    defaultRetention: retentionSchema.readonly().prefault({}),
    /** Time that a reboot takes where no targets stand-in is registered for the VM. */
    rebootMs: z.number().nonnegative().default(1000),
    faults: platformFaultsSchema.unwrap().partial().readonly().prefault({}),
  })
  .readonly();

/** Settings of the platform stand-in. */
export type PlatformConfig = z.output<typeof platformConfigSchema>;

/**
 * Reads JSON with comments from a file and checks it.
 * @param path - Path of the file.
 * @param schema - What the file has to hold.
 * @returns The checked value.
 * @throws Error That names the file and what is wrong in it.
 */
export function readConfigFile<Output>(path: string, schema: z.ZodType<Output>): Output {
  const parseErrors: ParseError[] = [];
  const value: unknown = parse(readFileSync(path, 'utf8'), parseErrors, {
    allowTrailingComma: true,
  });
  const [firstError] = parseErrors;
  if (firstError !== undefined) {
    const what = printParseErrorCode(firstError.error);
    throw new Error(`${path}: ${what} at character ${firstError.offset}`);
  }
  const checked = schema.safeParse(value);
  if (!checked.success) throw new Error(`${path}: ${z.prettifyError(checked.error)}`);
  return checked.data;
}
