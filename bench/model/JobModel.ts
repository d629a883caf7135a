import { recordRun } from '../../src/systems/index.js';
import { type GrantRow, PoolTables } from '../../src/tables/index.js';
import { assertNever } from '../../src/utils/index.js';
import type { TraceEvent, TraceJob } from '../traces/index.js';
import { type AttemptRun, AttemptRuns } from './AttemptRuns.js';
import { createJobResult } from './createJobResult.js';
import { createQueuedRow } from './createQueuedRow.js';
import { EventQueue } from './EventQueue.js';
import { findStartFaults } from './findStartFaults.js';
import type { JobHappening } from './JobHappening.js';
import type { JobEnd, JobOutcome } from './JobOutcome.js';
import type { JobModelOptions } from './JobModelOptions.js';
import { JobState } from './JobState.js';
import { toPoolVm } from './toPoolVm.js';

/** How often the placement runs even when nothing happens, in milliseconds. */
const TICK_MS = 250;
/** How soon a run fails on a VM that fails everything, in milliseconds. */
const BAD_VM_FAIL_MS = 30;
/** How soon a run fails that can never succeed, or for which memory does not suffice. */
const FAIL_MS = 150;
/** How long a target takes for a checkpoint, in milliseconds. */
const CHECKPOINT_MS = 1_500;
/** How long it takes until the loss of a VM shows, in milliseconds. */
const LOSS_NOTICE_MS = 2_000;
/** Share of its speed that a throttled run keeps. */
const THROTTLED_SPEED = 0.25;
/** VMs that a job is tried on. */
const MAX_ATTEMPT_COUNT = 3;

/** Small model of what VMs do with the jobs of one pool; the decisions come from a policy. */
export class JobModel {
  private readonly options: JobModelOptions;

  private readonly tables: PoolTables;

  private readonly agenda = new EventQueue<JobHappening>();

  private readonly jobs = new Map<string, JobState>();

  private readonly runs = new AttemptRuns((attemptId, endsAtMs) =>
    this.agenda.push(endsAtMs, { type: 'run-ends', attemptId, endsAtMs }),
  );

  private readonly badVms = new Set<string>();

  private readonly lostVms = new Set<string>();

  private readonly brokenPromises: string[] = [];

  private overfilledStarts = 0;

  private badVmStarts = 0;

  private usefulMs = 0;

  private availableMs = 0;

  private nowMs = 0;

  /**
   * Sets the pool up as the trace says.
   * @param options - Trace, policy and source of randomness.
   */
  constructor(options: JobModelOptions) {
    this.options = options;
    const { head, events } = options.trace;
    const { pool, settings } = head.pools[0]!;
    this.tables = new PoolTables(pool, settings);
    head.vms.forEach((vm) => this.tables.vms.put(toPoolVm(vm)));
    events.forEach((event) => this.agenda.push(event.atMs, { type: 'trace', event }));
    this.agenda.push(0, { type: 'tick' });
  }

  /**
   * Replays the trace to its end.
   * @returns What became of every job.
   */
  run(): JobOutcome {
    const { endMs } = this.options.trace.head;
    while (this.agenda.nextMs < endMs) {
      const atMs = this.agenda.nextMs;
      this.countAvailable(atMs);
      this.nowMs = atMs;
      while (this.agenda.nextMs === atMs) this.handle(this.agenda.pop()!);
      this.decide();
    }
    this.countAvailable(endMs);
    this.nowMs = endMs;
    this.countUnfinished();
    return {
      results: [...this.jobs.values()].map((state) => createJobResult(this.tables, state, endMs)),
      brokenPromises: this.brokenPromises,
      overfilledStartCount: this.overfilledStarts,
      badVmStartCount: this.badVmStarts,
      usefulSlotMs: this.usefulMs,
      availableSlotMs: this.availableMs,
      endMs,
    };
  }

  private handle(happening: JobHappening): void {
    switch (happening.type) {
      case 'trace':
        this.handleEvent(happening.event);
        return;
      case 'run-ends':
        this.endRun(happening.attemptId, happening.endsAtMs);
        return;
      case 'checkpointed':
        this.finishCheckpoint(happening.attemptId);
        return;
      case 'loss-noticed':
        this.noticeLoss(happening.vm);
        return;
      case 'patience-over':
        this.answer(this.jobs.get(happening.id)!, 'expired');
        return;
      case 'tick':
        this.agenda.push(this.nowMs + TICK_MS, { type: 'tick' });
        return;
      default:
        assertNever(happening);
    }
  }

  private handleEvent(event: TraceEvent): void {
    switch (event.type) {
      case 'job':
        this.arrive(event);
        return;
      case 'cancel':
        this.cancel(event.id);
        return;
      case 'vm-lost':
        this.lostVms.add(event.vm);
        this.agenda.push(this.nowMs + LOSS_NOTICE_MS, { type: 'loss-noticed', vm: event.vm });
        return;
      case 'vm-back':
        this.lostVms.delete(event.vm);
        this.setCondition(event.vm, 'accepting');
        return;
      case 'vm-bad':
        this.badVms.add(event.vm);
        return;
      case 'vm-good':
        this.badVms.delete(event.vm);
        return;
      case 'needed':
      case 'wave':
      case 'step':
        return;
      default:
        assertNever(event);
    }
  }

  private arrive(job: TraceJob): void {
    const state = new JobState(job);
    this.jobs.set(job.id, state);
    this.agenda.push(state.deadlineMs, { type: 'patience-over', id: job.id });
    this.enqueue(state);
  }

  private enqueue(state: JobState): void {
    this.tables.queue.put(createQueuedRow(this.tables, state));
  }

  private decide(): void {
    const { policy, rng } = this.options;
    policy.place(this.tables, { nowMs: this.nowMs, rng }).forEach((decision) => {
      switch (decision.type) {
        case 'place':
          this.start(decision.attemptId, decision.vm, decision);
          return;
        case 'refuse': {
          const row = this.tables.queue.getOrThrow(decision.attemptId);
          const end = decision.kind === 'target-failed' ? 'failed' : 'refused';
          this.answer(this.jobs.get(row.requestId)!, end);
          return;
        }
        case 'preempt':
          this.preempt(decision.grantId, decision.action);
          return;
        case 'unthrottle':
          this.runs.setSpeed(decision.grantId, 1, this.nowMs);
          return;
        default:
          assertNever(decision);
      }
    });
  }

  private start(
    attemptId: string,
    vm: string,
    size: { readonly coreCount: number; readonly memoryMb: number },
  ): void {
    const row = this.tables.queue.getOrThrow(attemptId);
    const state = this.jobs.get(row.requestId)!;
    const isAnswered = state.result !== undefined;
    this.brokenPromises.push(...findStartFaults(this.tables, { row, vm, isAnswered }));
    this.tables.queue.remove(attemptId);
    const { queuedAtMs, excludedVms, attemptId: grantId, ...request } = row;
    const grant: GrantRow = {
      ...request,
      grantId,
      vm,
      coreCount: size.coreCount,
      memoryMb: size.memoryMb,
      grantedAtMs: this.nowMs,
    };
    this.tables.grants.put(grant);
    state.noteStart(this.nowMs);
    const failMs = this.failureDelayMs(state, vm);
    this.runs.begin({
      attemptId,
      state,
      vm,
      startedAtMs: this.nowMs,
      failure: failMs === undefined ? 'none' : 'failed',
      workMs: failMs ?? state.remainingMs,
    });
  }

  /** How soon a start fails; undefined where it does not. */
  private failureDelayMs(state: JobState, vm: string): number | undefined {
    if (this.lostVms.has(vm)) return LOSS_NOTICE_MS;
    if (this.badVms.has(vm)) {
      this.badVmStarts += 1;
      return BAD_VM_FAIL_MS;
    }
    if (state.job.poison === true) return FAIL_MS;
    const usedMb = this.runs
      .listOn(vm)
      .filter((run) => run.failure === 'none')
      .reduce((sum, run) => sum + run.state.job.memoryMb, 0);
    if (usedMb + state.job.memoryMb <= this.tables.vms.getOrThrow(vm).memoryMb) return undefined;
    this.overfilledStarts += 1;
    return FAIL_MS;
  }

  private endRun(attemptId: string, endsAtMs: number): void {
    // The run was checkpointed, cancelled, or changed its speed after this end was scheduled.
    if (!this.runs.isDue(attemptId, endsAtMs)) return;
    const run = this.runs.getOrThrow(attemptId);
    const fails = run.failure === 'failed' || this.lostVms.has(run.vm);
    this.dropRun(run);
    this.learn(run, fails ? 'failed' : 'run');
    if (fails) {
      this.retry(run);
      return;
    }
    if (run.state.result === undefined) this.usefulMs += run.workMs;
    this.answer(run.state, 'run');
  }

  private learn(run: AttemptRun, result: 'run' | 'failed'): void {
    if (!this.options.policy.learns) return;
    const { job, excludedVms } = run.state;
    recordRun(this.tables, {
      nowMs: this.nowMs,
      requestId: job.id,
      jobKind: job.kind,
      vm: run.vm,
      result,
      ranMs: this.nowMs - run.startedAtMs,
      usedMemoryMb: job.memoryMb,
      excludedVms,
    });
  }

  private retry(run: AttemptRun): void {
    const { state } = run;
    if (state.result !== undefined) return;
    state.exclude(run.vm);
    if (state.excludedVms.length >= MAX_ATTEMPT_COUNT) this.answer(state, 'failed');
    else this.enqueue(state);
  }

  private dropRun(run: AttemptRun): void {
    this.runs.remove(run.attemptId);
    this.tables.grants.remove(run.attemptId);
  }

  private preempt(attemptId: string, action: 'checkpoint' | 'throttle'): void {
    if (action === 'throttle') this.runs.setSpeed(attemptId, THROTTLED_SPEED, this.nowMs);
    else this.agenda.push(this.nowMs + CHECKPOINT_MS, { type: 'checkpointed', attemptId });
  }

  private finishCheckpoint(attemptId: string): void {
    const run = this.runs.get(attemptId);
    if (run === undefined) return;
    this.dropRun(run);
    const { state } = run;
    if (run.failure === 'none') {
      const leftMs = AttemptRuns.getRemainingMs(run, this.nowMs);
      state.keepProgress(leftMs);
      this.usefulMs += run.workMs - leftMs;
    }
    if (state.result === undefined) this.enqueue(state);
  }

  private noticeLoss(vm: string): void {
    if (!this.lostVms.has(vm)) return;
    this.setCondition(vm, 'unreachable');
    this.runs.listOn(vm).forEach((run) => {
      this.dropRun(run);
      this.retry(run);
    });
  }

  private setCondition(vmName: string, condition: 'accepting' | 'unreachable'): void {
    this.tables.vms.put({ ...this.tables.vms.getOrThrow(vmName), condition });
  }

  private cancel(id: string): void {
    const state = this.jobs.get(id);
    if (state !== undefined) this.answer(state, 'cancelled');
  }

  private answer(state: JobState, end: JobEnd): void {
    if (state.result !== undefined) return;
    state.finish(end, this.nowMs);
    if (state.attemptId === undefined) return;
    this.tables.queue.remove(state.attemptId);
    const run = this.runs.get(state.attemptId);
    // A cancelled run is stopped; one whose caller has gone runs on, for nobody.
    if (run !== undefined && end === 'cancelled') this.dropRun(run);
  }

  private countAvailable(untilMs: number): void {
    const slotCount = this.tables.vms
      .list()
      .filter((vm) => !this.lostVms.has(vm.vm) && !this.badVms.has(vm.vm))
      .reduce((sum, vm) => sum + vm.slotCount, 0);
    this.availableMs += slotCount * (untilMs - this.nowMs);
  }

  private countUnfinished(): void {
    this.runs
      .list()
      .filter((run) => run.failure === 'none' && run.state.result === undefined)
      .forEach((run) => {
        this.usefulMs += run.workMs - AttemptRuns.getRemainingMs(run, this.nowMs);
      });
  }
}
