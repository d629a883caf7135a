import type { UnsteadyTargets } from '../../../standins/leasedTargets/UnsteadyTargets.js';
import { parseTaskName } from '../../../src/jobs/index.js';
import { type DrawnJob, makeSteps } from './RunHistory.js';
import type { RunWatch, WatchedRun } from './RunWatch.js';
import type { VirtualTime } from './VirtualTime.js';

/** Options of {@link RunScript}. */
export interface RunScriptOptions {
  readonly time: VirtualTime;
  readonly targets: UnsteadyTargets;
  readonly watch: RunWatch;
  readonly getJob: (jobId: string) => DrawnJob;
}

/** Interval at which an incomplete gang looks for its other members, in milliseconds. */
const GANG_CHECK_MS = 20;
/** Time after which a member of an incomplete gang gives up, in milliseconds. */
const GANG_WAIT_MS = 2_000;

/** Lists the names of the tasks of a job. */
export function listTaskNames(jobId: string, { shape }: DrawnJob): readonly string[] {
  return makeSteps(shape).flatMap(({ taskCount }, step) =>
    Array.from({ length: taskCount }, (_unused, index) => `${jobId}.0.${step}.${index}`),
  );
}

/** Tells whether the tasks of a job are one gang. */
export function isGang({ shape }: DrawnJob): boolean {
  return shape === 'gang' || shape === 'gang-failing-as-one';
}

/** Lets runs end by themselves, as their jobs say. */
export class RunScript {
  private readonly options: RunScriptOptions;

  /**
   * Creates a script for the runs of one history.
   * @param options - The jobs, and the targets on which their runs end.
   */
  constructor(options: RunScriptOptions) {
    this.options = options;
  }

  /**
   * Plans the end of a run.
   * @param run - The run, which has just begun.
   */
  begin(run: WatchedRun): void {
    const { jobId } = parseTaskName(run.taskName)!;
    const job = this.options.getJob(jobId);
    if (job.shape === 'service') return;
    const end = (): void =>
      isGang(job) ? this.endGang(run, listTaskNames(jobId, job), job) : this.end(run, job);
    this.options.time.call(job.runMs, end);
  }

  private isRunning({ targetId, taskName, run }: WatchedRun): boolean {
    return this.options.targets.findRun(targetId, taskName) === run;
  }

  private fails(taskName: string, { failureCount }: DrawnJob): boolean {
    const failed = this.options.watch.listOf(taskName).filter(({ end }) => end === 'failed');
    return failed.length < failureCount;
  }

  private end(run: WatchedRun, job: DrawnJob): void {
    if (!this.isRunning(run)) return;
    const { targetId, taskName } = run;
    this.options.targets.end(targetId, taskName, this.fails(taskName, job) ? 'failed' : 'done');
  }

  /** Ends a whole gang at once, or a member alone that has waited too long for the others. */
  private endGang(run: WatchedRun, taskNames: readonly string[], job: DrawnJob): void {
    if (!this.isRunning(run)) return;
    const { targets, watch, time } = this.options;
    const members = taskNames.map((name) => watch.listOf(name).findLast((r) => this.isRunning(r)));
    const waitedMs = time.monotonicMs() - run.begunAtMs;
    if (members.every((member) => member !== undefined)) {
      const [first, ...others] = members;
      const isFailing = this.fails(first!.taskName, job);
      targets.end(first!.targetId, first!.taskName, isFailing ? 'failed' : 'done');
      const failedEnd = job.shape === 'gang-failing-as-one' ? 'failed' : 'gang-broken';
      others.forEach((member) =>
        targets.end(member.targetId, member.taskName, isFailing ? failedEnd : 'done'),
      );
    } else if (waitedMs >= GANG_WAIT_MS) {
      targets.end(run.targetId, run.taskName, 'gang-alone');
    } else {
      time.call(GANG_CHECK_MS, () => this.endGang(run, taskNames, job));
    }
  }
}
