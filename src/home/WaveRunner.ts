import type { LogWriter } from '../log/index.js';
import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { VmPort } from '../platform/index.js';
import type { WaveDecision } from '../systems/index.js';
import type { FleetTables, PoolTables, VmRow, WaveStepRow } from '../tables/index.js';
import type { TargetPort } from '../targets/index.js';
import { assertNever, type Clock, KeyedOnce } from '../utils/index.js';

/** Options of {@link WaveRunner}. */
export interface WaveRunnerOptions {
  readonly instance: string;
  readonly term: number;
  readonly tables: PoolTables;
  readonly fleet: FleetTables;
  readonly writer: Pick<LogWriter, 'write'>;
  readonly vmPort: Pick<VmPort, 'drain' | 'undrain' | 'reboot'>;
  readonly targets: Pick<TargetPort, 'getStatus' | 'control'>;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Returns whether this instance holds its lease now. */
  readonly holdsLease: () => boolean;
  /** Gets a VM from the platform's list. */
  readonly getVm: (vm: string) => VmRow | undefined;
}

type StepPhase =
  | {
      readonly type: 'draining';
      readonly checkpointAtMs: number;
      /** Monotonic time at which the step fails if the VM does not answer. */
      readonly giveUpAtMs: number;
    }
  | { readonly type: 'rebooting'; readonly giveUpAtMs: number };

type DrainPhase = Extract<StepPhase, { readonly type: 'draining' }>;

interface RunningStep {
  readonly wave: string;
  readonly vm: string;
  readonly bootId: string;
  readonly startedAtMs: number;
  readonly phase: StepPhase;
}

/** Maximum time to wait until a record about a step is read back from the log. */
const WRITE_TIMEOUT_MS = 5_000;

async function succeeds(action: Promise<void>): Promise<boolean> {
  try {
    await action;
    return true;
  } catch {
    return false;
  }
}

/** Executes the wave steps of one pool: drain, wait for running tasks, reboot, undrain. */
export class WaveRunner {
  private readonly options: WaveRunnerOptions;

  private readonly steps = new Map<string, RunningStep>();

  private readonly withheld = new Set<string>();

  private readonly actions = new KeyedOnce();

  private readonly waitReasons = new Map<string, string>();

  /**
   * Creates a runner; the first tick resumes steps that an earlier home did not finish.
   * @param options - Pool, term and dependencies.
   */
  constructor(options: WaveRunnerOptions) {
    this.options = options;
  }

  /** VMs that get no new work because a step on them has started or is about to start. */
  get withheldVms(): ReadonlySet<string> {
    return this.withheld;
  }

  /**
   * Gets why a wave waits in this pool.
   * @param wave - The wave.
   * @returns The latest reason, or undefined if the wave does not wait.
   */
  getWaitReason(wave: string): string | undefined {
    return this.waitReasons.get(wave);
  }

  /**
   * Executes the decisions of the wave system.
   * @param decisions - The decisions of one tick.
   */
  apply(decisions: readonly WaveDecision[]): void {
    decisions.forEach((decision) => {
      switch (decision.type) {
        case 'start-step':
          this.waitReasons.delete(decision.wave);
          this.startStep(decision.wave, decision.vm, decision.reason);
          break;
        case 'wait':
          this.recordWaitReason(decision.wave, decision.reason);
          break;
        case 'stop-wave':
          this.stopWave(decision.wave, decision.reason);
          break;
        default:
          assertNever(decision);
      }
    });
  }

  /** Resumes unfinished steps of the pool and advances every running one. */
  tick(): void {
    if (!this.options.holdsLease()) return;
    this.options.tables.waveSteps
      .list()
      .filter((step) => step.state === 'intended')
      .forEach((step) => this.resumeStep(step));
    this.steps.forEach((step) => {
      this.actions.start(step.vm, () => this.advance(step));
    });
  }

  private startStep(wave: string, vm: string, reason: string): void {
    const row = this.options.getVm(vm);
    if (row === undefined) return;
    this.withheld.add(vm);
    this.actions.start(vm, async () => {
      const { tables, instance, term, writer, clock, events } = this.options;
      const { pool } = tables;
      const body = { wave, pool, vm, instance, term, bootId: row.bootId } as const;
      const deadlineMs = clock.monotonicMs() + WRITE_TIMEOUT_MS;
      const result = await writer.write({ type: 'step-intended', ...body }, { deadlineMs });
      if (result.type === 'accepted') events.write('stepStarted', { wave, pool, vm, reason });
      else this.withheld.delete(vm);
    });
  }

  /**
   * Resumes a step that is recorded in the log but not running here.
   *
   * An earlier home can have been lost before, during or after the reboot. If the VM's boot id
   * differs from the one in the step, the VM has been rebooted.
   */
  private resumeStep(step: WaveStepRow): void {
    if (this.steps.has(step.vm)) return;
    const { clock, tables } = this.options;
    const nowMs = clock.monotonicMs();
    this.withheld.add(step.vm);
    this.steps.set(step.vm, {
      wave: step.wave,
      vm: step.vm,
      bootId: step.bootId,
      startedAtMs: nowMs,
      phase: {
        type: 'draining',
        checkpointAtMs: nowMs + tables.settings.maintenance.drainTimeoutMs,
        giveUpAtMs: this.getRebootDeadlineMs(),
      },
    });
    this.options.events.write('stepDraining', { wave: step.wave, vm: step.vm });
  }

  private async advance(step: RunningStep): Promise<void> {
    const vm = this.options.getVm(step.vm);
    if (vm === undefined) return;
    switch (step.phase.type) {
      case 'draining':
        await this.advanceDrain(step, vm, step.phase);
        break;
      case 'rebooting':
        await this.advanceReboot(step, vm, step.phase.giveUpAtMs);
        break;
      default:
        assertNever(step.phase);
    }
  }

  private async advanceDrain(step: RunningStep, vm: VmRow, phase: DrainPhase): Promise<void> {
    const { vmPort, targets, clock, tables, events } = this.options;
    const status = await targets.getStatus(vm);
    if (status === undefined) {
      await this.failIfTimedOut(step, phase);
      return;
    }
    if (status.bootId !== step.bootId) {
      this.setPhase(step, this.createRebootPhase());
      return;
    }
    const isDrained = await succeeds(vmPort.drain(step.vm));
    this.setPhase(step, { ...phase, giveUpAtMs: this.getRebootDeadlineMs() });
    if (clock.monotonicMs() >= phase.checkpointAtMs) {
      await this.checkpointTasks(vm, status.runningTaskIds);
    }
    const hasGrants = tables.grants.list().some((grant) => grant.vm === step.vm);
    // A reboot would abort requests in progress. This home may not know all grants after a
    // takeover, so the target itself must report that it refuses new tasks and runs none.
    const isIdle = status.draining && status.runningTaskIds.length === 0;
    if (!isDrained || hasGrants || !isIdle) return;
    // If this process was paused, another home may have continued the step, and a late reboot
    // would abort tasks that the VM runs by now. The lease is therefore checked immediately before
    // the call, and the boot id protects against a call that is delayed in transit.
    if (!this.options.holdsLease()) return;
    events.write('vmRebooting', { wave: step.wave, vm: step.vm, bootId: step.bootId });
    await succeeds(vmPort.reboot(step.vm, step.bootId));
    this.setPhase(step, this.createRebootPhase());
  }

  /**
   * Fails a step whose VM has not answered until the deadline.
   *
   * The VM may have died while draining, or an earlier home was lost after it rebooted a VM that
   * never came back. Without the deadline this home would wait for the drain forever, and the wave
   * would neither continue nor stop.
   */
  private async failIfTimedOut(step: RunningStep, phase: DrainPhase): Promise<void> {
    if (this.options.clock.monotonicMs() >= phase.giveUpAtMs) await this.finish(step, 'failed');
  }

  private async checkpointTasks(vm: VmRow, taskIds: readonly string[]): Promise<void> {
    await Promise.all(
      taskIds.map((taskId) => this.options.targets.control(vm, taskId, 'checkpoint')),
    );
  }

  private async advanceReboot(step: RunningStep, vm: VmRow, giveUpAtMs: number): Promise<void> {
    const { clock, vmPort, targets } = this.options;
    const status = await targets.getStatus(vm);
    if (status !== undefined && status.bootId !== step.bootId) {
      if (await succeeds(vmPort.undrain(step.vm))) await this.finish(step, 'maintained');
      return;
    }
    if (clock.monotonicMs() >= giveUpAtMs) {
      await this.finish(step, 'failed');
      return;
    }
    // The reboot call or its answer may have been lost. The call is repeated while the VM still has
    // the old boot id, is drained and idle, and this instance holds the lease.
    const isIdle = status?.draining === true && status.runningTaskIds.length === 0;
    if (isIdle && this.options.holdsLease()) await succeeds(vmPort.reboot(step.vm, step.bootId));
  }

  private async finish(step: RunningStep, result: 'maintained' | 'failed'): Promise<void> {
    const { tables, instance, term, writer, clock, events, metrics } = this.options;
    const { pool } = tables;
    const { wave, vm } = step;
    const nowMs = clock.monotonicMs();
    const written = await writer.write(
      { type: 'step-finished', wave, pool, vm, instance, term, result },
      { deadlineMs: nowMs + WRITE_TIMEOUT_MS },
    );
    if (written.type !== 'accepted') return;
    this.steps.delete(vm);
    this.withheld.delete(vm);
    metrics.timing('wave_step_ms', nowMs - step.startedAtMs, { pool });
    const ranMs = Math.round(nowMs - step.startedAtMs);
    events.write('stepFinished', { wave, pool, vm, result, ranMs });
  }

  private createRebootPhase(): StepPhase {
    return { type: 'rebooting', giveUpAtMs: this.getRebootDeadlineMs() };
  }

  /** Monotonic time by which a VM that is rebooted now must answer again. */
  private getRebootDeadlineMs(): number {
    const { clock, tables } = this.options;
    return clock.monotonicMs() + tables.settings.maintenance.rebootTimeoutMs;
  }

  private setPhase(step: RunningStep, phase: StepPhase): void {
    this.steps.set(step.vm, { ...step, phase });
  }

  private recordWaitReason(wave: string, reason: string): void {
    if (this.waitReasons.get(wave) === reason) return;
    this.waitReasons.set(wave, reason);
    this.options.events.write('waveWaiting', { wave, pool: this.options.tables.pool, reason });
  }

  private stopWave(wave: string, reason: string): void {
    const { writer, clock, events, tables } = this.options;
    this.actions.start(`stop ${wave}`, async () => {
      const deadlineMs = clock.monotonicMs() + WRITE_TIMEOUT_MS;
      const result = await writer.write({ type: 'wave-paused', wave, reason }, { deadlineMs });
      if (result.type !== 'accepted') return;
      events.write('waveStopped', { wave, pool: tables.pool, reason });
    });
  }
}
