/** Identifies one run of a task on a target. */
export interface RunKey {
  readonly taskName: string;
  readonly run: number;
  readonly targetId: string;
}
