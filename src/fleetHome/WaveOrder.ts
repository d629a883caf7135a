/** A maintenance wave as ordered by operators. */
export interface WaveOrder {
  readonly wave: number;
  readonly vms: readonly string[];
  /** Time from the order within which every VM's maintenance has to begin, in milliseconds. */
  readonly withinMs: number;
  /** Maximum number of VMs that may be down for the wave at the same time. */
  readonly maxDownCount: number;
}
