import { throwError } from '../../src/errors/index.js';
import type {
  InstanceView,
  OperatorPort,
  PoolView,
  PublicationView,
  SettingsView,
  VmView,
  WaveView,
} from '../../src/operators/index.js';
import { checkTeamSettings } from '../../src/settings/index.js';

const VM: VmView = {
  vm: 'vm-1',
  worker: 'worker-1',
  rack: 'rack-1',
  dataCentre: 'north',
  pool: 'wiki/saves',
  slotCount: 4,
  state: 'live',
  drainedBy: undefined,
};

/* eslint-disable class-methods-use-this -- the interface asks for methods */
/** Operators' port over a few rows in memory, with the log's rule on versions. */
export class FakeOperatorPort implements OperatorPort {
  readonly settings = new Map<string, SettingsView>();

  readonly publications: PublicationView[] = [];

  readonly waves = new Map<string, WaveView>();

  /** Answers of `getWave` in turn; the last one stays. */
  waveAnswers: readonly WaveView[] = [];

  async publishSettings({
    document,
    baseVersion,
    author,
  }: Parameters<OperatorPort['publishSettings']>[0]): Promise<SettingsView> {
    const checked = checkTeamSettings(document, 'document');
    if (checked.type === 'invalid') return throwError('settings-invalid', 'Invalid.');
    const { team } = checked.value;
    const version = this.settings.get(team)?.version ?? 0;
    const offset = this.publications.length;
    const isAccepted = version === baseVersion;
    const reason = isAccepted ? '' : `version ${version} is in force`;
    const verdict = isAccepted ? 'accepted' : 'rejected';
    this.publications.push({ offset, team, author, verdict, reason });
    if (!isAccepted) return throwError('settings-conflict', `For ${team} ${reason}.`);
    const view: SettingsView = { team, version: offset + 1, author, document };
    this.settings.set(team, view);
    return view;
  }

  listSettings(): readonly SettingsView[] {
    return [...this.settings.values()];
  }

  listPublications(team: string | undefined): readonly PublicationView[] {
    return this.publications.filter((row) => team === undefined || row.team === team);
  }

  async listPools(): Promise<readonly PoolView[]> {
    return [
      {
        pool: 'wiki/saves',
        home: 'entry-1',
        term: 3,
        neededSlotCount: 40,
        usableSlotCount: 44,
        vmCount: 11,
        acceptingVmCount: 11,
        runningJobCount: 7,
        queuedJobCount: 0,
        budget: 'within',
      },
    ];
  }

  listVms(): readonly VmView[] {
    return [VM];
  }

  listInstances(): readonly InstanceView[] {
    return [{ instance: 'entry-1', dataCentre: 'north', state: 'joined', homeCount: 1 }];
  }

  async drainVm(vm: string, author: string): Promise<VmView> {
    if (vm !== VM.vm) return throwError('unknown-vm', `There is no VM ${vm}.`);
    return { ...VM, drainedBy: author };
  }

  async undrainVm(): Promise<VmView> {
    return VM;
  }

  async startWave(pools: readonly string[], author: string): Promise<WaveView> {
    const isBusy = [...this.waves.values()].some((wave) =>
      wave.pools.some((p) => pools.includes(p)),
    );
    if (isBusy) return throwError('wave-conflict', 'A pool is in a wave already.');
    const wave: WaveView = {
      wave: `wave-${this.waves.size + 1}`,
      pools,
      state: 'running',
      reason: `started by ${author}`,
      vmCount: 2,
      maintainedVmCount: 0,
      failedVmCount: 0,
      stepsInProgress: [],
    };
    this.waves.set(wave.wave, wave);
    return wave;
  }

  async pauseWave(wave: string): Promise<WaveView> {
    return { ...this.getWave(wave), state: 'paused' };
  }

  async resumeWave(wave: string): Promise<WaveView> {
    return { ...this.getWave(wave), state: 'running' };
  }

  getWave(wave: string): WaveView {
    const [answer, ...rest] = this.waveAnswers;
    if (rest.length > 0) this.waveAnswers = rest;
    return (
      answer ?? this.waves.get(wave) ?? throwError('unknown-wave', `There is no wave ${wave}.`)
    );
  }

  listWaves(): readonly WaveView[] {
    return [...this.waves.values()];
  }

  async explain(subject: string): Promise<readonly string[]> {
    return [`${subject} was placed on vm-1.`];
  }
}
