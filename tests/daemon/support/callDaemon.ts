import { request } from 'undici';
import type { TestProcess } from '../../support/startProcess.js';

const HOST = '127.0.0.1';

/** A daemon that runs as a process of its own. */
export interface RunningDaemon {
  readonly name: string;
  readonly instance: string;
  readonly port: number;
  readonly process: TestProcess;
}

/** An answer to a caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly requestId: string | undefined;
  readonly retryAfterS: string | undefined;
  readonly body: Readonly<Record<string, unknown>>;
}

/** A job to send. */
export interface CallerJob {
  readonly kind: string;
  readonly requestId?: string;
  readonly body?: unknown;
  readonly deadlineMs?: number;
  readonly pool?: string;
}

/** Sends a job to a daemon and reads its whole answer. */
export async function send(daemon: RunningDaemon, job: CallerJob): Promise<CallerAnswer> {
  const { kind, requestId, body = {}, deadlineMs = 20_000, pool = 'wiki/pages' } = job;
  const answer = await request(`http://${HOST}:${daemon.port}/v1/pools/${pool}/jobs`, {
    method: 'POST',
    body: JSON.stringify(body),
    headers: {
      'content-type': 'application/json',
      'rattanlift-kind': kind,
      'rattanlift-deadline-ms': String(Date.now() + deadlineMs),
      ...(requestId === undefined ? {} : { 'rattanlift-request-id': requestId }),
    },
  });
  const { headers } = answer;
  return {
    status: answer.statusCode,
    outcome: headers['rattanlift-outcome'] as string | undefined,
    requestId: headers['rattanlift-request-id'] as string | undefined,
    retryAfterS: headers['retry-after'] as string | undefined,
    body: (await answer.body.json()) as Readonly<Record<string, unknown>>,
  };
}

/** Calls the operators' interface of a daemon. */
export async function operate(
  daemon: RunningDaemon,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
) {
  const answer = await request(`http://${HOST}:${daemon.port}${path}`, {
    method,
    ...(body === undefined
      ? {}
      : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
  });
  return {
    status: answer.statusCode,
    body: (await answer.body.json()) as Readonly<Record<string, unknown>>,
  };
}
