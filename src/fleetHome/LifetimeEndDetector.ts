import type { EventLog } from '../logging/index.js';
import { mayBeSameLifetime } from '../targets/index.js';
import { groupBy } from '../utils/index.js';
import type { Clock } from '../utils/index.js';
import type { EndedTargets, FleetVm } from '../vms/index.js';

/** Options of {@link LifetimeEndDetector}. */
export interface LifetimeEndDetectorOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Tells whether an order for a VM is active. */
  readonly hasActiveOrder: (vm: string) => boolean;
}

/** How long an ended lifetime is reported to homes, in milliseconds; a takeover takes 2.5 s. */
const ENDED_RETENTION_MS = 10_000;
/** Number of crashes in one rack between two lists from which the rack is blamed, not the tasks. */
const MIN_CRASHES_OF_RACK_LOSS = 3;
/** Same as {@link MIN_CRASHES_OF_RACK_LOSS} for a rack in which no VM is up any more. */
const MIN_CRASHES_WITHOUT_UP_VM = 2;

/** A VM of the latest list. */
interface KnownVm {
  readonly vm: FleetVm;
  /** Pools in which the current lifetime of the VM's target has been listed. */
  readonly pools: ReadonlySet<string>;
}

/** A VM in the previous and in the current list. */
interface VmChange {
  readonly before: FleetVm;
  readonly now: FleetVm;
  /** Pools in which the previous lifetime has been listed, and the current pool. */
  readonly pools: ReadonlySet<string>;
}

interface LifetimeEnd {
  /** Pools whose homes may know the target. */
  readonly pools: ReadonlySet<string>;
  /** Monotonic time at which the end was found. */
  readonly endedAtMs: number;
  readonly isCrash: boolean;
  readonly isRackLoss: boolean;
}

function hasLifetimeEnded({ before, now }: VmChange): boolean {
  return before.targetId !== undefined && !mayBeSameLifetime(before.targetId, now.targetId);
}

/** Whether the lists show a move or a maintenance: by the VM's state or by a change of its pool. */
function isMovedOrMaintained({ before, now }: VmChange): boolean {
  const isElsewhere = now.state === 'moving' || now.state === 'in-maintenance';
  return isElsewhere || before.state !== 'up' || before.pool !== now.pool;
}

/** Detects ended lifetimes and crashes by comparing successive lists of VMs. */
export class LifetimeEndDetector {
  private readonly options: LifetimeEndDetectorOptions;

  /** VMs of the latest list, by name. */
  private readonly latestVms = new Map<string, KnownVm>();

  private readonly ended = new Map<string, LifetimeEnd>();

  /**
   * Creates a detector that has seen no list.
   * @param options - Clock, event log and active orders.
   */
  constructor(options: LifetimeEndDetectorOptions) {
    this.options = options;
  }

  /**
   * Compares a list of VMs with the previous one.
   * @param vms - The VMs.
   */
  compare(vms: readonly FleetVm[]): void {
    const changes = vms.flatMap((now): readonly VmChange[] => {
      const known = this.latestVms.get(now.vm);
      const pools = new Set([...(known?.pools ?? []), now.pool]);
      const isSameLifetime = mayBeSameLifetime(known?.vm.targetId, now.targetId);
      this.latestVms.set(now.vm, { vm: now, pools: isSameLifetime ? pools : new Set([now.pool]) });
      return known === undefined ? [] : [{ before: known.vm, now, pools }];
    });
    changes.forEach((change) => this.report(change));
    this.recordEnds(changes.filter(hasLifetimeEnded), vms);
  }

  /**
   * Lists the lifetimes that have ended in a pool.
   *
   * Guards against a pass that no home answers in time: if every home were told of the lifetimes of
   * all pools, the size of a pass would grow with the product of ended lifetimes and pools, and
   * after the loss of a data centre it would take longer to send than replies are waited for.
   * @param pool - The pool; a lifetime that was listed in several pools counts for each of them.
   * @returns The lifetimes; each is listed for 10 s, long enough to reach every home.
   */
  list(pool: string): EndedTargets {
    const nowMs = this.options.clock.monotonicMs();
    [...this.ended]
      .filter(([, { endedAtMs }]) => nowMs - endedAtMs > ENDED_RETENTION_MS)
      .forEach(([targetId]) => this.ended.delete(targetId));
    const ofPool = [...this.ended].filter(([, { pools }]) => pools.has(pool));
    const list = (isListed: (end: LifetimeEnd) => boolean): readonly string[] =>
      ofPool.filter(([, end]) => isListed(end)).map(([targetId]) => targetId);
    return {
      endedTargets: list(() => true),
      crashedTargets: list(({ isCrash }) => isCrash),
      lostWithRack: list(({ isRackLoss: isWithRack }) => isWithRack),
    };
  }

  /**
   * Records ended lifetimes and classifies them. Crashes that come from the loss of a rack or of
   * power are marked, so that no task is given up for them: its targets may crash repeatedly, but
   * targets without the task crash at the same time.
   */
  private recordEnds(changes: readonly VmChange[], vms: readonly FleetVm[]): void {
    const endedAtMs = this.options.clock.monotonicMs();
    const upRacks = new Set(vms.filter(({ state }) => state === 'up').map(({ rack }) => rack));
    const crashes = changes.filter(
      (change) => !isMovedOrMaintained(change) && !this.options.hasActiveOrder(change.now.vm),
    );
    const crashesByRack = groupBy(crashes, ({ before }) => before.rack);
    changes.forEach((change) => {
      const { pools } = change;
      const { rack, targetId } = change.before;
      const rackCrashCount = rack === undefined ? 1 : (crashesByRack.get(rack)?.length ?? 0);
      const minCrashCount = upRacks.has(rack)
        ? MIN_CRASHES_OF_RACK_LOSS
        : MIN_CRASHES_WITHOUT_UP_VM;
      const isCrash = crashes.includes(change);
      const isRackLoss = isCrash && rackCrashCount >= minCrashCount;
      this.ended.set(targetId!, { pools, endedAtMs, isCrash, isRackLoss });
    });
  }

  private report({ before, now }: VmChange): void {
    const { vm, pool, state, targetId } = now;
    const { pool: poolBefore, state: stateBefore, targetId: targetIdBefore } = before;
    if (poolBefore === pool && stateBefore === state && targetIdBefore === targetId) return;
    const isOrdered = this.options.hasActiveOrder(vm);
    this.options.events.write('vmChanged', { vm, pool, state, targetId, stateBefore, isOrdered });
  }
}
