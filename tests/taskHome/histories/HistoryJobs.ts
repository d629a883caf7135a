import type { DurableJobSpec, DurableJobState } from '../../../src/jobs/index.js';
import type { TaskHome } from '../../../src/taskHome/index.js';
import { TERMS } from '../HomeWorld.js';
import type { HistoryHomes } from './HistoryHomes.js';
import type { DueTask } from './listLostTasks.js';
import type { DrawnJob } from './RunHistory.js';
import { isGang, listTaskNames } from './RunScript.js';
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

/** Reads how many jobs are pending; undefined from a home that may not be the home any more. */
function readPending(home: TaskHome): number | undefined {
  try {
    return home.countPending(TERMS.queue);
  } catch {
    return undefined;
  }
}

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

  /** Reads the state of each job from each home that answers, and the count of pending ones. */
  look(): void {
    this.checkPending(Infinity, (pending, unbegun) => pending >= unbegun);
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
   * Checks that no job counts as pending of which a run has begun long before, while calm.
   * @param begunByMs - By when the runs have begun that count, by the time of the watch.
   */
  checkCalmPending(begunByMs: number): void {
    this.checkPending(begunByMs, (pending, unbegun) => pending <= unbegun);
  }

  private checkPending(
    begunByMs: number,
    isRight: (pending: number, unbegunCount: number) => boolean,
  ): void {
    const { current } = this.options.homes;
    const pending = current && readPending(current);
    const unbegunCount = [...this.jobs.values()].filter(
      (job) => job.isAccepted && job.shownEnd === undefined && !this.hasBegun(job, begunByMs),
    ).length;
    if (pending === undefined || isRight(pending, unbegunCount)) return;
    this.violations.push(`${pending} are shown as pending, ${unbegunCount} have not begun`);
  }

  private hasBegun({ jobId, drawn }: SubmittedJob, byMs: number): boolean {
    const runs = listTaskNames(jobId, drawn).flatMap((name) => this.options.watch.listOf(name));
    return runs.some(({ begunAtMs }) => begunAtMs <= byMs);
  }

  /**
   * Lists what should not have happened.
   * @returns One sentence each.
   */
  listViolations(): readonly string[] {
    const stuck = [...this.jobs.values()].filter(
      ({ isAccepted, shownEnd }) => isAccepted && shownEnd === undefined,
    );
    return [
      ...this.listWrongRunsAndEnds(),
      ...this.listUnaccepted(),
      ...stuck.map(({ jobId }) => `${jobId} has not ended`),
    ];
  }

  /**
   * Lists the runs that should not have begun, and the ends that were shown without cause.
   * @returns One sentence each.
   */
  listWrongRunsAndEnds(): readonly string[] {
    const gangs = [...this.jobs.values()]
      .filter(({ drawn }) => isGang(drawn))
      .map(({ jobId, drawn }) => listTaskNames(jobId, drawn));
    const { watch } = this.options;
    return [
      ...watch.listViolations(TERMS.maxAttempts),
      ...gangs.flatMap((names) => watch.listGangViolations(names, TERMS.maxAttempts)),
      ...this.violations,
    ];
  }

  /**
   * Lists the jobs that no home has accepted, nor shown to have ended.
   * @returns One sentence each.
   */
  listUnaccepted(): readonly string[] {
    return [...this.jobs.values()]
      .filter(({ isAccepted, shownEnd }) => !isAccepted && shownEnd === undefined)
      .map(({ jobId }) => `${jobId} was not accepted`);
  }

  /**
   * Lists the accepted jobs that a home doesn't know.
   * @param home - The home.
   * @returns One sentence each.
   */
  listUnknownTo(home: TaskHome): readonly string[] {
    return [...this.jobs.values()]
      .filter(({ isAccepted, jobId }) => isAccepted && home.getState(jobId) === undefined)
      .map(({ jobId }) => `${jobId} is not known any more`);
  }

  /**
   * Lists the tasks whose turn has come, as the tasks before them are done.
   * @returns The tasks.
   */
  listDueTasks(): readonly DueTask[] {
    return [...this.jobs.values()].flatMap((job) => {
      const names = listTaskNames(job.jobId, job.drawn);
      const isLongRunning = job.drawn.shape === 'service';
      const isOver = job.shownEnd !== undefined;
      const areInTurn = job.drawn.shape === 'two-steps';
      return names
        .map((taskName, place) => ({
          taskName,
          turnAtMs: areInTurn && place > 0 ? this.getDoneAtMs(names[place - 1]!) : 0,
          isLongRunning,
          isOver,
        }))
        .filter(({ turnAtMs }) => turnAtMs < Infinity);
    });
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

  /** Gets when it was taken note of that a task is done; infinite if it was not. */
  private getDoneAtMs(taskName: string): number {
    const runs = this.options.watch.listOf(taskName).filter(({ end }) => end === 'done');
    return Math.min(...runs.map(({ acknowledgedAtMs = Infinity }) => acknowledgedAtMs));
  }

  /** Tells whether what a job's runs did explains the end that is shown. */
  private isDue({ jobId, drawn, shownEnd }: SubmittedJob): boolean {
    const { watch } = this.options;
    const runs = listTaskNames(jobId, drawn).map((taskName) => watch.listOf(taskName));
    const count = (end: string) =>
      runs.map((ofTask) => ofTask.filter((run) => run.end === end).length);
    if (shownEnd === 'completed') return count('done').every((doneCount) => doneCount > 0);
    const failedRuns = runs.map((ofTask) => ofTask.filter(({ end }) => end === 'failed'));
    const attempts = isGang(drawn) ? [failedRuns.flat()] : failedRuns;
    const hasFailed = attempts.some(
      (ofOne) => new Set(ofOne.map(({ run }) => run)).size >= TERMS.maxAttempts,
    );
    return hasFailed || count('crashed').some((crashCount) => crashCount >= CRASHES_ALLOWED);
  }
}
