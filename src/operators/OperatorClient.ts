import { RattanliftError } from '../errors/index.js';
import type { DaemonTransport } from './DaemonTransport.js';
import type {
  InstanceView,
  PoolView,
  PublicationView,
  SettingsView,
  VmView,
  WaveView,
} from './OperatorPort.js';
import { OPERATOR_PREFIX } from './registerOperatorRoutes.js';

/** Options of {@link OperatorClient}. */
export interface OperatorClientOptions {
  readonly transport: DaemonTransport;
}

/** A document to publish. */
export interface PublishRequest {
  readonly document: string;
  /** Version that the operator saw; 0 for the first publication. */
  readonly baseVersion: number;
  readonly author: string;
  /** Name to show with problems. */
  readonly fileName: string;
}

/** The operators' interface of a list of daemons, as the command line uses it. */
export class OperatorClient {
  private readonly transport: DaemonTransport;

  /**
   * Creates the client.
   * @param options - Transport to the daemons.
   */
  constructor(options: OperatorClientOptions) {
    this.transport = options.transport;
  }

  /**
   * Publishes a team's settings.
   *
   * It is safe to send twice: the version that the operator saw travels in the record, so of two
   * equal records one is accepted. When the answer to the accepted one was lost, the second is
   * refused as a conflict with the first; then the document in force is the operator's own.
   * @param team - Team that the document is of.
   * @param request - Document, version that the operator saw, and the operator's name.
   * @returns The settings now in force.
   * @throws RattanliftError Of kind `settings-invalid`, `settings-conflict` or `log-unavailable`.
   */
  async publishSettings(team: string, request: PublishRequest): Promise<SettingsView> {
    try {
      return await this.write<SettingsView>('/settings', request);
    } catch (error) {
      if (!(error instanceof RattanliftError) || error.kind !== 'settings-conflict') throw error;
      const inForce = await this.getSettings(team);
      const isOwn = inForce?.document === request.document && inForce.author === request.author;
      if (!isOwn) throw error;
      return inForce;
    }
  }

  /** Lists the settings in force. */
  async listSettings(): Promise<readonly SettingsView[]> {
    return this.read('/settings');
  }

  /**
   * Gets the settings in force of a team.
   * @param team - Name of the team.
   * @returns Its settings; undefined where it has published none.
   */
  async getSettings(team: string): Promise<SettingsView | undefined> {
    const settings = await this.listSettings();
    return settings.find((view) => view.team === team);
  }

  /**
   * Lists publications, oldest first.
   * @param team - Only those of this team, where it is given.
   * @returns The publications.
   */
  async listPublications(team: string | undefined): Promise<readonly PublicationView[]> {
    const query = team === undefined ? '' : `?team=${encodeURIComponent(team)}`;
    return this.read(`/settings/history${query}`);
  }

  /** Lists pools with their capacity. */
  async listPools(): Promise<readonly PoolView[]> {
    return this.read('/pools');
  }

  /** Lists VMs. */
  async listVms(): Promise<readonly VmView[]> {
    return this.read('/vms');
  }

  /** Lists instances. */
  async listInstances(): Promise<readonly InstanceView[]> {
    return this.read('/instances');
  }

  /**
   * Keeps new work off a VM; ordered twice, it is drained once.
   * @param vm - Name of the VM.
   * @param author - Who orders it.
   * @returns The VM.
   */
  async drainVm(vm: string, author: string): Promise<VmView> {
    return this.write(`/vms/${encodeURIComponent(vm)}/drain`, { author });
  }

  /**
   * Cancels a drain.
   * @param vm - Name of the VM.
   * @param author - Who cancels it.
   * @returns The VM.
   */
  async undrainVm(vm: string, author: string): Promise<VmView> {
    return this.write(`/vms/${encodeURIComponent(vm)}/undrain`, { author });
  }

  /**
   * Starts a wave; never sent a second time when the answer was lost.
   * @param pools - Pools as `team/pool`.
   * @param author - Who starts it.
   * @returns The wave.
   * @throws RattanliftError Of kind `wave-conflict` where a pool is in a wave already.
   */
  async startWave(pools: readonly string[], author: string): Promise<WaveView> {
    return this.write('/waves', { pools, author }, false);
  }

  /**
   * Pauses a wave.
   * @param wave - Id of the wave.
   * @param author - Who pauses it.
   * @returns The wave.
   */
  async pauseWave(wave: string, author: string): Promise<WaveView> {
    return this.write(`/waves/${encodeURIComponent(wave)}/pause`, { author });
  }

  /**
   * Resumes a wave.
   * @param wave - Id of the wave.
   * @param author - Who resumes it.
   * @returns The wave.
   */
  async resumeWave(wave: string, author: string): Promise<WaveView> {
    return this.write(`/waves/${encodeURIComponent(wave)}/resume`, { author });
  }

  /**
   * Gets a wave's progress.
   * @param wave - Id of the wave.
   * @returns The wave.
   */
  async getWave(wave: string): Promise<WaveView> {
    return this.read(`/waves/${encodeURIComponent(wave)}`);
  }

  /** Lists waves. */
  async listWaves(): Promise<readonly WaveView[]> {
    return this.read('/waves');
  }

  /**
   * Asks why a job was placed or refused, or why a wave waits.
   * @param subject - A request id, a wave, or a pool.
   * @returns Lines for a person, the latest last.
   */
  async explain(subject: string): Promise<readonly string[]> {
    return this.read(`/explain?subject=${encodeURIComponent(subject)}`);
  }

  private async read<Answer>(path: string): Promise<Answer> {
    const request = {
      method: 'GET',
      path: `${OPERATOR_PREFIX}${path}`,
      isRepeatable: true,
    } as const;
    return (await this.transport.send(request)) as Answer;
  }

  private async write<Answer>(path: string, body: object, isRepeatable = true): Promise<Answer> {
    return (await this.transport.send({
      method: 'POST',
      path: `${OPERATOR_PREFIX}${path}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      isRepeatable,
    })) as Answer;
  }
}
