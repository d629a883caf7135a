import type { VmPort } from '../platform/index.js';
import type { FleetTables, PoolTables } from '../tables/index.js';
import { KeyedOnce } from '../utils/index.js';

/** Options of {@link DrainRunner}. */
export interface DrainRunnerOptions {
  readonly tables: PoolTables;
  readonly fleet: FleetTables;
  readonly vmPort: Pick<VmPort, 'drain' | 'undrain'>;
}

/** Forwards operators' drains of a pool's VMs, and their cancellation, to the platform. */
export class DrainRunner {
  private readonly options: DrainRunnerOptions;

  private readonly drainedVms = new Set<string>();

  private readonly calls = new KeyedOnce();

  /**
   * Creates a runner that has forwarded no drains yet.
   * @param options - Tables with the pool's VMs and the operators' drains, and the platform.
   */
  constructor(options: DrainRunnerOptions) {
    this.options = options;
  }

  /** Drains and undrains VMs at the platform where the operators' drains have changed. */
  tick(): void {
    const { fleet, tables, vmPort } = this.options;
    fleet.drains
      .list()
      .filter(({ vm }) => tables.vms.has(vm) && !this.drainedVms.has(vm))
      .forEach(({ vm }) =>
        this.callPlatform(
          vm,
          () => vmPort.drain(vm),
          () => this.drainedVms.add(vm),
        ),
      );
    this.drainedVms.forEach((vm) => {
      if (fleet.drains.has(vm)) return;
      this.callPlatform(
        vm,
        () => vmPort.undrain(vm),
        () => this.drainedVms.delete(vm),
      );
    });
  }

  private callPlatform(vm: string, call: () => Promise<void>, onSuccess: () => void): void {
    this.calls.start(vm, async () => {
      try {
        await call();
        onSuccess();
      } catch {
        // The call failed; the next tick repeats it.
      }
    });
  }
}
