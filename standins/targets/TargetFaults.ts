import { z } from 'zod';

/** Schema of the faults that a VM can be told to show; absent ones stay as they are. */
export const targetFaultsSchema = z
  .strictObject({
    failing: z.boolean().describe('every task fails at once'),
    silent: z.boolean().describe('tasks run, but nothing is said after the request has come'),
    cutAnswers: z.boolean().describe('answers end in the middle'),
    slowFactor: z.number().positive().describe('run times are multiplied by it'),
    crashed: z.boolean().describe('connections are refused and tasks are cut'),
    memoryFactor: z.number().positive().describe('memory used over memory declared'),
  })
  .readonly();

/** Faults that a VM shows now. */
export type TargetFaults = z.output<typeof targetFaultsSchema>;

/** No fault at all. */
export const NO_TARGET_FAULTS: TargetFaults = {
  failing: false,
  silent: false,
  cutAnswers: false,
  slowFactor: 1,
  crashed: false,
  memoryFactor: 1,
};
