import { checkBudget, summariseWaves } from '../../src/systems/index.js';
import { PoolTables, type PoolVmRow, type WaveStepRow } from '../../src/tables/index.js';
import { assertNever } from '../../src/utils/index.js';
import type { FleetPolicy } from '../policies/FleetPolicy.js';
import type { Trace, TraceEvent } from '../traces/index.js';
import { countLeastVms } from './countLeastVms.js';
import { EventQueue } from './EventQueue.js';
import type { FleetOutcome } from './FleetOutcome.js';
import { listFailedRacks } from './listFailedRacks.js';
import { toPoolVm } from './toPoolVm.js';

const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;
const MINUTES_A_DAY = 1_440;
/** Time that a record takes to be in force at every home, in milliseconds. */
const RECORD_MS = 1_000;

/** Options of {@link FleetModel}. */
export interface FleetModelOptions {
  readonly trace: Trace;
  readonly policy: FleetPolicy;
  /** How often each home decides, in milliseconds. */
  readonly tickMs: number;
}

/** What is due at some time. */
type Happening =
  | { readonly type: 'trace'; readonly event: TraceEvent }
  | { readonly type: 'step-ends'; readonly step: WaveStepRow }
  | { readonly type: 'move'; readonly vm: string; readonly toPool: string | undefined }
  | { readonly type: 'tick' };

/** What maintenance of a VM does. */
type StepStory = Extract<TraceEvent, { type: 'step' }>;

/** Small model of pools, spare VMs, losses and maintenance; the decisions come from a policy. */
export class FleetModel {
  private readonly options: FleetModelOptions;

  private readonly pools: readonly PoolTables[];

  private readonly poolByName: ReadonlyMap<string, PoolTables>;

  private readonly spares = new Map<string, PoolVmRow>();

  /** VMs between two pools. */
  private readonly movingVms = new Map<string, PoolVmRow>();

  private readonly agenda = new EventQueue<Happening>();

  private readonly lostVms = new Set<string>();

  private readonly stories = new Map<string, StepStory>();

  /** Steps of the wave by VM, whichever pool the VM is in. */
  private readonly steps = new Map<string, WaveStepRow>();

  private readonly peakByPool = new Map<string, number>();

  private readonly brokenPromises: string[] = [];

  private readonly rackCount: number;

  private nowMs = 0;

  private firstDrainMs: number | undefined;

  private lastBackMs: number | undefined;

  private stopReason: string | undefined;

  private brokenVms = 0;

  private overBudgetSteps = 0;

  private belowNeededMs = 0;

  private outsideBudgetMs = 0;

  private moves = 0;

  private heldMs = 0;

  private neededMs = 0;

  private boundMs = 0;

  private peakHeld = 0;

  /**
   * Sets the fleet up as the trace says.
   * @param options - Trace, policy and tick.
   */
  constructor(options: FleetModelOptions) {
    this.options = options;
    const { head, events } = options.trace;
    this.pools = head.pools.map(({ pool, settings }) => {
      const { maintenance } = settings;
      const rollOutWeight = options.policy.rollOutWeight ?? maintenance.rollOutWeight;
      return new PoolTables(pool, { ...settings, maintenance: { ...maintenance, rollOutWeight } });
    });
    this.poolByName = new Map(this.pools.map((tables) => [tables.pool, tables]));
    head.vms.forEach((vm) => {
      if (vm.pool === undefined) this.spares.set(vm.vm, toPoolVm(vm));
      else this.poolByName.get(vm.pool)!.vms.put(toPoolVm(vm));
    });
    this.rackCount = new Set(head.vms.map(({ rack }) => rack)).size;
    events.forEach((event) => this.agenda.push(event.atMs, { type: 'trace', event }));
    this.agenda.push(0, { type: 'tick' });
  }

  /**
   * Replays the trace to its end, or until its wave has finished or stopped.
   * @returns What happened.
   */
  run(): FleetOutcome {
    const { endMs, subject } = this.options.trace.head;
    let done = false;
    while (!done && this.agenda.nextMs < endMs) {
      this.nowMs = this.agenda.nextMs;
      this.handle(this.agenda.pop()!);
      done = subject === 'waves' && (this.stopReason !== undefined || this.isWaveFinished());
    }
    return {
      rollOutMs: this.isWaveFinished() ? this.lastBackMs! - this.firstDrainMs! : undefined,
      stopReason: this.stopReason,
      steppedVmCount: this.steps.size,
      brokenVmCount: this.brokenVms,
      overBudgetStepCount: this.overBudgetSteps,
      belowNeededMs: this.belowNeededMs,
      outsideBudgetMs: this.outsideBudgetMs,
      moveCount: this.moves,
      heldVmHours: this.heldMs / HOUR_MS,
      neededVmHours: this.neededMs / HOUR_MS,
      boundVmHours: this.boundMs / HOUR_MS,
      peakHeldVmCount: this.peakHeld,
      sumOfPeaksVmCount: [...this.peakByPool.values()].reduce((sum, peak) => sum + peak, 0),
      brokenPromises: this.brokenPromises,
    };
  }

  private handle(happening: Happening): void {
    switch (happening.type) {
      case 'trace':
        this.handleEvent(happening.event);
        return;
      case 'step-ends':
        this.endStep(happening.step);
        return;
      case 'move':
        this.finishMove(happening.vm, happening.toPool);
        return;
      case 'tick':
        this.tick();
        return;
      default:
        assertNever(happening);
    }
  }

  private handleEvent(event: TraceEvent): void {
    switch (event.type) {
      case 'vm-lost':
        this.lostVms.add(event.vm);
        this.refreshCondition(event.vm);
        return;
      case 'vm-back':
        this.lostVms.delete(event.vm);
        this.refreshCondition(event.vm);
        return;
      case 'needed': {
        const tables = this.poolByName.get(event.pool)!;
        tables.settings = { ...tables.settings, neededSlotCount: event.slotCount };
        return;
      }
      case 'wave':
        this.startWave(event.wave, event.pools);
        return;
      case 'step':
        this.stories.set(event.vm, event);
        return;
      case 'job':
      case 'cancel':
      case 'vm-bad':
      case 'vm-good':
        return;
      default:
        assertNever(event);
    }
  }

  private startWave(wave: string, pools: readonly string[]): void {
    pools.forEach((pool) =>
      this.poolByName.get(pool)!.waves.put({
        wave,
        pools,
        state: 'running',
        reason: '',
        author: 'bench',
        startedOffset: 0,
      }),
    );
  }

  private tick(): void {
    this.measure();
    const { policy, tickMs } = this.options;
    const minuteOfDay = Math.floor(this.nowMs / MINUTE_MS) % MINUTES_A_DAY;
    const { vms } = this.options.trace.head;
    const failedRacks = listFailedRacks(vms, { lostVms: this.lostVms, steps: this.steps });
    this.pools.forEach((tables) => {
      // Each home sees the steps that the homes before it have just decided.
      const fleetProgress = summariseWaves([...this.steps.values()]);
      policy
        .planSteps(tables, { nowMs: this.nowMs, minuteOfDay, fleetProgress, failedRacks })
        .forEach((decision) => {
          if (decision.type === 'start-step') this.startStep(tables, decision.wave, decision.vm);
          if (decision.type === 'stop-wave') this.stopReason ??= decision.reason;
        });
      const unassignedVms = [...this.spares.values()].filter(({ vm }) => !this.lostVms.has(vm));
      policy
        .planMoves(tables, { nowMs: this.nowMs, unassignedVms })
        .forEach(({ type, vm }) =>
          type === 'adopt' ? this.adopt(tables, vm) : this.release(tables, vm),
        );
    });
    this.agenda.push(this.nowMs + tickMs, { type: 'tick' });
  }

  private startStep(tables: PoolTables, wave: string, vm: string): void {
    const { drainMs, rebootMs } = this.stories.get(vm)!;
    const step: WaveStepRow = {
      wave,
      pool: tables.pool,
      vm,
      term: 1,
      bootId: 'boot-1',
      state: 'intended',
    };
    this.putStep(tables, step);
    this.refreshCondition(vm);
    this.firstDrainMs ??= this.nowMs;
    this.agenda.push(this.nowMs + drainMs + rebootMs, { type: 'step-ends', step });
    const verdict = checkBudget(tables, { nowMs: this.nowMs });
    if (verdict.type === 'within') return;
    this.overBudgetSteps += 1;
    this.brokenPromises.push(`step on ${vm} at ${this.nowMs} ms: ${verdict.reason}`);
  }

  private endStep(step: WaveStepRow): void {
    if (this.lostVms.has(step.vm)) {
      this.agenda.push(this.nowMs + MINUTE_MS, { type: 'step-ends', step });
      return;
    }
    const { result, lostAfterMs } = this.stories.get(step.vm)!;
    this.putStep(this.poolByName.get(step.pool)!, { ...step, state: result });
    this.refreshCondition(step.vm);
    this.lastBackMs = this.nowMs;
    if (lostAfterMs === undefined) return;
    this.brokenVms += 1;
    const atMs = this.nowMs + lostAfterMs;
    this.agenda.push(atMs, { type: 'trace', event: { type: 'vm-lost', atMs, vm: step.vm } });
  }

  private putStep(tables: PoolTables, step: WaveStepRow): void {
    this.steps.set(step.vm, step);
    tables.waveSteps.put(step);
  }

  private adopt(tables: PoolTables, vm: string): void {
    const row = this.spares.get(vm);
    if (row === undefined) return;
    this.spares.delete(vm);
    this.movingVms.set(vm, row);
    this.agenda.push(this.nowMs + RECORD_MS, { type: 'move', vm, toPool: tables.pool });
  }

  private release(tables: PoolTables, vm: string): void {
    const before = checkBudget(tables, { nowMs: this.nowMs });
    this.movingVms.set(vm, tables.vms.getOrThrow(vm));
    tables.vms.remove(vm);
    this.agenda.push(this.nowMs + RECORD_MS, { type: 'move', vm, toPool: undefined });
    const after = checkBudget(tables, { nowMs: this.nowMs });
    if (before.type === 'exceeded' || after.type === 'within') return;
    this.brokenPromises.push(`release of ${vm} at ${this.nowMs} ms: ${after.reason}`);
  }

  private finishMove(vm: string, toPool: string | undefined): void {
    const row = this.movingVms.get(vm)!;
    this.movingVms.delete(vm);
    if (toPool === undefined) {
      this.spares.set(vm, row);
      return;
    }
    const tables = this.poolByName.get(toPool)!;
    tables.vms.put(row);
    const step = this.steps.get(vm);
    if (step !== undefined) tables.waveSteps.put(step);
    this.refreshCondition(vm);
    this.moves += 1;
  }

  private refreshCondition(vm: string): void {
    const tables = this.pools.find((candidate) => candidate.vms.has(vm));
    if (tables === undefined) return;
    const isStepped = this.steps.get(vm)?.state === 'intended';
    const condition = isStepped ? 'draining' : 'accepting';
    tables.vms.put({
      ...tables.vms.getOrThrow(vm),
      condition: this.lostVms.has(vm) ? 'unreachable' : condition,
    });
  }

  private isWaveFinished(): boolean {
    if (this.firstDrainMs === undefined) return false;
    return this.pools.every((tables) =>
      tables.vms.list().every(({ vm }) => {
        const state = this.steps.get(vm)?.state;
        return state === 'maintained' || state === 'failed';
      }),
    );
  }

  private measure(): void {
    const { tickMs } = this.options;
    let heldCount = 0;
    this.pools.forEach((tables) => {
      const vms = tables.vms.list();
      const { neededSlotCount } = tables.settings;
      const accepting = vms.filter(({ condition }) => condition === 'accepting');
      const slotCount = accepting.reduce((sum, vm) => sum + vm.slotCount, 0);
      const hasSettled = this.nowMs > 0;
      const isOutside = checkBudget(tables, { nowMs: this.nowMs }).type === 'exceeded';
      if (hasSettled && isOutside) this.outsideBudgetMs += tickMs;
      if (hasSettled && slotCount < neededSlotCount) this.belowNeededMs += tickMs;
      const neededVmCount = Math.ceil(neededSlotCount / (vms[0]?.slotCount ?? 4));
      heldCount += vms.length;
      this.heldMs += vms.length * tickMs;
      this.neededMs += neededVmCount * tickMs;
      this.boundMs += countLeastVms(neededVmCount, this.rackCount) * tickMs;
      const peak = Math.max(this.peakByPool.get(tables.pool) ?? 0, vms.length);
      this.peakByPool.set(tables.pool, peak);
    });
    this.peakHeld = Math.max(this.peakHeld, heldCount);
  }
}
