import { UnsteadyTargets } from '../../../standins/leasedTargets/UnsteadyTargets.js';
import type { TargetEntry } from '../../../src/taskHome/index.js';
import { areOfSameTarget, formatLifetimeId, parseLifetimeId } from '../../../src/targets/index.js';
import { makeEntry } from '../HomeWorld.js';
import type { RunWatch } from './RunWatch.js';
import type { VirtualTime } from './VirtualTime.js';

/** Options of {@link HistoryTargets}. */
export interface HistoryTargetsOptions {
  readonly time: VirtualTime;
  /** Is told what happens on the targets. */
  readonly watch: RunWatch;
  /** How many there are at the beginning. */
  readonly count: number;
  /** What differs in their entries from those of other tests. */
  readonly entryChanges?: Partial<TargetEntry>;
  /** How fast the clocks of targets run, in turns, as multiples of the time's rate. */
  readonly clockRates?: readonly number[];
  /** Whether the ids of lifetimes name their starts, so that targets can start again. */
  readonly haveStarts?: boolean;
}

/** The targets of a history, and their entries in the platform. */
export class HistoryTargets {
  readonly port: UnsteadyTargets;

  readonly entries = new Map<string, TargetEntry>();

  private addedCount = 0;

  private readonly options: HistoryTargetsOptions;

  /**
   * Creates some targets.
   * @param options - Clock, observer, and what the targets are like.
   */
  constructor(options: HistoryTargetsOptions) {
    this.options = options;
    this.port = new UnsteadyTargets(options.time, options.watch);
    Array.from({ length: options.count }, () => this.add());
  }

  /**
   * Picks a target by the number that a history gives.
   * @param target - The number.
   * @returns Id of one of the lifetimes that are not over.
   */
  pick(target: number): string {
    const { targetIds } = this.port;
    return targetIds[target % targetIds.length]!;
  }

  /**
   * Picks targets by the numbers that a history gives.
   * @param targets - The numbers.
   * @returns Their ids, each once.
   */
  pickAll(targets: readonly number[]): readonly string[] {
    return [...new Set(targets.map((target) => this.pick(target)))];
  }

  /**
   * Ends a lifetime; another target is there at once.
   * @param targetId - Id of the lifetime.
   * @param isReplaced - Whether another lifetime answers at its address; otherwise nothing does.
   */
  crash(targetId: string, isReplaced: boolean): void {
    this.port.crash(targetId, isReplaced);
    this.add();
  }

  /**
   * Starts a target again under its id; its earlier lifetime stays listed.
   * @param targetId - Id of the lifetime that ends.
   * @returns Id of the next one, which is not listed yet.
   */
  restart(targetId: string): string {
    const { instance, bornAtMs } = parseLifetimeId(targetId);
    const nextId = formatLifetimeId({ instance, bornAtMs: bornAtMs! + 1 });
    this.port.restart(targetId, nextId);
    return nextId;
  }

  /** Lists every target whose lifetime is not over. */
  listAgain(): void {
    this.port.targetIds.forEach((targetId) => this.list(targetId));
  }

  /**
   * Lists a target in the platform.
   * @param targetId - Id of the lifetime.
   */
  list(targetId: string): void {
    [...this.entries.keys()]
      .filter((listedId) => areOfSameTarget(listedId, targetId))
      .forEach((listedId) => this.entries.delete(listedId));
    this.entries.set(targetId, makeEntry(targetId, this.options.entryChanges));
  }

  /** Adds a target that is listed. */
  add(): void {
    const { clockRates = [1] } = this.options;
    const clockRate = clockRates[this.addedCount % clockRates.length];
    this.addedCount += 1;
    const bornAtMs = this.options.haveStarts === true ? 0 : undefined;
    const targetId = formatLifetimeId({ instance: `t${this.addedCount}`, bornAtMs });
    this.port.add(targetId, clockRate);
    this.list(targetId);
  }
}
