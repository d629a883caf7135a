import { StoreStandIn } from '../../../standins/store/index.js';
import { MemoryEventLog } from '../../../src/logging/index.js';
import { assertNever } from '../../../src/utils/index.js';
import { makeJob, makeStep } from '../HomeWorld.js';
import { HistoryDrains, SYNC_EVERY_MS } from './HistoryDrains.js';
import { HistoryHomes, PLATFORM_TIMING } from './HistoryHomes.js';
import { HistoryTargets } from './HistoryTargets.js';
import { listOverruns } from './listOverruns.js';
import { RunWatch } from './RunWatch.js';
import { SERVICE_TARGET_COUNT, type ServiceHistory, type ServiceStep } from './ServiceHistory.js';
import type { VirtualTime } from './VirtualTime.js';

const JOB_ID = 'a';
const TASK_COUNT = 4;
const TASK_NAMES = Array.from({ length: TASK_COUNT }, (_unused, index) => `${JOB_ID}.0.0.${index}`);
/** Time between the renewals of two targets, so that their leases end one after the other. */
const RENEWAL_OFFSET_MS = 150;
/** Time within which the service is at work before the first step, in milliseconds. */
const START_MS = 3_000;
/** Time after which reports that wait for a frozen home don't show an end, in milliseconds. */
const FAILS_AFTER_MS = 1_100;
/** Time for the last steps to take effect, in milliseconds. */
const LAST_STEPS_MS = 3_000;

type PauseStep = Extract<ServiceStep, { readonly type: 'pause' }>;

/** A service on real homes and stand-ins in virtual time, to which a history happens. */
export class ServiceHistoryWorld {
  readonly watch: RunWatch;

  private readonly time: VirtualTime;

  private readonly targets: HistoryTargets;

  private readonly homes: HistoryHomes;

  private readonly drains: HistoryDrains;

  /**
   * Creates a world with a home that opens.
   * @param time - Virtual time, which begins again.
   */
  constructor(time: VirtualTime) {
    time.reset();
    this.time = time;
    this.watch = new RunWatch(time);
    this.targets = new HistoryTargets({ time, watch: this.watch, count: SERVICE_TARGET_COUNT });
    const { port: targets, entries } = this.targets;
    const store = new StoreStandIn({ partitionCount: 1 });
    const events = new MemoryEventLog();
    const timing = PLATFORM_TIMING;
    this.homes = new HistoryHomes({ time, store, targets, entries, events, timing });
    this.homes.openNext();
    this.drains = new HistoryDrains(time, this.homes);
  }

  /**
   * Plays a history.
   * @param history - The history.
   * @returns What should not have happened, one sentence each.
   */
  async play({ maxUnavailableCount, steps }: ServiceHistory): Promise<readonly string[]> {
    await this.start(maxUnavailableCount);
    await steps.reduce(async (earlier, step) => {
      await earlier;
      await this.apply(step);
    }, Promise.resolve());
    await this.time.advance(LAST_STEPS_MS);
    this.homes.thaw();
    await this.time.advance(LAST_STEPS_MS);
    this.drains.close();
    this.homes.close();
    const { runs } = this.watch;
    return listOverruns({ runs, taskNames: TASK_NAMES, maxUnavailableCount });
  }

  private async start(maxUnavailableCount: number): Promise<void> {
    const limits = { taskCount: TASK_COUNT, maxUnavailableCount, maxTasksPerTarget: 1 };
    this.targets.port.targetIds.forEach((targetId, index) => {
      const fate = { type: 'slow', afterMs: index * RENEWAL_OFFSET_MS } as const;
      this.targets.port.addFates(targetId, 'renew', [fate]);
    });
    await this.time.advance(SYNC_EVERY_MS);
    const step = makeStep({ ...limits, isLongRunning: true });
    const submitted = this.homes.current!.submit(makeJob(JOB_ID, [step]));
    await this.time.advance(START_MS);
    await submitted;
  }

  private async apply(step: ServiceStep): Promise<void> {
    switch (step.type) {
      case 'wait':
        await this.time.advance(step.forMs);
        return;
      case 'freeze':
        this.homes.freeze();
        return;
      case 'thaw':
        this.homes.thaw();
        return;
      case 'pause':
        await this.pauseHome(step);
        return;
      case 'replace-home':
        if (step.earlier === 'killed') this.homes.kill();
        if (step.earlier === 'frozen') this.homes.freeze();
        this.homes.openNext();
        return;
      case 'fail':
        this.failOn(this.targets.pick(step.target));
        return;
      case 'crash':
        // Nothing shows the crash, so that the home has to notice the silence.
        this.targets.crash(this.targets.pick(step.target), false);
        return;
      case 'cut-off':
        this.targets.port.setCondition(this.targets.pick(step.target), 'cut-off');
        return;
      case 'reconnect':
        this.targets.port.setCondition(this.targets.pick(step.target), 'well');
        return;
      case 'drain':
        this.drains.replace(this.targets.pickAll(step.targets));
        return;
      case 'fates':
        this.targets.port.addFates(this.targets.pick(step.target), step.call, step.fates);
        return;
      default:
        assertNever(step);
    }
  }

  private async pauseHome({ forMs, failing, drained }: PauseStep): Promise<void> {
    this.homes.freeze();
    await this.time.advance(FAILS_AFTER_MS);
    failing.forEach((target) => this.failOn(this.targets.pick(target)));
    await this.time.advance(forMs);
    this.drains.replace(this.targets.pickAll(drained));
    this.homes.thaw();
  }

  private failOn(targetId: string): void {
    TASK_NAMES.filter(
      (taskName) => this.targets.port.findRun(targetId, taskName) !== undefined,
    ).forEach((taskName) => this.targets.port.end(targetId, taskName, 'failed'));
  }
}
