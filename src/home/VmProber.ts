import type { EventLog } from '../logging/index.js';
import type { VmRow } from '../tables/index.js';
import type { TargetPort } from '../targets/index.js';
import { type Clock, KeyedOnce } from '../utils/index.js';

/** Options of {@link VmProber}. */
export interface VmProberOptions {
  readonly targets: Pick<TargetPort, 'getStatus'>;
  readonly clock: Clock;
  readonly events: EventLog;
  /** How often an unreachable VM is probed. */
  readonly probeEveryMs: number;
  /** Hears of a VM that answers and says that it takes no tasks. */
  readonly onDraining: (vm: string) => void;
}

interface Suspect {
  readonly vm: VmRow;
  readonly isUnreachable: boolean;
  readonly probeAtMs: number;
}

/** Probes VMs that did not answer, on connections of their own, until they answer again. */
export class VmProber {
  private readonly options: VmProberOptions;

  private readonly suspects = new Map<string, Suspect>();

  private readonly probes = new KeyedOnce();

  /**
   * Creates a prober without suspects.
   * @param options - How to probe, and how often.
   */
  constructor(options: VmProberOptions) {
    this.options = options;
  }

  /**
   * Has a VM probed because a request to it ended without an answer.
   *
   * Failure: a connection went silent because something between the two ends lost track of it,
   * and a healthy VM would be given up. Only a probe on a new connection makes it unreachable.
   * @param vm - The VM.
   */
  suspect(vm: VmRow): void {
    if (this.suspects.has(vm.vm)) return;
    const probeAtMs = this.options.clock.monotonicMs();
    this.suspects.set(vm.vm, { vm, isUnreachable: false, probeAtMs });
    this.tick();
  }

  /**
   * Tells whether a VM failed its last probe.
   * @param vm - Name of the VM.
   * @returns Whether it should get no work.
   */
  isUnreachable(vm: string): boolean {
    return this.suspects.get(vm)?.isUnreachable ?? false;
  }

  /** Probes the suspects that are due. */
  tick(): void {
    const nowMs = this.options.clock.monotonicMs();
    Array.from(this.suspects.values())
      .filter((suspect) => suspect.probeAtMs <= nowMs)
      .forEach((suspect) => this.probes.start(suspect.vm.vm, () => this.probe(suspect)));
  }

  private async probe({ vm, isUnreachable }: Suspect): Promise<void> {
    const status = await this.options.targets.getStatus(vm);
    if (status !== undefined) {
      this.suspects.delete(vm.vm);
      if (isUnreachable) this.options.events.write('vmReachable', { vm: vm.vm });
      if (status.draining) this.options.onDraining(vm.vm);
      return;
    }
    if (!isUnreachable) this.options.events.write('vmUnreachable', { vm: vm.vm });
    const probeAtMs = this.options.clock.monotonicMs() + this.options.probeEveryMs;
    this.suspects.set(vm.vm, { vm, isUnreachable: true, probeAtMs });
  }
}
