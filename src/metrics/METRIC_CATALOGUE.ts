/** A kind of measurement. */
export interface MetricKind {
  readonly type: 'counter' | 'timer' | 'gauge';
  readonly unit: string;
  /** What it says, in a sentence. */
  readonly meaning: string;
  /** Names of its tags. */
  readonly tags: readonly string[];
}

/** Every measurement by name; `docs/METRICS.md` lists the same ones. */
export const METRIC_CATALOGUE = {
  requests_answered: {
    type: 'counter',
    unit: 'requests',
    meaning: 'Jobs of callers that got their final answer, by what became of them.',
    tags: ['outcome'],
  },
  retries: {
    type: 'counter',
    unit: 'attempts',
    meaning: 'Further attempts at jobs after one that did not run or may be repeated.',
    tags: [],
  },
  target_reports_unreadable: {
    type: 'counter',
    unit: 'records',
    meaning: 'Records among the reports of targets that are none of a target.',
    tags: [],
  },
  records_rejected: {
    type: 'counter',
    unit: 'records',
    meaning: 'Records on the log that no longer applied when they were read.',
    tags: ['type'],
  },
  lease_lapsed: {
    type: 'counter',
    unit: 'lapses',
    meaning: 'Times at which this instance lost its lease.',
    tags: [],
  },
  request_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: 'From the arrival of a job to the beginning of its answer.',
    tags: [],
  },
  grant_wait_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: "From a job's arrival at its pool's home to its grant.",
    tags: ['pool'],
  },
  log_append_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: 'From an append to the log to its answer.',
    tags: [],
  },
  wave_step_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: 'From the drain of a VM by a wave to its return.',
    tags: ['pool'],
  },
  peer_call_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: 'From a call to another instance to its reply or failure.',
    tags: ['type', 'result'],
  },
  queue_length: {
    type: 'gauge',
    unit: 'jobs',
    meaning: 'Jobs that wait at the home of a pool.',
    tags: ['pool'],
  },
  slots_free: {
    type: 'gauge',
    unit: 'slots',
    meaning: 'Slots of a pool that take work and hold none.',
    tags: ['pool'],
  },
  log_lag_records: {
    type: 'gauge',
    unit: 'records',
    meaning: 'Records on the log that this instance has not applied yet.',
    tags: [],
  },
  log_lines: {
    type: 'counter',
    unit: 'lines',
    meaning: 'Log lines by event, also those that were left out over the budget.',
    tags: ['event'],
  },
  durable_answer_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: 'From a request about a durable job at its entry to its answer, or to its error kind.',
    tags: ['call', 'result'],
  },
  first_start_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: "From a durable job's submission to when its first task is known to run.",
    tags: ['pool'],
  },
  job_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: "From a durable job's submission to its final state.",
    tags: ['pool', 'state'],
  },
  lost_runs: {
    type: 'counter',
    unit: 'runs',
    meaning: 'Runs of tasks that were lost with their targets, by how the loss became known.',
    tags: ['pool', 'reason'],
  },
  preempted_runs: {
    type: 'counter',
    unit: 'runs',
    meaning: 'Runs of tasks that were stopped so that more urgent tasks get their room.',
    tags: ['pool'],
  },
  jobs_refused: {
    type: 'counter',
    unit: 'jobs',
    meaning: 'Submissions of durable jobs that were refused, as they would end too late.',
    tags: ['pool'],
  },
  starts_withheld: {
    type: 'counter',
    unit: 'seconds',
    meaning: 'Seconds in which tasks of an organisation waited for its limit, in a pool.',
    tags: ['pool'],
  },
  tasks_given_up: {
    type: 'counter',
    unit: 'tasks',
    meaning: 'Tasks that are not started again, as they crash the targets that start them.',
    tags: ['pool'],
  },
  uneven_targets: {
    type: 'counter',
    unit: 'targets',
    meaning: 'Targets that were found slow or failing beside their peers.',
    tags: ['pool', 'reason'],
  },
  late_runs_restarted: {
    type: 'counter',
    unit: 'runs',
    meaning: 'Late runs on slow targets that were stopped to start elsewhere.',
    tags: ['pool'],
  },
  placement_round_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: 'Processor time of one round of placement at a home of durable jobs.',
    tags: [],
  },
  store_call_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: "From a call to the platform's store to its answer or failure.",
    tags: ['call', 'result'],
  },
  target_call_ms: {
    type: 'timer',
    unit: 'ms',
    meaning:
      'From a call to a leased target to its answer or failure; renewals are held back there.',
    tags: ['call', 'result'],
  },
  vm_call_ms: {
    type: 'timer',
    unit: 'ms',
    meaning: 'From a call to the interface of VMs to its answer or failure.',
    tags: ['call', 'result'],
  },
  peaks_begun: {
    type: 'counter',
    unit: 'peaks',
    meaning: 'Load peaks of a pool, by whether they were expected in time to order VMs.',
    tags: ['pool', 'result'],
  },
  open_jobs: {
    type: 'gauge',
    unit: 'jobs',
    meaning: 'Unfinished durable jobs of a pool, at its home.',
    tags: ['pool'],
  },
  waiting_millicores: {
    type: 'gauge',
    unit: 'millicores',
    meaning: 'Processor that tasks ask for whose turn has come and that wait for room.',
    tags: ['pool'],
  },
  placed_tasks: {
    type: 'gauge',
    unit: 'tasks',
    meaning: 'Tasks of a pool that are given to targets.',
    tags: ['pool'],
  },
  vm_moves: {
    type: 'counter',
    unit: 'moves',
    meaning: 'Moves of VMs between pools that the home of the fleet planned, by reason.',
    tags: ['reason'],
  },
  pool_vms: {
    type: 'gauge',
    unit: 'VMs',
    meaning: 'VMs of a pool: up, needed, idle beyond need and reserve, or off in a standby pool.',
    tags: ['pool', 'state'],
  },
} as const satisfies Readonly<Record<string, MetricKind>>;

/** Name of a measurement. */
export type MetricName = keyof typeof METRIC_CATALOGUE;

type NameOfType<Type extends MetricKind['type']> = {
  [Name in MetricName]: (typeof METRIC_CATALOGUE)[Name]['type'] extends Type ? Name : never;
}[MetricName];

/** Name of a counter. */
export type CounterName = NameOfType<'counter'>;
/** Name of a timer. */
export type TimerName = NameOfType<'timer'>;
/** Name of a gauge. */
export type GaugeName = NameOfType<'gauge'>;
