/**
 * Scheduling mechanisms for durable jobs and VMs that the settings can disable, so that the effect
 * of each can be measured. This is the complete list of names that the settings accept.
 */
export const MECHANISMS = [
  /** Jobs that are too late for their objective are placed last. */
  'late-jobs-last',
  /** Jobs that have started are placed before others. */
  'started-jobs-first',
  /** In an overloaded pool, the newest jobs are placed first. */
  'newest-first-in-overload',
  /** In a full pool, organisations are served by weight, and not by age and objective alone. */
  'shares-by-weight',
  /** Where the settings call for it, jobs that would end too late to be of use are refused. */
  'unservable-jobs-refused',
  /** Run times are estimated from measurements instead of the callers' declarations. */
  'learned-run-times',
  /** Tasks go to the fullest target with sufficient free capacity, so that others become idle. */
  'fullest-target-first',
  /** Demand includes arriving work and the expected backlog, not only running tasks. */
  'arriving-demand',
  /** A rising arrival rate is extrapolated to the time at which an ordered VM is available. */
  'rise-foreseen',
  /** Only the part of the known and arriving work that is behind its schedule is a backlog. */
  'need-by-known-work',
  /** Work that is too late for its objective gets no VMs that another pool needs. */
  'late-work-yields',
  /** VMs move between pools. */
  'vm-moves',
  /** Idle pools keep a reserve of VMs relative to their observed peak, not a fixed number. */
  'kept-by-peak',
  /** Idle pools give up their reserve if another pool is short of VMs. */
  'kept-yields-in-shortage',
  /** Pools that are short of VMs at the same time share the free ones. */
  'shortages-shared',
  /** VMs that have been idle for long move to the standby pool, where they are off. */
  'idle-vms-off',
  /** VMs are ordered for load peaks that recur before these begin. */
  'peaks-foreseen',
  /** Waves are planned with the observed durations of their steps. */
  'observed-wave-steps',
  /** Tasks of less urgent queues are stopped if tasks of more urgent ones find no room. */
  'urgent-work-preempts',
  /** Targets on which tasks keep failing are avoided. */
  'failing-targets-avoided',
  /** Targets that run tasks several times slower than their peers are avoided. */
  'slow-targets-avoided',
  /** Targets that fail a part of their runs while their peers fail hardly any are avoided. */
  'grey-targets-avoided',
  /** Late runs on slow targets are stopped and started elsewhere if that ends them sooner. */
  'late-runs-restarted',
] as const;

/** Name of a mechanism that can be disabled. */
export type Mechanism = (typeof MECHANISMS)[number];

/** The enabled mechanisms. */
export type Mechanisms = ReadonlySet<Mechanism>;

/** All mechanisms, which is the default of daemons. */
export const ALL_MECHANISMS: Mechanisms = new Set(MECHANISMS);

/**
 * Returns all mechanisms except some.
 * @param off - The mechanisms to disable.
 * @returns The enabled mechanisms.
 */
export function disableMechanisms(off: readonly Mechanism[]): Mechanisms {
  return new Set(MECHANISMS.filter((mechanism) => !off.includes(mechanism)));
}
