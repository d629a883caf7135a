import type { LogWriter } from '../log/index.js';
import type { EventLog } from '../logging/index.js';
import type { CapacityDecision } from '../systems/index.js';
import type { FleetTables, PoolTables, VmRow } from '../tables/index.js';
import type { TargetPort } from '../targets/index.js';
import { assertNever, type Clock, KeyedOnce } from '../utils/index.js';

/** Options of {@link CapacityRunner}. */
export interface CapacityRunnerOptions {
  readonly instance: string;
  readonly term: number;
  readonly tables: PoolTables;
  readonly fleet: FleetTables;
  readonly writer: Pick<LogWriter, 'write'>;
  readonly targets: Pick<TargetPort, 'getStatus'>;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Gets a VM from the platform's list. */
  readonly getVm: (vm: string) => VmRow | undefined;
}

/** Maximum time to wait until a record about a move is read back from the log. */
const WRITE_TIMEOUT_MS = 5_000;

/** Moves VMs between pools: one pool releases a VM, then another adopts it. */
export class CapacityRunner {
  private readonly options: CapacityRunnerOptions;

  private readonly withheld = new Set<string>();

  private readonly moves = new KeyedOnce();

  /**
   * Creates a runner without moves.
   * @param options - Pool, term and dependencies.
   */
  constructor(options: CapacityRunnerOptions) {
    this.options = options;
  }

  /** VMs that get no new work because they are about to be released. */
  get withheldVms(): ReadonlySet<string> {
    return this.withheld;
  }

  /** Whether a release is in progress. */
  get isBusy(): boolean {
    return this.withheld.size > 0;
  }

  /**
   * Executes the decisions of the capacity system.
   * @param decisions - The decisions of one tick.
   */
  apply(decisions: readonly CapacityDecision[]): void {
    decisions.forEach((decision) => {
      switch (decision.type) {
        case 'adopt':
          this.moves.start(decision.vm, () => this.adopt(decision.vm, decision.reason));
          break;
        case 'release':
          this.moves.start(decision.vm, () => this.release(decision.vm, decision.reason));
          break;
        default:
          assertNever(decision);
      }
    });
  }

  private async adopt(vm: string, reason: string): Promise<void> {
    const { tables, events } = this.options;
    const isAccepted = await this.write('vm-adopted', vm);
    if (isAccepted) events.write('vmAdopted', { vm, pool: tables.pool, reason });
  }

  /**
   * Releases an idle VM from the pool.
   *
   * A busy VM that changes pools would abort work of its former pool or be shared with it. The VM
   * therefore gets no new work first, and is released only if it has no grants and runs no tasks;
   * otherwise it stays in the pool.
   */
  private async release(vm: string, reason: string): Promise<void> {
    const { tables, events, targets, getVm } = this.options;
    this.withheld.add(vm);
    const row = getVm(vm);
    const hasGrants = tables.grants.list().some((grant) => grant.vm === vm);
    const isGone = row === undefined || row.state === 'gone';
    const status = isGone ? undefined : await targets.getStatus(row);
    const isIdle = isGone || status?.runningTaskIds.length === 0;
    if (!hasGrants && isIdle && (await this.write('vm-released', vm))) {
      events.write('vmReleased', { vm, pool: tables.pool, reason });
    }
    this.withheld.delete(vm);
  }

  private async write(type: 'vm-adopted' | 'vm-released', vm: string): Promise<boolean> {
    const { instance, term, tables, fleet, writer, clock } = this.options;
    const expectedVersion = fleet.assignments.get(vm)?.version ?? 0;
    const result = await writer.write(
      { type, vm, pool: tables.pool, instance, term, expectedVersion },
      { deadlineMs: clock.monotonicMs() + WRITE_TIMEOUT_MS },
    );
    return result.type === 'accepted';
  }
}
