/** Headers of the exchanges with a target. */
export const TASK_HEADERS = {
  taskId: 'x-task-id',
  requestId: 'x-request-id',
  jobKind: 'x-job-kind',
  coreCount: 'x-core-count',
  memoryMb: 'x-memory-mb',
  /** Wall-clock time at which the target stops the task unless the lease is renewed. */
  leaseDeadlineMs: 'x-lease-deadline-ms',
  /** In an answer: what became of a task that has no answer of its own. */
  outcome: 'x-task-outcome',
  /** In an answer: why. */
  reason: 'x-task-reason',
} as const;

/** Values of the outcome header. */
export const TASK_OUTCOMES = {
  /** The target did not start the task; with status 503. */
  notStarted: 'not-started',
  /** The target stopped the task before its end, by order or because its lease lapsed. */
  stopped: 'stopped',
} as const;
