import type { StepSpec } from '../jobs/index.js';
import type { EventLog } from '../logging/index.js';
import { type PaceChange, type PacedTask, planPace } from '../systems/index.js';
import type { LeasedTargetAddress, LeasedTargetPort, RunningTaskReport } from '../targets/index.js';

/** Options of {@link TaskPacer}. */
export interface TaskPacerOptions {
  readonly port: Pick<LeasedTargetPort, 'pace'>;
  readonly term: number;
  readonly events: EventLog;
  /** Finds the step of a task; undefined for a task of an unknown job. */
  readonly getStep: (taskName: string) => StepSpec | undefined;
}

const FULL_PERCENT = 100;

/**
 * Slows down best-effort tasks that share a target with serving tasks close to their latency
 * targets.
 */
export class TaskPacer {
  private readonly options: TaskPacerOptions;

  /** Speeds in percent that targets have accepted, by task and run; a run starts at full speed. */
  private readonly acceptedPercents = new Map<string, number>();

  /**
   * Starts with every task at full speed.
   * @param options - The port to targets, and the steps of tasks.
   */
  constructor(options: TaskPacerOptions) {
    this.options = options;
  }

  /**
   * Handles the report of a target, and changes speeds where needed.
   * @param target - The target.
   * @param running - What runs there.
   */
  handleReport(target: LeasedTargetAddress, running: readonly RunningTaskReport[]): void {
    const tasks = running.map((task) => ({ task, step: this.options.getStep(task.taskName) }));
    const paced = tasks
      .filter(({ step }) => step?.isBestEffort === true)
      .map(({ task: { taskName, run } }): PacedTask => {
        const percent = this.acceptedPercents.get(`${taskName} ${run}`) ?? FULL_PERCENT;
        return { taskName, run, percent };
      });
    if (paced.length === 0) return;
    const serving = tasks.flatMap(({ task, step }) => {
      const { latencyTargetMs } = step ?? {};
      const { loadFigure: latencyMs } = task;
      if (latencyTargetMs === undefined || latencyMs === undefined) return [];
      return [{ latencyMs, latencyTargetMs }];
    });
    planPace(serving, paced).forEach((change) => {
      void this.sendPace(target, change);
    });
  }

  private async sendPace(target: LeasedTargetAddress, change: PaceChange): Promise<void> {
    const { port, term, events } = this.options;
    const { taskName, run, percent } = change;
    const { targetId } = target;
    try {
      const { type } = await port.pace(target, taskName, run, percent, term);
      if (type === 'accepted') this.acceptedPercents.set(`${taskName} ${run}`, percent);
      events.write('taskPaced', { taskName, run, targetId, percent, outcome: type });
    } catch (thrown) {
      // The next report, a second later, leads to a new decision.
      const outcome = String(thrown);
      events.write('taskPaced', { taskName, run, targetId, percent, outcome });
    }
  }
}
