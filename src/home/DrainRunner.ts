import type { VmPort } from '../platform/index.js';
import type { FleetTables, PoolTables } from '../tables/index.js';
import { KeyedOnce } from '../utils/index.js';

/** Options of {@link DrainRunner}. */
export interface DrainRunnerOptions {
  readonly tables: PoolTables;
  readonly fleet: FleetTables;
  readonly vmPort: Pick<VmPort, 'drain' | 'undrain'>;
}

/** Tells the platform about operators' drains of a pool's VMs, and about their end. */
export class DrainRunner {
  private readonly options: DrainRunnerOptions;

  private readonly told = new Set<string>();

  private readonly calls = new KeyedOnce();

  /**
   * Creates a runner that has told nothing.
   * @param options - Pool, orders, and the platform.
   */
  constructor(options: DrainRunnerOptions) {
    this.options = options;
  }

  /** Compares the orders with what the platform was told, and tells it the difference. */
  tick(): void {
    const { fleet, tables, vmPort } = this.options;
    fleet.drains
      .list()
      .filter(({ vm }) => tables.vms.has(vm) && !this.told.has(vm))
      .forEach(({ vm }) =>
        this.tell(
          vm,
          () => vmPort.drain(vm),
          () => this.told.add(vm),
        ),
      );
    this.told.forEach((vm) => {
      if (fleet.drains.has(vm)) return;
      this.tell(
        vm,
        () => vmPort.undrain(vm),
        () => this.told.delete(vm),
      );
    });
  }

  private tell(vm: string, call: () => Promise<void>, note: () => void): void {
    this.calls.start(vm, async () => {
      try {
        await call();
        note();
      } catch {
        // The platform did not answer; the next tick calls again.
      }
    });
  }
}
