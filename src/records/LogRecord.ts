import { z } from 'zod';

/** Format version of the records that this program writes. */
export const RECORD_FORMAT_VERSION = 1;

const id = z.string().min(1).max(200);
const count = z.int().nonnegative();

const claimSchema = z
  .strictObject({
    requestId: id,
    /** Entry instance that forwards the request. */
    entry: id,
    /** Wall-clock time after which the claim may be deleted, in milliseconds. */
    keepUntilMs: z.number(),
    /** Hash of the request, to distinguish a repeated request from a reused id. */
    fingerprint: z.string(),
  })
  .readonly();

const body = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('settings-published'),
    team: id,
    /** Version that the publication is based on; 0 for the first publication. */
    baseVersion: count,
    /** JSON with comments, as the operator wrote it. */
    document: z.string(),
    author: z.string(),
  }),
  z.strictObject({
    type: z.literal('instance-joined'),
    instance: id,
    host: z.string(),
    peerPort: z.int(),
    callerPort: z.int(),
    dataCentre: z.string(),
  }),
  z.strictObject({ type: z.literal('instance-renewed'), instance: id }),
  z.strictObject({ type: z.literal('instance-left'), instance: id }),
  z.strictObject({
    type: z.literal('instance-lapsed'),
    instance: id,
    /** Offset of the last renewal that the writer had seen when its wait for another one ended. */
    observedRenewalOffset: count,
    by: id,
  }),
  z.strictObject({
    type: z.literal('home-claimed'),
    pool: id,
    instance: id,
    /** Current term as the writer saw it; an accepted claim starts the next term. */
    expectedTerm: count,
  }),
  z.strictObject({ type: z.literal('home-released'), pool: id, instance: id, term: count }),
  z.strictObject({
    type: z.literal('vm-adopted'),
    vm: id,
    pool: id,
    instance: id,
    term: count,
    /** Version of the VM's assignment as the writer saw it; 0 if the VM was never assigned. */
    expectedVersion: count,
  }),
  z.strictObject({
    type: z.literal('vm-released'),
    vm: id,
    pool: id,
    instance: id,
    term: count,
    expectedVersion: count,
  }),
  z.strictObject({ type: z.literal('vm-drain-ordered'), vm: id, author: z.string() }),
  z.strictObject({ type: z.literal('vm-drain-cancelled'), vm: id, author: z.string() }),
  z.strictObject({
    type: z.literal('wave-started'),
    wave: id,
    /** Pools whose VMs the wave maintains, as `team/pool`. */
    pools: z.array(id).readonly(),
    author: z.string(),
  }),
  z.strictObject({ type: z.literal('wave-paused'), wave: id, reason: z.string() }),
  z.strictObject({ type: z.literal('wave-resumed'), wave: id, author: z.string() }),
  z.strictObject({
    type: z.literal('step-intended'),
    wave: id,
    pool: id,
    vm: id,
    instance: id,
    term: count,
    /** Boot id of the VM before the step; a later boot proves that the VM was rebooted. */
    bootId: z.string(),
  }),
  z.strictObject({
    type: z.literal('step-finished'),
    wave: id,
    pool: id,
    vm: id,
    instance: id,
    term: count,
    result: z.enum(['maintained', 'failed']),
  }),
  z.strictObject({
    type: z.literal('requests-claimed'),
    pool: id,
    instance: id,
    term: count,
    claims: z.array(claimSchema).readonly(),
    /** Wall-clock time of the writer, in milliseconds; the fold has no clock to expire claims. */
    writtenAtMs: z.number().optional(),
  }),
  z.strictObject({
    type: z.literal('requests-settled'),
    pool: id,
    instance: id,
    term: count,
    settlements: z
      .array(
        z
          .strictObject({
            requestId: id,
            outcome: z.enum(['run', 'not-run', 'unknown']),
            /** Offset of the claim that the outcome belongs to; a repeat has its own claim. */
            claimedOffset: count.optional(),
          })
          .readonly(),
      )
      .readonly(),
  }),
]);

/** Schema of a record on the platform's log. */
export const logRecordSchema = z
  .strictObject({
    formatVersion: z.literal(RECORD_FORMAT_VERSION),
    /** Id of the record, which stays the same when an append is repeated. */
    recordId: id,
    /** Instance or operator that wrote the record. */
    writer: z.string(),
    body,
  })
  .readonly();

/** A record on the platform's log. */
export type LogRecord = z.output<typeof logRecordSchema>;
/** Body of a record. */
export type RecordBody = Readonly<z.output<typeof body>>;
/** Body of records of one type. */
export type RecordBodyOf<Type extends RecordBody['type']> = Extract<
  RecordBody,
  { readonly type: Type }
>;
/** A claim on a non-idempotent request. */
export type RequestClaim = z.output<typeof claimSchema>;
