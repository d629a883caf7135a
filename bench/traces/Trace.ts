import { z } from 'zod';
import { poolSchema } from '../../src/settings/index.js';

const atMs = z.number().nonnegative();
const name = z.string().min(1);

const vmSchema = z
  .strictObject({
    vm: name,
    worker: name,
    rack: name,
    dataCentre: name,
    coreCount: z.number().positive(),
    memoryMb: z.number().positive(),
    slotCount: z.int().positive(),
    /** Pool that holds the VM at the start; absent for a spare. */
    pool: name.optional(),
  })
  .readonly();

const poolHeadSchema = z.strictObject({ pool: name, settings: poolSchema }).readonly();

/** First line of a trace: what there is before anything happens. */
export const traceHeadSchema = z
  .strictObject({
    type: z.literal('trace'),
    subject: z.enum(['placement', 'waves', 'buffers', 'overload']),
    deployment: z.enum(['trentvale', 'association']),
    seed: z.int(),
    /** How long the trace lasts, in milliseconds. */
    endMs: z.number().positive(),
    pools: z.array(poolHeadSchema).readonly(),
    vms: z.array(vmSchema).readonly(),
  })
  .readonly();

/** Schema of the later lines, in the order of their time. */
export const traceEventSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('job'),
    atMs,
    id: name,
    team: name,
    kind: name,
    /** How long the run takes on a healthy VM. */
    runMs: z.number().positive(),
    /** Memory that the run really uses. */
    memoryMb: z.number().positive(),
    /** How long the caller waits for the answer. */
    patienceMs: z.number().positive(),
    /** Whether the run fails wherever it goes. */
    poison: z.boolean().optional(),
  }),
  z.strictObject({ type: z.literal('cancel'), atMs, id: name }),
  z.strictObject({ type: z.literal('vm-lost'), atMs, vm: name }),
  z.strictObject({ type: z.literal('vm-back'), atMs, vm: name }),
  /** From now on the VM fails all that it starts. */
  z.strictObject({ type: z.literal('vm-bad'), atMs, vm: name }),
  z.strictObject({ type: z.literal('vm-good'), atMs, vm: name }),
  z.strictObject({ type: z.literal('needed'), atMs, pool: name, slotCount: z.int().positive() }),
  z.strictObject({ type: z.literal('wave'), atMs, wave: name, pools: z.array(name).readonly() }),
  /** What maintenance of a VM will take, whenever its step begins. */
  z.strictObject({
    type: z.literal('step'),
    atMs,
    vm: name,
    drainMs: z.number().nonnegative(),
    rebootMs: z.number().nonnegative(),
    result: z.enum(['maintained', 'failed']),
    /** How long after its return the VM is lost; absent where it stays. */
    lostAfterMs: z.number().optional(),
  }),
]);

/** Subject that a trace measures. */
export type TraceSubject = TraceHead['subject'];
/** Deployment that a trace is about. */
export type DeploymentName = TraceHead['deployment'];
/** What there is at the start. */
export type TraceHead = z.output<typeof traceHeadSchema>;
/** A VM at the start. */
export type TraceVm = z.output<typeof vmSchema>;
/** Something that happens. */
export type TraceEvent = Readonly<z.output<typeof traceEventSchema>>;
/** A job as the trace states it. */
export type TraceJob = Extract<TraceEvent, { type: 'job' }>;

/** A recorded or generated trace. */
export interface Trace {
  readonly head: TraceHead;
  readonly events: readonly TraceEvent[];
}
