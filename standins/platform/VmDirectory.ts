import type { VmRow } from '../../src/tables/index.js';
import type { Clock } from '../../src/utils/index.js';

interface Snapshot {
  readonly takenAtMs: number;
  readonly vms: readonly VmRow[];
}

const MAX_SNAPSHOT_COUNT = 1000;

/** True state of the VMs, with its past so that readers can be shown an old one. */
export class VmDirectory {
  private snapshots: readonly Snapshot[] = [{ takenAtMs: -Infinity, vms: [] }];

  private readonly clock: Clock;

  /**
   * Creates an empty directory.
   * @param clock - Source of the snapshots' age.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Lists the VMs as they were some time ago.
   * @param lagMs - Age of the list, in milliseconds.
   * @returns The VMs.
   */
  list(lagMs: number): readonly VmRow[] {
    const takenBeforeMs = this.clock.monotonicMs() - lagMs;
    const seen = this.snapshots.findLast((snapshot) => snapshot.takenAtMs <= takenBeforeMs);
    return (seen ?? this.snapshots[0]!).vms;
  }

  /**
   * Gets the true state of a VM.
   * @param vm - Name of the VM.
   * @returns The VM, or undefined where there is none.
   */
  get(vm: string): VmRow | undefined {
    return this.snapshots.at(-1)!.vms.find((row) => row.vm === vm);
  }

  /**
   * Adds VMs, or replaces those of the same names.
   * @param vms - The VMs.
   */
  put(vms: readonly VmRow[]): void {
    const byName = new Map(this.snapshots.at(-1)!.vms.map((row) => [row.vm, row]));
    vms.forEach((row) => byName.set(row.vm, row));
    const snapshot = { takenAtMs: this.clock.monotonicMs(), vms: [...byName.values()] };
    this.snapshots = [...this.snapshots, snapshot].slice(-MAX_SNAPSHOT_COUNT);
  }
}
