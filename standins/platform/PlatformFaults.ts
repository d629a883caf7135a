import { z } from 'zod';

/** Schema of the faults that the stand-in can be told to show; absent ones stay as they are. */
export const platformFaultsSchema = z
  .strictObject({
    logOutage: z
      .enum(['none', 'unavailable', 'reset', 'silent'])
      .describe('503 answers, connections that break, or requests that nobody answers'),
    logDelayMs: z.number().nonnegative().describe('added to every answer of the log'),
    lostAppendAnswerCount: z
      .int()
      .nonnegative()
      .describe('next appends that take effect while their answer is lost'),
    vmListOutage: z.boolean(),
    vmListLagMs: z.number().nonnegative().describe('age of the list that readers get'),
    lostControlAnswerCount: z
      .int()
      .nonnegative()
      .describe('next drains, undrains and reboots that take effect while their answer is lost'),
    failedRebootVms: z.array(z.string()).readonly().describe('VMs that never come back'),
  })
  .readonly();

/** Faults that the stand-in shows now. */
export type PlatformFaults = z.output<typeof platformFaultsSchema>;

/** No fault at all. */
export const NO_PLATFORM_FAULTS: PlatformFaults = {
  logOutage: 'none',
  logDelayMs: 0,
  lostAppendAnswerCount: 0,
  vmListOutage: false,
  vmListLagMs: 0,
  lostControlAnswerCount: 0,
  failedRebootVms: [],
};
