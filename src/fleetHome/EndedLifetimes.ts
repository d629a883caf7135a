import type { EventLog } from '../logging/index.js';
import { groupBy } from '../utils/index.js';
import type { Clock } from '../utils/index.js';
import type { EndedTargets, FleetVm } from '../vms/index.js';

/** Options of {@link EndedLifetimes}. */
export interface EndedLifetimesOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Tells whether an order for a VM is active. */
  readonly isAway: (vm: string) => boolean;
}

/** How long an ended lifetime is reported to homes, in milliseconds; a takeover takes 2.5 s. */
const TELL_ENDED_MS = 10_000;
/** Number of crashes in one rack between two lists from which the rack is blamed, not the tasks. */
const LOST_WITH_RACK = 3;
/** Same as {@link LOST_WITH_RACK} for a rack in which no VM is up any more. */
const LOST_AS_LAST = 2;

/** A VM in the previous and in the current list. */
interface VmChange {
  readonly before: FleetVm;
  readonly now: FleetVm;
}

interface Ended {
  /** Monotonic time at which the end was found. */
  readonly endedAtMs: number;
  readonly isCrash: boolean;
  readonly isWithRack: boolean;
}

function hasEnded({ before, now }: VmChange): boolean {
  return before.targetId !== undefined && before.targetId !== now.targetId;
}

/** Whether the lists show a move or a maintenance: by the VM's state or by a change of its pool. */
function looksOrdered({ before, now }: VmChange): boolean {
  const isElsewhere = now.state === 'moving' || now.state === 'in-maintenance';
  return isElsewhere || before.state !== 'up' || before.pool !== now.pool;
}

/** Detects ended lifetimes and crashes by comparing successive lists of VMs. */
export class EndedLifetimes {
  private readonly options: EndedLifetimesOptions;

  /** VMs of the latest list, by name. */
  private readonly known = new Map<string, FleetVm>();

  private readonly ended = new Map<string, Ended>();

  /**
   * Creates a detector that has seen no list.
   * @param options - Clock, event log and active orders.
   */
  constructor(options: EndedLifetimesOptions) {
    this.options = options;
  }

  /**
   * Compares a list of VMs with the previous one.
   * @param vms - The VMs.
   */
  note(vms: readonly FleetVm[]): void {
    const changes = vms.flatMap((now): readonly VmChange[] => {
      const before = this.known.get(now.vm);
      this.known.set(now.vm, now);
      return before === undefined ? [] : [{ before, now }];
    });
    changes.forEach((change) => this.report(change));
    this.noteEnds(changes.filter(hasEnded), vms);
  }

  /**
   * Lists the lifetimes that have ended.
   * @returns The lifetimes; each is listed for 10 s, long enough to reach every home.
   */
  list(): EndedTargets {
    const nowMs = this.options.clock.monotonicMs();
    [...this.ended]
      .filter(([, { endedAtMs }]) => nowMs - endedAtMs > TELL_ENDED_MS)
      .forEach(([targetId]) => this.ended.delete(targetId));
    const list = (isListed: (end: Ended) => boolean): readonly string[] =>
      [...this.ended].filter(([, end]) => isListed(end)).map(([targetId]) => targetId);
    return {
      endedTargets: [...this.ended.keys()],
      crashedTargets: list(({ isCrash }) => isCrash),
      lostWithRack: list(({ isWithRack }) => isWithRack),
    };
  }

  /**
   * Records ended lifetimes and classifies them. Crashes that come from the loss of a rack or of
   * power are marked, so that tasks whose targets crash repeatedly are not given up for them.
   */
  private noteEnds(changes: readonly VmChange[], vms: readonly FleetVm[]): void {
    const endedAtMs = this.options.clock.monotonicMs();
    const upRacks = new Set(vms.filter(({ state }) => state === 'up').map(({ rack }) => rack));
    const unordered = changes.filter(
      (change) => !looksOrdered(change) && !this.options.isAway(change.now.vm),
    );
    const byRack = groupBy(unordered, ({ before }) => before.rack);
    changes.forEach((change) => {
      const { rack, targetId } = change.before;
      const lostWithRack = rack === undefined ? 1 : (byRack.get(rack)?.length ?? 0);
      const enough = upRacks.has(rack) ? LOST_WITH_RACK : LOST_AS_LAST;
      const isCrash = unordered.includes(change);
      const isWithRack = isCrash && lostWithRack >= enough;
      this.ended.set(targetId!, { endedAtMs, isCrash, isWithRack });
    });
  }

  private report({ before, now }: VmChange): void {
    const { vm, pool, state, targetId } = now;
    const { pool: poolBefore, state: stateBefore, targetId: targetIdBefore } = before;
    if (poolBefore === pool && stateBefore === state && targetIdBefore === targetId) return;
    const isOrdered = this.options.isAway(vm);
    this.options.events.write('vmChanged', { vm, pool, state, targetId, stateBefore, isOrdered });
  }
}
