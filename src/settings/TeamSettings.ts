import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'a lower-case name of letters, digits and hyphens');

/** What a kind of job declares about itself; a prior that measured runs correct. */
export const jobKindSchema = z
  .strictObject({
    coreCount: z.number().positive().describe('processors that one run needs'),
    memoryMb: z.number().positive().describe('memory that one run needs'),
    expectedRunMs: z.number().positive().describe('declared run time'),
    idempotent: z.boolean().describe('whether a second run does no harm'),
    urgency: z.enum(['urgent', 'normal', 'overnight']).default('normal'),
    checkpointable: z.boolean().default(false).describe('whether a target can checkpoint a run'),
  })
  .readonly();

/** Limits of one team's work within a pool. */
export const quotaSchema = z
  .strictObject({
    slotCount: z.int().positive().describe('slots that the team may hold at once'),
    queuedJobCount: z.int().positive().default(200),
    weight: z.number().positive().default(1).describe('share below the quota'),
  })
  .readonly();

/** Availability that a pool must keep. */
export const availabilitySchema = z
  .strictObject({
    failureDomain: z
      .enum(['vm', 'worker', 'rack', 'data-centre'])
      .describe('largest loss that the pool must survive at any moment'),
    maxUnavailableFraction: z
      .number()
      .gt(0)
      .max(0.5)
      .describe('most of its VMs that may be out at once, planned and unplanned together'),
  })
  .readonly();

/** One pool of VMs. */
export const poolSchema = z
  .strictObject({
    neededSlotCount: z.int().positive().describe('slots that the jobs need at peak'),
    availability: availabilitySchema,
    /** Empty means any data centre. */
    dataCentres: z.array(name).default([]).readonly(),
    jobKinds: z.record(name, jobKindSchema),
    quotas: z
      .record(z.union([name, z.literal('*')]), quotaSchema)
      .default({ '*': { slotCount: 1000, queuedJobCount: 200, weight: 1 } })
      .describe('quota by team; "*" is for every other team'),
    maintenance: z
      .strictObject({
        windowStartMinuteOfDay: z.int().min(0).max(1439).default(0),
        windowEndMinuteOfDay: z.int().min(0).max(1440).default(1440),
        rollOutWeight: z
          .number()
          .min(0)
          .max(1)
          .default(0.5)
          .describe('1 favours a short roll-out, 0 favours a small buffer'),
        drainTimeoutMs: z.int().positive().default(600_000),
        rebootTimeoutMs: z.int().positive().default(600_000),
      })
      .readonly()
      .prefault({}),
  })
  .readonly();

/** Subtree of one team: all that it may set. */
export const teamSettingsSchema = z
  .strictObject({
    formatVersion: z.literal(1),
    team: name,
    pools: z.record(name, poolSchema),
  })
  .readonly();

/** Declared properties of a kind of job. */
export type JobKindSettings = z.output<typeof jobKindSchema>;
/** Limits of one team's work within a pool. */
export type QuotaSettings = z.output<typeof quotaSchema>;
/** Availability that a pool must keep. */
export type AvailabilitySettings = z.output<typeof availabilitySchema>;
/** Settings of one pool. */
export type PoolSettings = z.output<typeof poolSchema>;
/** Settings of one team. */
export type TeamSettings = z.output<typeof teamSettingsSchema>;
/** Domain of machines that can fail together. */
export type FailureDomain = AvailabilitySettings['failureDomain'];
/** How soon a job has to start. */
export type Urgency = JobKindSettings['urgency'];
