import type { TargetStatus } from '../../src/targets/index.js';
import type { Clock } from '../../src/utils/index.js';
import { RunningTask, type TaskEnding } from './RunningTask.js';
import { NO_TARGET_FAULTS, type TargetFaults } from './TargetFaults.js';
import type { TargetVmSpec } from './targetsConfig.js';

/** What a request asks a VM to run. */
export interface TaskOrder {
  readonly taskId: string;
  readonly requestId: string;
  readonly jobKind: string;
  readonly coreCount: number;
  /** Declared memory. */
  readonly memoryMb: number;
  readonly leaseDeadlineMs: number;
  /** Whole run time of the job. */
  readonly runMs: number;
}

/** One start of a task, for counting how often a request ran. */
export interface TaskStart {
  readonly vm: string;
  readonly bootId: string;
  readonly taskId: string;
  readonly requestId: string;
  readonly jobKind: string;
  readonly startedAtMs: number;
  readonly ending: TaskEnding | 'running';
}

/** Options of {@link TargetVm}. */
export interface TargetVmOptions {
  readonly spec: TargetVmSpec;
  readonly clock: Clock;
  readonly usageLagMs: number;
  /** Work left of checkpointed requests in milliseconds, shared by all VMs. */
  readonly checkpoints: Map<string, number>;
}

interface UsageSample {
  readonly takenAtMs: number;
  readonly usedCoreCount: number;
  readonly usedMemoryMb: number;
}

const MAX_SAMPLE_COUNT = 1000;

/** What runs on one VM and what it has room for. */
export class TargetVm {
  readonly spec: TargetVmSpec;

  draining = false;

  faults: TargetFaults = NO_TARGET_FAULTS;

  private readonly options: TargetVmOptions;

  private readonly tasks = new Map<string, RunningTask>();

  private readonly starts = new Map<string, TaskStart>();

  private samples: readonly UsageSample[];

  private bootCount = 1;

  /**
   * Creates a VM in its first boot.
   * @param options - Its size and how old its reports are.
   */
  constructor(options: TargetVmOptions) {
    this.options = options;
    this.spec = options.spec;
    this.samples = [{ takenAtMs: -Infinity, usedCoreCount: 0, usedMemoryMb: 0 }];
  }

  /** Identity of the present boot. */
  get bootId(): string {
    return `${this.spec.vm}-boot#${this.bootCount}`;
  }

  /**
   * Tells why a task cannot start now.
   * @param order - The task.
   * @returns The reason, or undefined where there is room for it.
   */
  findRefusal(order: TaskOrder): string | undefined {
    const { slotCount, coreCount, memoryMb } = this.spec;
    const tasks = [...this.tasks.values()];
    const usedCoreCount = tasks.reduce((sum, task) => sum + task.coreCount, 0);
    const usedMemoryMb = tasks.reduce((sum, task) => sum + task.memoryMb, 0);
    if (this.draining) return 'draining';
    if (order.leaseDeadlineMs <= this.options.clock.wallMs()) return 'lease deadline past';
    if (this.starts.has(order.taskId)) return 'task id used before';
    if (tasks.length >= slotCount) return 'no slot';
    if (usedCoreCount + order.coreCount > coreCount) return 'no cores';
    if (usedMemoryMb + order.memoryMb > memoryMb) return 'no memory';
    return undefined;
  }

  /**
   * Starts a task that nothing speaks against.
   * @param order - The task.
   * @returns The running task.
   */
  startTask(order: TaskOrder): RunningTask {
    const { checkpoints, clock } = this.options;
    const leftMs = checkpoints.get(order.requestId) ?? order.runMs;
    const task = new RunningTask({
      ...order,
      clock,
      memoryMb: order.memoryMb * this.faults.memoryFactor,
      remainingMs: leftMs * this.faults.slowFactor,
    });
    this.tasks.set(task.taskId, task);
    this.recordStart(order);
    this.sample();
    void task.ended.then((ending) => this.forget(task, ending));
    this.endForFault(task);
    return task;
  }

  /**
   * Gets a running task.
   * @param taskId - Which one.
   * @returns The task, or undefined where it does not run here.
   */
  getTask(taskId: string): RunningTask | undefined {
    return this.tasks.get(taskId);
  }

  /**
   * Keeps a task's progress for a later start of the same request.
   * @param task - The task.
   */
  checkpoint(task: RunningTask): void {
    this.options.checkpoints.set(task.requestId, task.getRemainingMs());
  }

  /**
   * Slows a task down or lets it run at full speed again.
   * @param task - The task.
   * @param throttled - Whether to slow it down.
   */
  setThrottled(task: RunningTask, throttled: boolean): void {
    task.setThrottled(throttled);
    this.sample();
  }

  /** Ends the boot: every task is cut, and the next one has another identity. */
  endBoot(): void {
    this.tasks.forEach((task) => task.end('cut'));
    this.tasks.clear();
    this.bootCount += 1;
    this.sample();
  }

  /**
   * Lists every start so far.
   * @returns The starts, oldest first.
   */
  listStarts(): readonly TaskStart[] {
    return [...this.starts.values()];
  }

  /**
   * Reports the VM's state, with usage of some time ago.
   * @returns The state.
   */
  getStatus(): TargetStatus {
    const takenBeforeMs = this.options.clock.monotonicMs() - this.options.usageLagMs;
    const seen = this.samples.findLast((sample) => sample.takenAtMs <= takenBeforeMs);
    return {
      bootId: this.bootId,
      draining: this.draining,
      runningTaskIds: [...this.tasks.keys()],
      usedCoreCount: seen?.usedCoreCount ?? 0,
      usedMemoryMb: seen?.usedMemoryMb ?? 0,
    };
  }

  private endForFault(task: RunningTask): void {
    const usedMemoryMb = [...this.tasks.values()].reduce((sum, { memoryMb }) => sum + memoryMb, 0);
    if (this.faults.failing) task.end('failed');
    else if (usedMemoryMb > this.spec.memoryMb) task.end('out-of-memory');
  }

  private recordStart(order: TaskOrder): void {
    this.starts.set(order.taskId, {
      vm: this.spec.vm,
      bootId: this.bootId,
      taskId: order.taskId,
      requestId: order.requestId,
      jobKind: order.jobKind,
      startedAtMs: this.options.clock.wallMs(),
      ending: 'running',
    });
  }

  private forget(task: RunningTask, ending: TaskEnding): void {
    this.starts.set(task.taskId, { ...this.starts.get(task.taskId)!, ending });
    if (ending === 'done') this.options.checkpoints.delete(task.requestId);
    if (this.tasks.get(task.taskId) === task) this.tasks.delete(task.taskId);
    this.sample();
  }

  private sample(): void {
    const tasks = [...this.tasks.values()];
    const sample = {
      takenAtMs: this.options.clock.monotonicMs(),
      usedCoreCount: tasks.reduce((sum, task) => sum + task.coreCount, 0),
      usedMemoryMb: tasks.reduce((sum, task) => sum + task.memoryMb, 0),
    };
    this.samples = [...this.samples, sample].slice(-MAX_SAMPLE_COUNT);
  }
}
