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
  /** Work that is too late for its objective gets no VMs that another pool needs. */
  'late-work-yields',
  /** VMs move between pools. */
  'vm-moves',
  /** Idle pools keep a reserve of VMs relative to their observed peak, not a fixed number. */
  'kept-by-peak',
  /** Idle pools give up their reserve if another pool is short of VMs. */
  'kept-yields-in-shortage',
  /** Waves are planned with the observed durations of their steps. */
  'observed-wave-steps',
  /** Targets on which tasks keep failing are avoided. */
  'failing-targets-avoided',
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
