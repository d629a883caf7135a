import { z } from 'zod';
import { ERROR_ANSWERS, type ErrorKind, throwError } from '../errors/index.js';
import { durableJobSpecSchema, durableJobStateSchema } from '../jobs/index.js';
import { targetAnswerSchema, targetCallSchema } from '../targets/targetCallSchemas.js';
import { listOf } from '../utils/index.js';
import type { PeerReply, PeerRequest } from './PeerMessage.js';

const id = z.string().min(1).max(200);
const text = z.string();
const count = z.int().nonnegative();
const urgency = z.enum(['urgent', 'normal', 'overnight']);
const outcome = z.enum(['run', 'not-run', 'unknown']);
const errorKind = z.enum(Object.keys(ERROR_ANSWERS) as [ErrorKind, ...ErrorKind[]]);
const caller = z
  .looseObject({ organisation: id, keyDigest: id, configurationVersion: z.number() })
  .optional();
const poolSearch = z.looseObject({ pools: listOf(id), configurationVersion: z.number() });
const queueReference = z.looseObject({
  queue: id,
  pool: id,
  address: text.optional(),
  configurationVersion: z.number().optional(),
});
const resources = z.looseObject({
  cpuMillicores: z.number(),
  memoryMb: z.number(),
  gpuCount: z.number(),
});
const limitParts = listOf(z.looseObject({ organisation: id, limit: resources, part: resources }));
const limitOrder = z.looseObject({
  fleetTerm: count,
  sequence: count,
  homeTerm: count.optional(),
  parts: limitParts,
});
const limitReport = z.looseObject({
  homeTerm: count,
  isApplied: z.boolean(),
  isOutdated: z.boolean(),
  parts: limitParts.optional(),
});
const organisationUse = z.looseObject({ organisation: id, used: resources, waiting: resources });
const entries = listOf(z.looseObject({ offset: count, payload: z.unknown() }));

// Objects are loose because a later version may send fields that this one does not know.
const requestSchema = z.discriminatedUnion('type', [
  z.looseObject({
    type: z.literal('request-grant'),
    attemptId: id,
    requestId: id,
    pool: id,
    team: id,
    jobKind: id,
    urgency,
    coreCount: z.number().nonnegative(),
    memoryMb: z.number().nonnegative(),
    idempotent: z.boolean(),
    deadlineAtMs: z.number(),
    fingerprint: text,
    excludedVms: listOf(id),
  }),
  z.looseObject({ type: z.literal('cancel-request'), pool: id, attemptId: id }),
  z.looseObject({
    type: z.literal('finish-grant'),
    pool: id,
    grantId: id,
    requestId: id,
    jobKind: id,
    vm: id,
    isClaimed: z.boolean(),
    result: z.enum(['run', 'failed', 'not-started', 'unknown', 'cancelled']),
    outcome,
    ranMs: z.number().nonnegative(),
    usedMemoryMb: z.number().nonnegative().optional(),
  }),
  z.looseObject({ type: z.literal('renew-grants'), pool: id, grantIds: listOf(id) }),
  z.looseObject({ type: z.literal('list-grants'), pool: id }),
  z.looseObject({ type: z.literal('push-entries'), entries }),
  z.looseObject({ type: z.literal('get-entries'), fromOffset: count, maxCount: count }),
  z.looseObject({ type: z.literal('get-tables') }),
  z.looseObject({ type: z.literal('get-pool-state'), pool: id }),
  z.looseObject({ type: z.literal('get-job'), jobId: id }),
  z.looseObject({ type: z.literal('cancel-job'), jobId: id }),
  z.looseObject({ type: z.literal('explain'), subject: text }),
  z.looseObject({
    type: z.literal('submit-durable-job'),
    pool: id,
    job: durableJobSpecSchema,
    search: poolSearch.optional(),
    caller,
  }),
  z.looseObject({
    type: z.literal('find-durable-job'),
    pool: id,
    jobId: id,
    queue: queueReference,
    caller,
  }),
  z.looseObject({
    type: z.literal('get-durable-job'),
    pool: id,
    jobId: id,
    queue: queueReference.optional(),
    caller,
  }),
  z.looseObject({
    type: z.literal('cancel-durable-job'),
    pool: id,
    jobId: id,
    queue: queueReference.optional(),
    caller,
  }),
  z.looseObject({
    type: z.literal('count-pending-jobs'),
    pool: id,
    queue: id,
    address: text.optional(),
    configurationVersion: z.number().optional(),
    caller,
  }),
  z.looseObject({ type: z.literal('get-organisation-use'), pool: id }),
  z.looseObject({
    type: z.literal('sync-pool'),
    pool: id,
    drainedTargets: listOf(id),
    drainedForMs: z.number().nonnegative(),
    endedTargets: listOf(id),
    // Peers of earlier versions do not send these two fields.
    crashedTargets: listOf(id).default([]),
    lostWithRack: listOf(id).default([]),
    limits: limitOrder.optional(),
  }),
  z.looseObject({ type: z.literal('list-homes') }),
  z.looseObject({ type: z.literal('get-configuration-version') }),
  z.looseObject({ type: z.literal('get-configuration-record') }),
  z.looseObject({ type: z.literal('announce-member'), member: text }),
  z.looseObject({
    type: z.literal('call-target'),
    target: z.looseObject({ targetId: id, host: text, port: z.int() }),
    call: targetCallSchema,
  }),
]);

const heldGrant = z.looseObject({
  grantId: id,
  requestId: id,
  team: id,
  jobKind: id,
  urgency,
  vm: id,
  coreCount: z.number(),
  memoryMb: z.number(),
});

const replySchema = z.discriminatedUnion('type', [
  z.looseObject({
    type: z.literal('granted'),
    grantId: id,
    term: count,
    vm: id,
    host: text,
    port: z.int(),
    heldMs: z.number(),
  }),
  z.looseObject({
    type: z.literal('refused'),
    kind: errorKind,
    message: text,
    retryAtMs: z.number().optional(),
    retryAfterMs: z.number().nonnegative().optional(),
  }),
  z.looseObject({ type: z.literal('done') }),
  z.looseObject({
    type: z.literal('durable-job'),
    state: durableJobStateSchema.optional(),
    otherPools: listOf(id).optional(),
  }),
  z.looseObject({ type: z.literal('pending-jobs'), count, otherPools: listOf(id).optional() }),
  z.looseObject({ type: z.literal('search-first'), search: poolSearch }),
  z.looseObject({ type: z.literal('found-job'), isStored: z.boolean() }),
  z.looseObject({
    type: z.literal('pool-demand'),
    demand: z.looseObject({
      pool: id,
      targets: listOf(
        z.looseObject({
          targetId: id,
          runCount: count,
          longRunningCount: count,
          usedCpuMillicores: z.number(),
          takesTasks: z.literal(false).optional(),
          cpuMillicores: z.number(),
        }),
      ),
      waitingCpuMillicores: z.number(),
      waitingByPriority: z
        .array(z.looseObject({ priority: z.number(), cpuMillicores: z.number() }))
        .optional(),
      neededCpuMillicores: z.number(),
      // Instances of earlier versions do not send these two fields.
      lateCpuMillicores: z.number().default(0),
      wholeVmCount: count.default(0),
      jobCount: count,
      organisationUse: listOf(organisationUse).optional(),
      limitReport: limitReport.optional(),
    }),
  }),
  z.looseObject({
    type: z.literal('organisation-use'),
    use: listOf(organisationUse),
    parts: limitParts,
  }),
  z.looseObject({ type: z.literal('target-answer'), answer: targetAnswerSchema }),
  z.looseObject({
    type: z.literal('homes'),
    owners: listOf(z.looseObject({ partition: count, member: text })),
    ageMs: z.number().nonnegative(),
  }),
  z.looseObject({
    type: z.literal('configuration-version'),
    version: z.number(),
    ageMs: z.number().nonnegative(),
  }),
  z.looseObject({
    type: z.literal('configuration-record'),
    version: z.number(),
    ageMs: z.number().nonnegative(),
    compressed: z.instanceof(Uint8Array),
  }),
  z.looseObject({ type: z.literal('grants'), grants: listOf(heldGrant) }),
  z.looseObject({ type: z.literal('entries'), entries }),
  z.looseObject({ type: z.literal('state'), json: text }),
]);

function throwMalformed(messageType: string, error: z.ZodError): never {
  const field = error.issues[0]?.path.join('.');
  return throwError('bad-request', `The ${messageType} is malformed: ${z.prettifyError(error)}`, {
    field,
  });
}

/**
 * Validates a request of a peer.
 * @param value - The request of the frame.
 * @returns The request.
 * @throws RattanliftError Of kind `bad-request` with the field at fault.
 * @internal
 */
export function parsePeerRequest(value: unknown): PeerRequest {
  const result = requestSchema.safeParse(value);
  return result.success ? result.data : throwMalformed('request', result.error);
}

/**
 * Validates a reply of a peer.
 * @param value - The reply of the frame.
 * @returns The reply.
 * @throws RattanliftError Of kind `bad-request` with the field at fault.
 * @internal
 */
export function parsePeerReply(value: unknown): PeerReply {
  const result = replySchema.safeParse(value);
  return result.success ? result.data : throwMalformed('reply', result.error);
}
