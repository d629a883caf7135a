import type { EventLog } from '../logging/index.js';
import { groupBy } from '../utils/index.js';
import type { Clock } from '../utils/index.js';
import type { EndedTargets, FleetVm } from '../vms/index.js';

/** Options of {@link EndedLifetimes}. */
export interface EndedLifetimesOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Tells whether a VM is away because of an order. */
  readonly isAway: (vm: string) => boolean;
}

/** How long homes are told of a lifetime that is over, in milliseconds: a takeover takes 2.5 s. */
const TELL_ENDED_MS = 10_000;
/** VMs of one rack that are lost in one look from which on the rack is to blame, not the tasks. */
const LOST_WITH_RACK = 3;
/** The same where no VM of the rack is left. */
const LOST_AS_LAST = 2;

/** A VM before and after a look. */
interface VmChange {
  readonly before: FleetVm;
  readonly now: FleetVm;
}

interface Ended {
  /** Monotonic time of the list that showed the end. */
  readonly endedAtMs: number;
  readonly isCrash: boolean;
  readonly isWithRack: boolean;
}

function hasEnded({ before, now }: VmChange): boolean {
  return before.targetId !== undefined && before.targetId !== now.targetId;
}

/** A VM that is moved or maintained shows so, or is in another pool afterwards. */
function looksOrdered({ before, now }: VmChange): boolean {
  const isElsewhere = now.state === 'moving' || now.state === 'in-maintenance';
  return isElsewhere || before.state !== 'up' || before.pool !== now.pool;
}

/** Finds out from lists of VMs which lifetimes are over, and which of them by a crash. */
export class EndedLifetimes {
  private readonly options: EndedLifetimesOptions;

  /** VMs as listed last. */
  private readonly known = new Map<string, FleetVm>();

  private readonly ended = new Map<string, Ended>();

  /**
   * Starts without VMs.
   * @param options - What is known of orders.
   */
  constructor(options: EndedLifetimesOptions) {
    this.options = options;
  }

  /**
   * Compares a list of VMs with the one before.
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
   * Lists the lifetimes that were listed and are not any more.
   * @returns The lifetimes; told for long enough to reach every home.
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
   * Guards against tasks that are given up for the loss of a rack or of power: their targets crash
   * again and again, yet not under them alone.
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
