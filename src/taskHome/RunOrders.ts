import type { RunLife } from '../systems/index.js';
import type { RunKey } from './RunKey.js';
import type { RunOrder } from './RunOrder.js';

/** The orders of a home, by task and by target; a task has one order at most. */
export class RunOrders {
  private readonly byTask = new Map<string, RunOrder>();

  /** Each report of a target is compared with its orders. */
  private readonly byTarget = new Map<string, Set<RunOrder>>();

  /**
   * Adds the order for a run, in place of an earlier one of its task.
   * @param key - The run.
   * @param life - What is known of the run.
   */
  add({ taskName, run, targetId }: RunKey, life: RunLife): void {
    this.forget(taskName);
    const hasReceivedStart = life.phase !== 'unsent';
    const begun = { hasReceivedStart, begunAtMs: undefined, answeredAtMs: 0 };
    const order = { taskName, run, targetId, life, ...begun };
    this.byTask.set(taskName, order);
    const onTarget = this.byTarget.get(targetId) ?? new Set();
    this.byTarget.set(targetId, onTarget.add(order));
  }

  /**
   * Gets the order for a task.
   * @param taskName - Name of the task.
   * @returns The order, or undefined if there is none.
   */
  get(taskName: string): RunOrder | undefined {
    return this.byTask.get(taskName);
  }

  /**
   * Tells whether a run is ordered.
   * @param key - The run.
   * @returns Whether the order for its task is for this run on this target.
   */
  has({ taskName, run, targetId }: RunKey): boolean {
    const order = this.byTask.get(taskName);
    return order?.targetId === targetId && order.run === run;
  }

  /**
   * Tells whether an order still stands.
   * @param order - The order.
   * @returns Whether it was neither forgotten nor replaced.
   */
  isCurrent(order: RunOrder): boolean {
    return this.byTask.get(order.taskName) === order;
  }

  /**
   * Lists the orders for runs on a target.
   * @param targetId - Id of the target.
   * @returns A new array of the orders.
   */
  listOn(targetId: string): readonly RunOrder[] {
    return [...(this.byTarget.get(targetId) ?? [])];
  }

  /**
   * Counts the orders for runs on a target.
   * @param targetId - Id of the target.
   * @returns How many there are.
   */
  countOn(targetId: string): number {
    return this.byTarget.get(targetId)?.size ?? 0;
  }

  /**
   * Forgets the order for a task.
   * @param taskName - Name of the task.
   */
  forget(taskName: string): void {
    const order = this.byTask.get(taskName);
    if (order === undefined) return;
    this.byTask.delete(taskName);
    this.byTarget.get(order.targetId)?.delete(order);
  }

  /**
   * Forgets a target unless runs are ordered there.
   * @param targetId - Id of the target.
   */
  forgetTarget(targetId: string): void {
    if (this.countOn(targetId) === 0) this.byTarget.delete(targetId);
  }
}
