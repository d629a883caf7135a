/** A call that a target has received and not carried out yet. */
interface LateCall {
  readonly targetId: string;
  readonly carryOut: () => void;
}

/** Calls or answers that are held up until a test lets them take effect. */
export class LateCalls {
  private held: readonly LateCall[] = [];

  /**
   * Counts the calls that are held up.
   * @param targetId - Id of the lifetime that has received them.
   * @returns How many there are.
   */
  countAt(targetId: string): number {
    return this.held.filter((call) => call.targetId === targetId).length;
  }

  /**
   * Holds up a call.
   * @param targetId - Id of the lifetime that has received it.
   * @param carryOut - Lets it take effect.
   */
  hold(targetId: string, carryOut: () => void): void {
    this.held = [...this.held, { targetId, carryOut }];
  }

  /**
   * Lets calls take effect, in the order in which they came.
   * @param targetId - Id of the lifetime that has received them; all lifetimes where it is absent.
   */
  release(targetId?: string): void {
    const isDue = (call: LateCall): boolean => targetId === undefined || call.targetId === targetId;
    const due = this.held.filter(isDue);
    this.held = this.held.filter((call) => !isDue(call));
    due.forEach(({ carryOut }) => carryOut());
  }
}
