import { Readable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import {
  FinishReporter,
  GrantRenewer,
  type HomeRouter,
  JobRun,
  RetryBudget,
} from '../../src/entry/index.js';
import type { ErrorKind } from '../../src/errors/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import type { PeerReply, PeerRequest } from '../../src/peers/index.js';
import type { TargetPort, TaskRequest, TaskResult } from '../../src/targets/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { makeJob } from './makeJob.js';

const DEADLINE_MS = 60_000;

interface Script {
  readonly idempotent: boolean;
  /** Result that the target returns for each attempt, in order. */
  readonly results: readonly TaskResult[];
  /** Refusal of the home for each grant request, in order; a missing entry grants it. */
  readonly refusals?: readonly (ErrorKind | undefined)[];
  /** Time that the home takes to reply, in milliseconds. */
  readonly heldAtHomeMs?: number;
}

function answer(httpStatus: number): TaskResult {
  return { type: 'answering', httpStatus, contentType: 'text/plain', body: Readable.from(['x']) };
}

/** Runs a job by a script; returns its answer, the tasks sent and the settled outcomes. */
async function runScript(script: Script) {
  const clock = new ManualClock();
  const tasks: TaskRequest[] = [];
  const sentRequests: PeerRequest[] = [];
  let grantCount = 0;
  const reply = (request: PeerRequest): PeerReply => {
    if (request.type !== 'request-grant') return { type: 'done' };
    const kind = script.refusals?.[grantCount];
    grantCount += 1;
    clock.advance(script.heldAtHomeMs ?? 0);
    if (kind !== undefined) return { type: 'refused', kind, message: kind };
    const { attemptId: grantId } = request;
    return {
      type: 'granted',
      grantId,
      term: 1,
      vm: `vm-${grantCount}`,
      host: 'h',
      port: 1,
      heldMs: 0,
    };
  };
  const router = {
    call: async (_pool: string, request: PeerRequest) => {
      sentRequests.push(request);
      return reply(request);
    },
  } as unknown as HomeRouter;
  const targets = {
    run: async (_target: unknown, task: TaskRequest) => {
      tasks.push(task);
      return script.results[tasks.length - 1]!;
    },
  } as unknown as TargetPort;
  const run = new JobRun(
    {
      instance: 'a',
      router,
      targets,
      clock,
      grantRenewer: new GrantRenewer({ router, targets, clock }),
      reporter: new FinishReporter({ router, clock }),
      retryBudget: new RetryBudget({ retriesPerRequest: 1, maxRetryCount: 10 }),
      events: new MemoryEventLog(),
      metrics: new MemoryMetrics(),
      createAttemptId: () => `attempt-${grantCount}`,
      waitForHome: async () => clock.advance(500),
    },
    makeJob({ idempotent: script.idempotent, deadlineAtMs: DEADLINE_MS }),
    new AbortController().signal,
  );
  const result = await run.run();
  const settled = sentRequests.flatMap((request) =>
    request.type === 'finish-grant' && request.isClaimed ? [request.outcome] : [],
  );
  return { result, tasks, settled };
}

const SILENT: TaskResult = { type: 'unknown', reason: 'silent' };
const REFUSED: TaskResult = { type: 'not-started', reason: 'draining' };

describe('JobRun', () => {
  describe('run', () => {
    // Guards against a repeated page save: the target receives the save and stops answering, but
    // may have stored the page.
    it('never sends a non-idempotent request again once it has left', async () => {
      const played = await runScript({ idempotent: false, results: [SILENT, answer(200)] });
      expect(played.tasks).toHaveLength(1);
      expect(played.result).toMatchObject({ type: 'failed', outcome: 'unknown' });
      expect(played.settled).toEqual(['unknown']);
    });

    it('tries another VM where the target certainly did not start', async () => {
      const played = await runScript({ idempotent: false, results: [REFUSED, answer(200)] });
      expect(played.result).toMatchObject({ type: 'answered', httpStatus: 200 });
      expect(played.tasks.every((task) => task.freshConnection)).toBe(true);
    });

    // Guards against two concurrent runs of a save: a draining VM refuses it, the next VM runs it,
    // and the log records "not run" for the first attempt meanwhile, so a repeat would also run.
    it('settles a claim once, with the last attempt', async () => {
      const played = await runScript({ idempotent: false, results: [REFUSED, SILENT] });
      expect(played.settled).toEqual(['unknown']);
    });

    // Guards against "not run" for a job that ran: a search runs on a VM that answers 500 (or
    // never), and the next attempt finds no VM.
    it.each([
      ['run', answer(500)],
      ['unknown', SILENT],
    ] as const)(
      'reports the outcome %s of an earlier attempt, whatever the last one did',
      async (outcome, first) => {
        const played = await runScript({
          idempotent: true,
          results: [first],
          refusals: [undefined, 'no-capacity'],
        });
        expect(played.result).toMatchObject({ type: 'failed', outcome });
      },
    );

    // Guards against "run" for a job that no target started: three VMs refuse it, and the home
    // rejects it as a job that fails on every VM.
    it('does not report a job as run if no target has started it', async () => {
      const played = await runScript({
        idempotent: true,
        results: [REFUSED, REFUSED, REFUSED],
        refusals: [undefined, undefined, undefined, 'target-failed'],
      });
      expect(played.result).toMatchObject({ outcome: 'not-run', error: { kind: 'target-failed' } });
    });

    // Guards against the use of a slot that belongs to another request: the process is paused
    // after the home grants the slot, and resumes after the grant has ended.
    it('sends nothing on a grant that has ended', async () => {
      const played = await runScript({ idempotent: true, results: [], heldAtHomeMs: 10_000 });
      expect(played.tasks).toEqual([]);
      expect(played.result).toMatchObject({ type: 'failed', outcome: 'not-run' });
    });

    it('gives up on a pool without a home after a bounded wait', async () => {
      const refusals = Array.from({ length: 20 }, () => 'home-unavailable' as const);
      const played = await runScript({ idempotent: true, results: [], refusals });
      expect(played.result).toMatchObject({
        outcome: 'not-run',
        error: { kind: 'home-unavailable' },
      });
    });
  });
});
