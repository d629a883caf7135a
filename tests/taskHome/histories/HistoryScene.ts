import { StoreStandIn } from '../../../standins/store/index.js';
import { MemoryEventLog } from '../../../src/logging/index.js';
import type { TaskHomeTiming } from '../../../src/taskHome/TaskHomeTiming.js';
import { HistoryHomes } from './HistoryHomes.js';
import { HistoryJobs } from './HistoryJobs.js';
import { HistoryTargets, type HistoryTargetsOptions } from './HistoryTargets.js';
import type { StoreCondition } from './RunHistory.js';
import { RunScript } from './RunScript.js';
import { RunWatch } from './RunWatch.js';
import type { VirtualTime } from './VirtualTime.js';

/** Options of {@link HistoryScene}. */
export interface HistorySceneOptions {
  /** Virtual time, which begins again. */
  readonly time: VirtualTime;
  readonly targets: Omit<HistoryTargetsOptions, 'time' | 'watch'>;
  /** Timing of the homes, unless it is the usual one of short leases. */
  readonly timing?: TaskHomeTiming;
}

/** Real homes on a store and targets that stand in, with jobs whose runs end as they say. */
export class HistoryScene {
  readonly events = new MemoryEventLog();

  readonly watch: RunWatch;

  readonly targets: HistoryTargets;

  readonly homes: HistoryHomes;

  readonly jobs: HistoryJobs;

  private readonly store = new StoreStandIn({ partitionCount: 1 });

  /**
   * Creates a scene with a home that opens.
   * @param options - Time, targets and timing.
   */
  constructor({ time, targets: targetOptions, timing }: HistorySceneOptions) {
    time.reset();
    const { store, events } = this;
    const watch = new RunWatch(time);
    this.watch = watch;
    this.targets = new HistoryTargets({ ...targetOptions, time, watch });
    const { port: targets, entries } = this.targets;
    const homes = new HistoryHomes({ time, store, targets, entries, events, timing });
    this.homes = homes;
    this.jobs = new HistoryJobs({ watch, homes });
    const getJob = (jobId: string) => this.jobs.get(jobId);
    const script = new RunScript({ time, targets, watch, getJob });
    watch.onRun = (run) => script.begin(run);
    homes.openNext();
  }

  /**
   * Changes the state of the store.
   * @param condition - The state from now on.
   */
  setStore(condition: StoreCondition): void {
    Object.assign(this.store.faults, {
      rejects: condition === 'rejects',
      isSilent: condition === 'silent',
      losesAnswers: condition === 'loses-answers',
    });
  }
}
