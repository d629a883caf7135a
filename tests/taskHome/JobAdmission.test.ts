import { describe, expect, it } from 'vitest';
import type { DurableJobSpec } from '../../src/jobs/index.js';
import type { TaskHome } from '../../src/taskHome/index.js';
import { handleJobRequest } from '../../src/taskHome/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { type HomeWorld, makeEntry, makeJob, makeStep, TERMS, useHomeWorld } from './HomeWorld.js';

const SETTLED_AFTER_MS = 5_000;
const SUMMED_UP_AFTER_MS = 200;
/** Keeps the eight cores of the two targets busy for longer than a short job is of use. */
const LARGE_JOB: DurableJobSpec = {
  ...makeJob('large', [makeStep({ taskCount: 200 })]),
  terms: { ...TERMS, targetDurationMs: 60_000 },
};

const refusedWith = { kind: 'no-capacity' };

describe('JobAdmission', () => {
  const clock = new ManualClock(1_000_000);
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
    world.refusesUnservableJobs = true;
  });

  /** Lets the time pass after which a home knows its targets. */
  function settle(): void {
    clock.advance(SETTLED_AFTER_MS);
  }

  /** Opens a home with more work than it can do in time, which has known its targets for long. */
  async function openFull(): Promise<TaskHome> {
    const home = await world.open(clock);
    settle();
    await home.submit(LARGE_JOB);
    await expect.poll(() => world.targets.listRunning().length).toBe(8);
    clock.advance(SUMMED_UP_AFTER_MS);
    await home.submit(makeJob('first'));
    settle();
    return home;
  }

  it('refuses a job that would end too late, and tells when to come back', async () => {
    const home = await openFull();
    const job = makeJob('late');
    const request = { type: 'submit-durable-job', pool: 'pages', job } as const;
    const reply = await handleJobRequest(home, request, clock);
    expect(reply).toMatchObject({ type: 'refused', ...refusedWith });
    const { retryAfterMs } = reply as { readonly retryAfterMs?: number };
    expect(retryAfterMs).toBeGreaterThan(5_000);
    expect(retryAfterMs).toBeLessThanOrEqual(30_000);
    const refusals = world.events.events.filter(({ event }) => event === 'jobRefusedByLoad');
    expect(refusals).toHaveLength(1);
    const { expectedEndInMs, usefulForMs } = refusals[0]!.fields;
    expect(expectedEndInMs).toBeGreaterThan(Number(usefulForMs));
  });

  it('accepts every job where the settings do not call for refusals', async () => {
    world.refusesUnservableJobs = false;
    const home = await openFull();
    await home.submit(makeJob('late'));
    expect(home.getState('late')).toBe('queued');
  });

  // Failure: a service is not started, or a repeat is told that a stored job never runs.
  it('accepts services, scheduled jobs and repeats of stored jobs', async () => {
    const home = await openFull();
    const schedule = { occurrenceCount: 2, firstDueAtMs: 9e12, intervalMs: 1_000 };
    const jobs: readonly DurableJobSpec[] = [
      makeJob('service', [makeStep({ isLongRunning: true })]),
      { ...makeJob('scheduled'), schedule },
      LARGE_JOB,
    ];
    await Promise.all(jobs.map((job) => home.submit(job)));
    expect(jobs.map(({ jobId }) => home.getState(jobId))).toEqual(['queued', 'queued', 'running']);
  });

  // Failure: callers are refused for room that a cancelled job no longer needs.
  it('counts no cancelled job', async () => {
    const home = await openFull();
    await expect(home.submit(makeJob('late'))).rejects.toMatchObject(refusedWith);
    await home.cancel('large');
    await home.submit(makeJob('late'));
    expect(home.getState('late')).toBe('queued');
  });

  // Failure: the home is lost between a refusal and the repeat, and a refused job runs or a repeat
  // is lost.
  it('leaves nothing of a refused job to the next home, which takes the repeat', async () => {
    const first = await openFull();
    await expect(first.submit(makeJob('late'))).rejects.toMatchObject(refusedWith);
    world.kill(first);
    const next = await world.open(clock);
    expect(next.getState('late')).toBeUndefined();
    await next.submit(makeJob('late'));
    expect(next.getState('late')).toBe('queued');
  });

  // Failure: a home that has been replaced does not know that the next one has stored the job, and
  // tells its caller that it never runs.
  it('refuses nothing while another instance may be the home', async () => {
    const first = await openFull();
    const next = await world.open(clock);
    await next.submit(makeJob('stored'));
    world.isGroupLeaseHeld = false;
    await expect(first.submit(makeJob('stored'))).rejects.toMatchObject({
      kind: expect.not.stringMatching(refusedWith.kind),
    });
  });

  // Failure: right after a takeover no target has reported, and callers are refused for that.
  it('refuses nothing until the targets of a new home have reported', async () => {
    const first = await openFull();
    world.kill(first);
    const next = await world.open(clock);
    await next.submit(makeJob('early'));
    settle();
    await next.submit({ ...LARGE_JOB, jobId: 'larger' });
    const submitAnother = (): Promise<string> => {
      clock.advance(SETTLED_AFTER_MS);
      return next.submit(makeJob(`late-${clock.wallMs()}`)).then(
        () => 'accepted',
        ({ kind }) => kind,
      );
    };
    await expect.poll(submitAnother).toBe(refusedWith.kind);
  });

  // Failure: callers are refused at the start of a peak, seconds before the VMs that it needs join.
  it('refuses nothing while VMs join the pool', async () => {
    const home = await openFull();
    world.addTarget(makeEntry('t3'));
    home.syncTargets();
    await expect.poll(() => world.targets.listRunning().length).toBeGreaterThan(8);
    await home.submit(makeJob('accepted'));
    settle();
    await expect(home.submit(makeJob('late'))).rejects.toMatchObject(refusedWith);
  });

  // Failure: the targets of a pool are silent or unknown, and every caller is refused.
  it('refuses nothing in a pool of which less than half answers', async () => {
    const home = await openFull();
    const unheard = makeJob('unheard');
    await home.submit({ ...unheard, terms: { ...unheard.terms, pool: 'empty' } });
    ['t1', 't2'].forEach((targetId) => world.targets.setFaults(targetId, { isCutOff: true }));
    await expect.poll(() => world.countEvents('targetSilent')).toBe(2);
    await home.submit(makeJob('silent'));
    expect(home.getState('silent')).toBe('queued');
  });
});
