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
  /** Called with a VM that answers a probe and reports that it is draining. */
  readonly onDraining: (vm: string) => void;
}

interface Suspect {
  readonly vm: VmRow;
  readonly isUnreachable: boolean;
  readonly probeAtMs: number;
}

/** Probes VMs that did not answer, on separate connections, until they answer again. */
export class VmProber {
  private readonly options: VmProberOptions;

  private readonly suspects = new Map<string, Suspect>();

  private readonly probes = new KeyedOnce();

  /**
   * Creates a prober without suspects.
   * @param options - Dependencies and the probe interval.
   */
  constructor(options: VmProberOptions) {
    this.options = options;
  }

  /**
   * Probes a VM because a request to it ended without an answer.
   *
   * A connection to a healthy VM can go silent because something between the two ends has lost
   * track of it. A VM therefore becomes unreachable only if a probe on a new connection fails.
   * @param vm - The VM.
   */
  suspect(vm: VmRow): void {
    if (this.suspects.has(vm.vm)) return;
    const probeAtMs = this.options.clock.monotonicMs();
    this.suspects.set(vm.vm, { vm, isUnreachable: false, probeAtMs });
    this.tick();
  }

  /**
   * Checks whether a VM failed its last probe.
   * @param vm - Name of the VM.
   * @returns Whether the VM is unreachable and should get no work.
   */
  isUnreachable(vm: string): boolean {
    return this.suspects.get(vm)?.isUnreachable ?? false;
  }

  /** Probes the suspects whose next probe is due. */
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
