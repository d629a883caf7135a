import { z } from 'zod';

/** Format version of the records that this program writes. */
export const RECORD_FORMAT_VERSION = 1;

const id = z.string().min(1).max(200);
const count = z.int().nonnegative();

const claimSchema = z
  .strictObject({
    requestId: id,
    /** Entry instance that sends the request on. */
    entry: id,
    /** Wall-clock time after which the claim may be forgotten. */
    keepUntilMs: z.number(),
    /** Hash of the request, to tell a repeat from a reused id. */
    fingerprint: z.string(),
  })
  .readonly();

const body = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('settings-published'),
    team: id,
    /** Version that the operator saw; 0 for the first publication. */
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
    /** Offset of the last renewal that the writer had seen when its wait ended. */
    observedRenewalOffset: count,
    by: id,
  }),
  z.strictObject({
    type: z.literal('home-claimed'),
    pool: id,
    instance: id,
    /** Term that the writer saw; the accepted claim starts the next one. */
    expectedTerm: count,
  }),
  z.strictObject({ type: z.literal('home-released'), pool: id, instance: id, term: count }),
  z.strictObject({
    type: z.literal('vm-adopted'),
    vm: id,
    pool: id,
    instance: id,
    term: count,
    /** Version of the VM's assignment that the writer saw; 0 where it never had one. */
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
    /** Pools whose VMs are to be maintained, as `team/pool`. */
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
    /** Boot that the VM showed before the step; a later one proves the reboot. */
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
    /** Wall-clock time of the writer; the fold has no clock to forget claims by. */
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
            /** Offset of the claim that the outcome is of; a repeat has a claim of its own. */
            claimedOffset: count.optional(),
          })
          .readonly(),
      )
      .readonly(),
  }),
]);

/** Schema of a record as it stands on the platform's log. */
export const logRecordSchema = z
  .strictObject({
    formatVersion: z.literal(RECORD_FORMAT_VERSION),
    /** Id of the record, the same when an append is repeated. */
    recordId: id,
    /** Instance or operator that wrote it. */
    writer: z.string(),
    body,
  })
  .readonly();

/** A record as it stands on the platform's log. */
export type LogRecord = z.output<typeof logRecordSchema>;
/** What a record says. */
export type RecordBody = Readonly<z.output<typeof body>>;
/** Body of one type. */
export type RecordBodyOf<Type extends RecordBody['type']> = Extract<
  RecordBody,
  { readonly type: Type }
>;
/** A claim on a non-idempotent request. */
export type RequestClaim = z.output<typeof claimSchema>;
