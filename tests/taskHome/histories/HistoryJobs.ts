import type { DurableJobSpec, DurableJobState } from '../../../src/jobs/index.js';
import type { TaskHome } from '../../../src/taskHome/index.js';
import { TERMS } from '../HomeWorld.js';
import type { HistoryHomes } from './HistoryHomes.js';
import type { DrawnJob } from './RunHistory.js';
import { listTaskNames } from './RunScript.js';
import type { RunWatch } from './RunWatch.js';

/** Options of {@link HistoryJobs}. */
export interface HistoryJobsOptions {
  readonly watch: RunWatch;
  readonly homes: HistoryHomes;
}

interface SubmittedJob {
  readonly jobId: string;
  readonly drawn: DrawnJob;
  readonly spec: DurableJobSpec;
  isAccepted: boolean;
  /** Home that has not answered the submission yet; a killed one never will. */
  askedHome: TaskHome | undefined;
  /** State that a home has shown first among those of ended jobs. */
  shownEnd: DurableJobState | undefined;
}

/** Crashes of its targets from which a task may be given up, by the users' pages. */
const CRASHES_ALLOWED = 2;

/** Reads an end as callers see it; a home that has lost the partition doesn't know every job. */
function readEnd(home: TaskHome, jobId: string): DurableJobState | undefined {
  try {
    const state = home.getState(jobId);
    return state === 'queued' || state === 'running' ? undefined : state;
  } catch {
    return undefined;
  }
}

/** The jobs of a history: hands them in, reads their states, and tells what is wrong with them. */
export class HistoryJobs {
  private readonly options: HistoryJobsOptions;

  private readonly jobs = new Map<string, SubmittedJob>();

  private readonly violations: string[] = [];

  /**
   * Starts without jobs.
   * @param options - The homes, and the runs of the jobs.
   */
  constructor(options: HistoryJobsOptions) {
    this.options = options;
  }

  /** Whether every job was accepted and is shown to have ended. */
  get haveEnded(): boolean {
    return [...this.jobs.values()].every(({ shownEnd }) => shownEnd !== undefined);
  }

  /**
   * Gets a job.
   * @param jobId - Its id.
   * @returns The job as it was drawn.
   */
  get(jobId: string): DrawnJob {
    return this.jobs.get(jobId)!.drawn;
  }

  /**
   * Hands a job in, now or once there is a home.
   * @param drawn - The job.
   * @param makeSpec - Creates what is handed in.
   */
  submit(drawn: DrawnJob, makeSpec: (jobId: string) => DurableJobSpec): void {
    const jobId = `j${this.jobs.size + 1}`;
    const job: SubmittedJob = {
      jobId,
      drawn,
      spec: makeSpec(jobId),
      isAccepted: false,
      askedHome: undefined,
      shownEnd: undefined,
    };
    this.jobs.set(jobId, job);
    this.send(job);
  }

  /** Hands the jobs in again that no home has accepted. */
  submitMissing(): void {
    this.jobs.forEach((job) => {
      if (!job.isAccepted) this.send(job);
    });
  }

  /** Reads the state of each job from each home that answers. */
  look(): void {
    this.options.homes.listActing().forEach((home) =>
      this.jobs.forEach((job) => {
        const shownEnd = readEnd(home, job.jobId);
        if (shownEnd === undefined || job.shownEnd !== undefined) return;
        Object.assign(job, { shownEnd });
        if (!this.isDue(job)) this.violations.push(`${job.jobId} shown as ${shownEnd} too early`);
      }),
    );
  }

  /**
   * Lists what should not have happened.
   * @returns One sentence each.
   */
  listViolations(): readonly string[] {
    const stuck = [...this.jobs.values()].filter(({ shownEnd }) => shownEnd === undefined);
    return [
      ...this.options.watch.listViolations(TERMS.maxAttempts),
      ...this.violations,
      ...stuck.map(({ jobId, isAccepted }) =>
        isAccepted ? `${jobId} has not ended` : `${jobId} was not accepted`,
      ),
    ];
  }

  private send(job: SubmittedJob): void {
    const home = this.options.homes.current;
    if (home === undefined || home === job.askedHome) return;
    Object.assign(job, { askedHome: home });
    home.submit(job.spec).then(
      () => Object.assign(job, { isAccepted: true }),
      () => Object.assign(job, { askedHome: undefined }),
    );
  }

  /** Tells whether what a job's runs did explains the end that is shown. */
  private isDue({ jobId, drawn, shownEnd }: SubmittedJob): boolean {
    const { watch } = this.options;
    const runs = listTaskNames(jobId, drawn).map((taskName) => watch.listOf(taskName));
    const count = (end: string) =>
      runs.map((ofTask) => ofTask.filter((run) => run.end === end).length);
    if (shownEnd === 'completed') return count('done').every((doneCount) => doneCount > 0);
    const failed = count('failed');
    const hasFailed = failed.some((failedCount) => failedCount >= TERMS.maxAttempts);
    return hasFailed || count('crashed').some((crashCount) => crashCount >= CRASHES_ALLOWED);
  }
}
