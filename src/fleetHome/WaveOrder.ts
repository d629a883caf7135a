/** A wave of maintenance as operators have ordered it. */
export interface WaveOrder {
  readonly wave: number;
  readonly vms: readonly string[];
  /** Time within which every VM has to have begun, in milliseconds from the order. */
  readonly withinMs: number;
  /** Most VMs of the wave that may be down for it at the same time. */
  readonly maxDownCount: number;
}
