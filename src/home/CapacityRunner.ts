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
  /** Gets the VM as the platform lists it. */
  readonly getVm: (vm: string) => VmRow | undefined;
}

/** Longest wait until a record about a move is read back. */
const WRITE_WAIT_MS = 5_000;

/** Carries out moves of VMs: a release by one pool, then an adoption by another. */
export class CapacityRunner {
  private readonly options: CapacityRunnerOptions;

  private readonly withheld = new Set<string>();

  private readonly moves = new KeyedOnce();

  /**
   * Creates a runner without moves.
   * @param options - Pool, term, and what the runner works on.
   */
  constructor(options: CapacityRunnerOptions) {
    this.options = options;
  }

  /** VMs that get no new work because they are about to be released. */
  get withheldVms(): ReadonlySet<string> {
    return this.withheld;
  }

  /** Whether a move is under way. */
  get isBusy(): boolean {
    return this.withheld.size > 0;
  }

  /**
   * Acts on what the capacity system decided.
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
   * Failure: a VM that changes pools would cut off, or be shared with, work of the former pool. It
   * is kept from new work first and released only while it runs nothing; a VM that got work in the
   * meantime stays.
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
      { deadlineMs: clock.monotonicMs() + WRITE_WAIT_MS },
    );
    return result.type === 'accepted';
  }
}
