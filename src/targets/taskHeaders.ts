/** Names of the HTTP headers in exchanges with a target. */
export const TASK_HEADERS = {
  taskId: 'x-task-id',
  requestId: 'x-request-id',
  jobKind: 'x-job-kind',
  coreCount: 'x-core-count',
  memoryMb: 'x-memory-mb',
  /** Wall-clock time at which the target stops the task unless the lease is renewed. */
  leaseDeadlineMs: 'x-lease-deadline-ms',
  /** In an answer: outcome of a task that produced no answer of its own. */
  outcome: 'x-task-outcome',
  /** In an answer: reason for the outcome. */
  reason: 'x-task-reason',
} as const;

/** Values of the outcome header. */
export const TASK_OUTCOMES = {
  /** The target did not start the task; with status 503. */
  notStarted: 'not-started',
  /** The target stopped the task early, on request or because its lease lapsed. */
  stopped: 'stopped',
} as const;
