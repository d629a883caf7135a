import type { PoolTables } from '../tables/index.js';
import { BudgetTally } from './BudgetTally.js';
import type { BudgetVerdict } from './decisions.js';

/** Options of {@link checkBudget}. */
export interface CheckBudgetOptions {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** VMs that a planned step would take out on top. */
  readonly takenOutVms?: readonly string[];
}

/**
 * Tells whether a pool keeps its availability budget: few enough of its VMs are out, and what is
 * left carries the needed slots even after its largest failure domain is lost.
 * @param tables - State of the pool.
 * @param options - The time and the VMs that a planned step would take out.
 * @returns The slots to spare, or why the budget does not hold.
 */
export function checkBudget(tables: PoolTables, options: CheckBudgetOptions): BudgetVerdict {
  const tally = new BudgetTally({ tables, nowMs: options.nowMs });
  (options.takenOutVms ?? []).forEach((vm) => tally.takeOut(vm));
  return tally.verdict();
}
