import { randomUUID } from 'node:crypto';
import { type ErrorKind, throwError } from '../errors/index.js';
import type { VmDirectory } from '../fleet/index.js';
import type { PoolState } from '../home/index.js';
import { isWaveFinished, type LogWriter } from '../log/index.js';
import type {
  InstanceView,
  OperatorPort,
  PoolView,
  PublicationView,
  SettingsView,
  VmView,
  WaveView,
} from '../operators/index.js';
import type { PeerPort, PeerReply, PeerRequest } from '../peers/index.js';
import type { RecordBody } from '../records/index.js';
import { checkTeamSettings, formatProblem, type PoolSettings } from '../settings/index.js';
import type { FleetTables, HomeRow, SettingsRow, VmRow, WaveRow } from '../tables/index.js';
import { assertNever, type Clock } from '../utils/index.js';
import { toPeerAddress } from './toPeerAddress.js';

/** Options of {@link Operations}. */
export interface OperationsOptions {
  readonly instance: string;
  readonly fleet: FleetTables;
  readonly directory: VmDirectory;
  readonly writer: Pick<LogWriter, 'write'>;
  readonly peers: PeerPort;
  readonly clock: Clock;
  readonly getPoolSettings: (pool: string) => PoolSettings | undefined;
  /** Handles a request of this instance to itself. */
  readonly handleLocally: (from: string, request: PeerRequest) => Promise<PeerReply>;
  readonly explainHere: (subject: string) => readonly string[];
}

/** Longest wait until what an operator ordered is read back. */
const WRITE_WAIT_MS = 10_000;
const PEER_WAIT_MS = 1_500;

function parseState<State>(reply: PeerReply): State | undefined {
  return reply.type === 'state' ? (JSON.parse(reply.json) as State) : undefined;
}

function toSettingsView({ team, version, author, document }: SettingsRow): SettingsView {
  return { team, version, author, document };
}

/** What operators do and ask, over the log and the homes of the pools. */
export class Operations implements OperatorPort {
  private readonly options: OperationsOptions;

  /**
   * Creates the operators' side of an instance.
   * @param options - What it works on.
   */
  constructor(options: OperationsOptions) {
    this.options = options;
  }

  /** {@inheritDoc OperatorPort.publishSettings} */
  async publishSettings(request: {
    readonly document: string;
    readonly baseVersion: number;
    readonly author: string;
  }): Promise<SettingsView> {
    const { document, baseVersion, author } = request;
    const checked = checkTeamSettings(document, 'document');
    if (checked.type === 'invalid') {
      const message = checked.problems.map(formatProblem).join('\n');
      return throwError('settings-invalid', message, { field: checked.problems[0]?.path });
    }
    const { team } = checked.value;
    await this.order(
      { type: 'settings-published', team, baseVersion, document, author },
      'settings-conflict',
    );
    return toSettingsView(this.options.fleet.settings.getOrThrow(team));
  }

  /** {@inheritDoc OperatorPort.listSettings} */
  listSettings(): readonly SettingsView[] {
    return this.options.fleet.settings.list().map(toSettingsView);
  }

  /** {@inheritDoc OperatorPort.listPublications} */
  listPublications(team: string | undefined): readonly PublicationView[] {
    const all = this.options.fleet.publications.list();
    return team === undefined ? all : all.filter((row) => row.team === team);
  }

  /** {@inheritDoc OperatorPort.listPools} */
  async listPools(): Promise<readonly PoolView[]> {
    return Promise.all(this.options.fleet.homes.list().map((home) => this.viewPool(home)));
  }

  /** {@inheritDoc OperatorPort.listVms} */
  listVms(): readonly VmView[] {
    return this.options.directory.list().map((vm) => this.viewVm(vm));
  }

  /** {@inheritDoc OperatorPort.listInstances} */
  listInstances(): readonly InstanceView[] {
    const homes = this.options.fleet.homes.list();
    return this.options.fleet.instances.list().map(({ instance, dataCentre, state }) => {
      const homeCount = homes.filter((home) => home.instance === instance).length;
      return { instance, dataCentre, state, homeCount };
    });
  }

  /** {@inheritDoc OperatorPort.drainVm} */
  async drainVm(vm: string, author: string): Promise<VmView> {
    const row = this.options.directory.getOrThrow(vm);
    await this.order({ type: 'vm-drain-ordered', vm, author }, 'wave-conflict');
    return this.viewVm(row);
  }

  /** {@inheritDoc OperatorPort.undrainVm} */
  async undrainVm(vm: string, author: string): Promise<VmView> {
    const row = this.options.directory.getOrThrow(vm);
    await this.order({ type: 'vm-drain-cancelled', vm, author }, 'wave-conflict');
    return this.viewVm(row);
  }

  /** {@inheritDoc OperatorPort.startWave} */
  async startWave(pools: readonly string[], author: string): Promise<WaveView> {
    const unknown = pools.find((pool) => !this.options.fleet.homes.has(pool));
    if (unknown !== undefined) {
      return throwError('unknown-pool', `There is no pool ${unknown}.`, { field: 'pools' });
    }
    const wave = `wave-${randomUUID()}`;
    await this.order({ type: 'wave-started', wave, pools, author }, 'wave-conflict');
    return this.getWave(wave);
  }

  /** {@inheritDoc OperatorPort.pauseWave} */
  async pauseWave(wave: string, author: string): Promise<WaveView> {
    this.options.fleet.waves.getOrThrow(wave);
    const reason = `paused by ${author}`;
    await this.order({ type: 'wave-paused', wave, reason }, 'wave-conflict');
    return this.getWave(wave);
  }

  /** {@inheritDoc OperatorPort.resumeWave} */
  async resumeWave(wave: string, author: string): Promise<WaveView> {
    this.options.fleet.waves.getOrThrow(wave);
    await this.order({ type: 'wave-resumed', wave, author }, 'wave-conflict');
    return this.getWave(wave);
  }

  /** {@inheritDoc OperatorPort.getWave} */
  getWave(wave: string): WaveView {
    return this.viewWave(this.options.fleet.waves.getOrThrow(wave));
  }

  /** {@inheritDoc OperatorPort.listWaves} */
  listWaves(): readonly WaveView[] {
    return this.options.fleet.waves.list().map((wave) => this.viewWave(wave));
  }

  /** {@inheritDoc OperatorPort.explain} */
  async explain(subject: string): Promise<readonly string[]> {
    const { fleet, instance, explainHere } = this.options;
    const others = fleet.instances
      .list()
      .filter((row) => row.state === 'joined' && row.instance !== instance);
    const request: PeerRequest = { type: 'explain', subject };
    const replies = await Promise.all(
      others.map((row) =>
        this.options.peers
          .call(toPeerAddress(row), request, PEER_WAIT_MS)
          .catch((): PeerReply => ({ type: 'done' })),
      ),
    );
    const elsewhere = replies.flatMap((reply) => parseState<readonly string[]>(reply) ?? []);
    const lines = [...explainHere(subject), ...elsewhere].toSorted();
    return lines.length > 0 ? lines : [`Nothing is known of ${subject}.`];
  }

  private async order(body: RecordBody, conflictKind: ErrorKind): Promise<void> {
    const { writer, clock } = this.options;
    const deadlineMs = clock.monotonicMs() + WRITE_WAIT_MS;
    const result = await writer.write(body, { deadlineMs });
    switch (result.type) {
      case 'accepted':
        return;
      case 'rejected':
        throwError(conflictKind, result.reason);
        break;
      case 'not-written':
        throwError('log-unavailable', `The log does not answer: ${result.reason}`);
        break;
      case 'unknown':
        // Failure: the order stands on the log and comes into force after its author was told that
        // it does not.
        throwError('outcome-unknown', `The order may come into force yet: ${result.reason}`);
        break;
      default:
        assertNever(result);
    }
  }

  private async viewPool(home: HomeRow): Promise<PoolView> {
    const { pool, instance, term } = home;
    const settings = this.options.getPoolSettings(pool);
    const state = await this.askPoolState(home);
    return {
      pool,
      home: instance,
      term,
      neededSlotCount: settings?.neededSlotCount ?? 0,
      usableSlotCount: state?.usableSlotCount ?? 0,
      vmCount: state?.vmCount ?? 0,
      acceptingVmCount: state?.acceptingVmCount ?? 0,
      runningJobCount: state?.runningJobCount ?? 0,
      queuedJobCount: state?.queuedJobCount ?? 0,
      budget: state?.budget ?? 'unknown: the home does not answer',
    };
  }

  private async askPoolState(home: HomeRow): Promise<PoolState | undefined> {
    const row = this.options.fleet.instances.get(home.instance ?? '');
    if (row === undefined) return undefined;
    const request: PeerRequest = { type: 'get-pool-state', pool: home.pool };
    const { instance, handleLocally, peers } = this.options;
    const asked =
      row.instance === instance
        ? handleLocally(instance, request)
        : peers.call(toPeerAddress(row), request, PEER_WAIT_MS);
    return parseState<PoolState>(await asked.catch((): PeerReply => ({ type: 'done' })));
  }

  private viewVm(row: VmRow): VmView {
    const { vm, worker, rack, dataCentre, slotCount, state } = row;
    const pool = this.options.fleet.assignments.get(vm)?.pool;
    const drainedBy = this.options.fleet.drains.get(vm)?.author;
    return { vm, worker, rack, dataCentre, pool, slotCount, state, drainedBy };
  }

  private viewWave(wave: WaveRow): WaveView {
    const { fleet } = this.options;
    const steps = fleet.waveSteps.list().filter((step) => step.wave === wave.wave);
    const members = fleet.assignments
      .list()
      .filter((row) => row.pool !== undefined && wave.pools.includes(row.pool));
    const countOf = (state: string) => steps.filter((step) => step.state === state).length;
    return {
      wave: wave.wave,
      pools: wave.pools,
      state: isWaveFinished(wave) ? 'finished' : wave.state,
      reason: wave.reason,
      vmCount: new Set([...members.map((row) => row.vm), ...steps.map((step) => step.vm)]).size,
      maintainedVmCount: countOf('maintained'),
      failedVmCount: countOf('failed'),
      stepsInProgress: steps.filter((step) => step.state === 'intended').map((step) => step.vm),
    };
  }
}
