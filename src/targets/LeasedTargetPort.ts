/** Address of a leased target, for one of its lifetimes. */
export interface LeasedTargetAddress {
  /** Id of the target's lifetime; it changes with each restart. */
  readonly targetId: string;
  readonly host: string;
  readonly port: number;
}

/** Request to start a task on a target. */
export interface TaskStart {
  readonly taskName: string;
  /** Number of the start. A target rejects a number that is not above the highest it ended. */
  readonly run: number;
  readonly payload: string;
  /** Time at which the target's lease ends, on the target's clock. */
  readonly leaseUntilTargetMs: number;
  /** Term of the home; a target rejects terms below the highest it has seen. */
  readonly term: number;
  readonly checkpoint?: string | undefined;
  /** Permission from the advice service, if the queue requires one. */
  readonly ticket?: string | undefined;
}

/** Reason for which a target refused a start without any effect. */
export type StartRefusal =
  'stale-term' | 'stale-run' | 'lease-past' | 'no-room' | 'bad-ticket' | 'unhealthy' | 'malformed';

/** Answer to a start request. */
export type StartAnswer =
  | { readonly type: 'started'; readonly targetClockMs: number }
  | {
      readonly type: 'refused';
      readonly reason: StartRefusal;
      readonly targetClockMs?: number | undefined;
    }
  | { readonly type: 'other-lifetime' }
  /** No connection could be opened, so the target has not received the start. */
  | { readonly type: 'unreachable' };

/** Answer to a stop request or a change of the pace. */
export type CommandAnswer =
  | { readonly type: 'accepted' }
  | { readonly type: 'refused'; readonly reason: string }
  | { readonly type: 'other-lifetime' };

/** A task that is running on a target. */
export interface RunningTaskReport {
  readonly taskName: string;
  readonly run: number;
  readonly checkpoint?: string | undefined;
  /** Progress of a finite task; 100 for a long-running task that is working. */
  readonly progressPercent: number;
  /** Tail latency of a serving task, in milliseconds, or CPU use of another, in millicores. */
  readonly loadFigure?: number | undefined;
}

/** How a run ended. */
export type TaskEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'gang-broken' | 'gang-alone';

/** A run that ended on a target. */
export interface EndedTaskReport {
  /** Sequence number of the end within the target's lifetime. */
  readonly endNumber: number;
  readonly taskName: string;
  readonly run: number;
  readonly end: TaskEnd;
  readonly checkpoint?: string | undefined;
}

/** Renews a target's lease and requests a report of its tasks. */
export interface LeaseRenewal {
  readonly term: number;
  /** Ends up to this number are stored, so the target may discard them. */
  readonly acknowledgedEndNumber: number;
  /** New end of the lease on the target's clock; if absent, the lease does not change. */
  readonly leaseUntilTargetMs?: number | undefined;
  /** Longest time that the target waits for a run to end before it answers, in milliseconds. */
  readonly waitMs: number;
}

/** Answer to a lease renewal. */
export type LeaseAnswer =
  | {
      readonly type: 'report';
      readonly targetClockMs: number;
      readonly running: readonly RunningTaskReport[];
      readonly ended: readonly EndedTaskReport[];
      /**
       * Whether every end is listed that was not acknowledged. Otherwise a run that is not in the
       * report may have ended.
       */
      readonly hasAllEnds: boolean;
    }
  | { readonly type: 'stale-term' }
  | { readonly type: 'other-lifetime' }
  /** The target has started again under its id; it carries out orders for its lifetime before. */
  | { readonly type: 'reborn'; readonly targetId: string }
  | { readonly type: 'unhealthy' };

/** A command for a leased target, or a renewal of its lease, as a single value. */
export type TargetCall =
  | { readonly type: 'start'; readonly start: TaskStart }
  | {
      readonly type: 'stop';
      readonly taskName: string;
      readonly run: number;
      readonly term: number;
    }
  | {
      readonly type: 'pace';
      readonly taskName: string;
      readonly run: number;
      readonly percent: number;
      readonly term: number;
    }
  | { readonly type: 'renew'; readonly renewal: LeaseRenewal };

/** Answer of a leased target to any call. */
export type TargetAnswer = StartAnswer | CommandAnswer | LeaseAnswer;

/**
 * Calls targets that run tasks under a lease. A target kills all its tasks when its lease is not
 * renewed. Each call throws if no answer arrives; the target may still have acted or act later.
 */
export interface LeasedTargetPort {
  /**
   * Starts a task. A repeated start of the same run has no effect.
   * @param target - The target.
   * @param start - The task.
   * @returns The target's answer.
   */
  start(target: LeasedTargetAddress, start: TaskStart): Promise<StartAnswer>;
  /**
   * Stops a run. The target refuses a start of this run that arrives later.
   * @param target - The target.
   * @param taskName - Name of the task.
   * @param run - Number of the run.
   * @param term - Term of the home.
   * @returns The target's answer.
   */
  stop(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    term: number,
  ): Promise<CommandAnswer>;
  /**
   * Renews the lease and reads the running and the ended tasks.
   * @param target - The target.
   * @param renewal - The renewal.
   * @returns The target's answer.
   */
  renew(target: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer>;
  /**
   * Sets the speed of a best-effort task.
   * @param target - The target.
   * @param taskName - Name of the task.
   * @param run - Number of the run.
   * @param percent - Share of the full speed, in percent, 0 to 100.
   * @param term - Term of the home.
   * @returns The target's answer.
   */
  pace(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    percent: number,
    term: number,
  ): Promise<CommandAnswer>;
  /**
   * Closes the connections to a target that is gone.
   * @param targetId - Id of the lifetime.
   */
  forget(targetId: string): void;
}
