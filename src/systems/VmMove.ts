/**
 * Why a VM moves: for work that runs or waits, for work that is expected, to restore the reserve of
 * a pool, or because it is idle and is switched off.
 */
export type MoveReason = 'shortage' | 'forecast' | 'reserve' | 'idle';

/** A move of a VM to another pool. */
export interface VmMove {
  readonly vm: string;
  readonly fromPool: string;
  readonly toPool: string;
  readonly reason: MoveReason;
}
