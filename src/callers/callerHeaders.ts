/** Headers of requests and answers that this product gives a meaning. */
export const CALLER_HEADERS = {
  requestId: 'Rattanlift-Request-Id',
  team: 'Rattanlift-Team',
  kind: 'Rattanlift-Kind',
  deadline: 'Rattanlift-Deadline-Ms',
  urgency: 'Rattanlift-Urgency',
  coreCount: 'Rattanlift-Core-Count',
  memory: 'Rattanlift-Memory-Mb',
  nonIdempotent: 'Rattanlift-Non-Idempotent',
  repeat: 'Rattanlift-Repeat',
} as const;

/** Headers that only answers carry. */
export const ANSWER_HEADERS = {
  requestId: CALLER_HEADERS.requestId,
  outcome: 'Rattanlift-Outcome',
  vm: 'Rattanlift-Vm',
} as const;
