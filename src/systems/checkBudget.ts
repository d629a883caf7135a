import type { PoolTables } from '../tables/index.js';
import { AvailabilityBudget } from './AvailabilityBudget.js';
import type { BudgetVerdict } from './decisions.js';

/** Options of {@link checkBudget}. */
export interface CheckBudgetOptions {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** VMs that a planned step would take out in addition. */
  readonly takenOutVms?: readonly string[];
}

/**
 * Checks whether a pool stays within its availability budget: no more VMs are unavailable than
 * allowed, and the needed slots remain even after the loss of its largest failure domain.
 * @param tables - State of the pool.
 * @param options - The time and the VMs that a planned step would take out.
 * @returns The spare slots, or why the budget is exceeded.
 */
export function checkBudget(tables: PoolTables, options: CheckBudgetOptions): BudgetVerdict {
  const budget = new AvailabilityBudget({ tables, nowMs: options.nowMs });
  (options.takenOutVms ?? []).forEach((vm) => budget.takeOut(vm));
  return budget.verdict();
}
