/** Settings of a team that are in force, as operators see them. */
export interface SettingsView {
  readonly team: string;
  readonly version: number;
  readonly author: string;
  readonly document: string;
}

/** One accepted or rejected publication. */
export interface PublicationView {
  readonly offset: number;
  readonly team: string;
  readonly author: string;
  readonly verdict: 'accepted' | 'rejected';
  readonly reason: string;
}

/** A pool with its present capacity. */
export interface PoolView {
  /** Pool as `team/pool`. */
  readonly pool: string;
  /** Instance that decides for the pool; absent between homes. */
  readonly home: string | undefined;
  readonly term: number;
  readonly neededSlotCount: number;
  /** Slots of all VMs that take work. */
  readonly usableSlotCount: number;
  readonly vmCount: number;
  readonly acceptingVmCount: number;
  readonly runningJobCount: number;
  readonly queuedJobCount: number;
  /** `within` or the reason why the availability budget is exceeded. */
  readonly budget: string;
}

/** A VM as operators see it. */
export interface VmView {
  readonly vm: string;
  readonly worker: string;
  readonly rack: string;
  readonly dataCentre: string;
  readonly pool: string | undefined;
  readonly slotCount: number;
  readonly state: string;
  readonly drainedBy: string | undefined;
}

/** A wave with its progress. */
export interface WaveView {
  readonly wave: string;
  readonly pools: readonly string[];
  readonly state: 'running' | 'paused' | 'finished';
  readonly reason: string;
  readonly vmCount: number;
  readonly maintainedVmCount: number;
  readonly failedVmCount: number;
  readonly stepsInProgress: readonly string[];
}

/** An instance as operators see it. */
export interface InstanceView {
  readonly instance: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly homeCount: number;
}

/** Everything that operators do and ask; errors are RattanliftErrors. */
export interface OperatorPort {
  /**
   * Publishes a team's settings and waits until they are accepted and in force here.
   * @param request - Document, version that the operator saw, and the operator's name.
   * @returns The settings now in force.
   * @throws RattanliftError Of kind `settings-invalid`, `settings-conflict` or `log-unavailable`.
   */
  publishSettings(request: {
    readonly document: string;
    readonly baseVersion: number;
    readonly author: string;
  }): Promise<SettingsView>;
  /** Lists the settings in force. */
  listSettings(): readonly SettingsView[];
  /** Lists publications of a team, or of all, oldest first. */
  listPublications(team: string | undefined): readonly PublicationView[];
  /** Lists pools with their capacity. */
  listPools(): Promise<readonly PoolView[]>;
  /** Lists VMs. */
  listVms(): readonly VmView[];
  /** Lists instances. */
  listInstances(): readonly InstanceView[];
  /** Keeps new work off a VM until the drain is cancelled. */
  drainVm(vm: string, author: string): Promise<VmView>;
  /** Cancels a drain. */
  undrainVm(vm: string, author: string): Promise<VmView>;
  /** Starts a wave over pools; throws `wave-conflict` where one of them is in a wave already. */
  startWave(pools: readonly string[], author: string): Promise<WaveView>;
  /** Pauses a wave; steps in progress are finished. */
  pauseWave(wave: string, author: string): Promise<WaveView>;
  /** Resumes a paused wave. */
  resumeWave(wave: string, author: string): Promise<WaveView>;
  /** Gets a wave's progress; throws `unknown-wave`. */
  getWave(wave: string): WaveView;
  /** Lists waves. */
  listWaves(): readonly WaveView[];
  /**
   * Tells why a job was placed or refused, or why a wave waits.
   * @param subject - A request id, a wave, or a pool.
   * @returns Lines for a person, the latest last.
   */
  explain(subject: string): Promise<readonly string[]>;
}
