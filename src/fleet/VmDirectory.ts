import type { EventLog } from '../logging/index.js';
import type { VmPort } from '../platform/index.js';
import { Table, type VmRow } from '../tables/index.js';
import { type Clock, KeyedOnce } from '../utils/index.js';

/** Options of {@link VmDirectory}. */
export interface VmDirectoryOptions {
  readonly vmPort: Pick<VmPort, 'list'>;
  readonly clock: Clock;
  readonly events: EventLog;
  /** How often the platform's list is read. */
  readonly refreshEveryMs: number;
}

/** The platform's list of VMs as last read; it outlives outages of the list. */
export class VmDirectory {
  private readonly options: VmDirectoryOptions;

  private readonly vms = new Table<string, VmRow>({
    entity: 'VM',
    missingKind: 'unknown-vm',
    keyOf: (row) => row.vm,
  });

  private readonly refreshes = new KeyedOnce();

  private refreshAtMs = Number.NEGATIVE_INFINITY;

  private isAnswering = true;

  private readCount = 0;

  /**
   * Creates a directory that has read nothing yet.
   * @param options - Where the list comes from, and how often.
   */
  constructor(options: VmDirectoryOptions) {
    this.options = options;
  }

  /** Whether the list was read at least once. */
  get isLoaded(): boolean {
    return this.readCount > 0;
  }

  /** Count of lists taken in; it changes whenever the rows may have. */
  get version(): number {
    return this.readCount;
  }

  /**
   * Gets a VM.
   * @param vm - Its name.
   * @returns Its row, or undefined where no list has shown it.
   */
  get(vm: string): VmRow | undefined {
    return this.vms.get(vm);
  }

  /**
   * Gets a VM that has to exist.
   * @param vm - Its name.
   * @returns Its row.
   * @throws RattanliftError Of kind `unknown-vm`.
   */
  getOrThrow(vm: string): VmRow {
    return this.vms.getOrThrow(vm);
  }

  /**
   * Lists all VMs, those that vanished from the list as `gone`.
   * @returns The rows.
   */
  list(): readonly VmRow[] {
    return this.vms.list();
  }

  /** Reads the list anew when that is due. */
  tick(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.refreshAtMs) return;
    this.refreshAtMs = nowMs + this.options.refreshEveryMs;
    this.refreshes.start('list', () => this.refresh());
  }

  /**
   * Reads the list now.
   * @returns When the list was taken in, or could not be read.
   */
  async refresh(): Promise<void> {
    try {
      this.takeIn(await this.options.vmPort.list());
      if (!this.isAnswering) this.options.events.write('vmListReachable');
      this.isAnswering = true;
    } catch (thrown) {
      if (this.isAnswering) {
        this.options.events.write('vmListUnreachable', { reason: String(thrown) });
      }
      this.isAnswering = false;
    }
  }

  private takeIn(rows: readonly VmRow[]): void {
    const listed = new Set(rows.map((row) => row.vm));
    rows.forEach((row) => this.vms.put(row));
    this.vms
      .list()
      .filter((row) => !listed.has(row.vm) && row.state !== 'gone')
      .forEach((row) => this.vms.put({ ...row, state: 'gone' }));
    this.readCount += 1;
  }
}
