import { createHash } from 'node:crypto';
import { request as send } from 'undici';
import { z } from 'zod';
import { ANSWER_HEADERS, CALLER_HEADERS } from '../../src/callers/index.js';
import type { DemoDaemon } from './DemoCluster.js';
import type { DemoJob } from './DemoJob.js';

/** What a caller was told of one sending of a job. */
export interface DemoAnswer {
  readonly job: DemoJob;
  readonly daemon: string;
  /** `run`, `not-run` or `unknown` as told; `none` where no whole answer came. */
  readonly outcome: string;
  /** Status, and the kind of error where there was one. */
  readonly detail: string;
  /** Whether the answer is that of this very request. */
  readonly isOwn: boolean;
}

const DEADLINE_AHEAD_MS = 20_000;
const ANSWER_TIMEOUT_MS = 30_000;

const echoSchema = z.object({ requestId: z.string(), bodySha256: z.string() });
/** An error of the daemon, which has a kind, or one of the target. */
const errorSchema = z.object({ kind: z.string().optional(), requestId: z.string() });

function isOwnAnswer(job: DemoJob, body: string, httpStatus: number, text: string): boolean {
  const parsed: unknown = JSON.parse(text);
  if (httpStatus !== 200) return errorSchema.parse(parsed).requestId === job.requestId;
  const echo = echoSchema.parse(parsed);
  const bodySha256 = createHash('sha256').update(body).digest('hex');
  return echo.requestId === job.requestId && echo.bodySha256 === bodySha256;
}

function describe(httpStatus: number, text: string): string {
  const kind = httpStatus === 200 ? undefined : errorSchema.safeParse(JSON.parse(text)).data?.kind;
  return kind === undefined ? String(httpStatus) : `${httpStatus} ${kind}`;
}

/**
 * Sends a job to a daemon and waits for its whole answer.
 * @param daemon - Where to.
 * @param job - The job.
 * @param deadlineAtMs - Deadline that the caller names; the same when it repeats the job.
 * @returns What the caller was told; it never rejects.
 */
export async function sendJob(
  daemon: DemoDaemon,
  job: DemoJob,
  deadlineAtMs = Date.now() + DEADLINE_AHEAD_MS,
): Promise<DemoAnswer> {
  const body = JSON.stringify({ requestId: job.requestId, runMs: job.runMs });
  try {
    const response = await send(`http://127.0.0.1:${daemon.callerPort}/v1/pools/${job.pool}/jobs`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        [CALLER_HEADERS.requestId]: job.requestId,
        [CALLER_HEADERS.kind]: job.jobKind,
        [CALLER_HEADERS.deadline]: String(deadlineAtMs),
        [CALLER_HEADERS.nonIdempotent]: String(!job.idempotent),
      },
      body,
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    const text = await response.body.text();
    return {
      job,
      daemon: daemon.name,
      outcome: String(response.headers[ANSWER_HEADERS.outcome.toLowerCase()] ?? 'none'),
      detail: describe(response.statusCode, text),
      isOwn: isOwnAnswer(job, body, response.statusCode, text),
    };
  } catch (error) {
    return { job, daemon: daemon.name, outcome: 'none', detail: String(error), isOwn: true };
  }
}
