import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { endProcesses, type ManagedProcess, startProcess } from '../../standins/processes/index.js';
import { makeFleet } from '../../standins/targets/index.js';

/** A daemon under measurement. */
export interface PathDaemon {
  readonly instance: string;
  readonly port: number;
  readonly managed: ManagedProcess;
}

const HOST = '127.0.0.1';
const LISTENING = /^listening (\d+)$/;
const POLL_MS = 10;
const SLOT_COUNT = 64;
const KB_PER_MB = 1024;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const TICKS_PER_S = 100;

const SETTINGS = JSON.stringify({
  formatVersion: 1,
  team: 'bench',
  pools: {
    pages: {
      neededSlotCount: 256,
      availability: { failureDomain: 'rack', maxUnavailableFraction: 0.5 },
      jobKinds: {
        save: {
          coreCount: 1,
          memoryMb: 64,
          expectedRunMs: 5,
          idempotent: false,
          urgency: 'urgent',
        },
        search: { coreCount: 1, memoryMb: 64, expectedRunMs: 5, idempotent: true },
      },
    },
  },
});

async function ask(daemon: PathDaemon, path: string): Promise<unknown> {
  const answer = await request(`http://${HOST}:${daemon.port}${path}`);
  return answer.body.json();
}

/** Stand-ins and daemons as processes, with one pool of quick jobs. */
export class PathCluster {
  daemons: PathDaemon[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'rattanlift-bench-'));

  private platformPort = 0;

  private targetsPort = 0;

  /**
   * Starts everything and waits until the pool can carry its jobs.
   * @param daemonCount - Count of entry VMs.
   */
  async start(daemonCount: number): Promise<void> {
    this.platformPort = await this.startStandIn('platform', {});
    const vms = makeFleet({
      workerCount: 12,
      vmCountPerWorker: 1,
      workerCountPerRack: 3,
      dataCentres: ['north', 'south'],
      coreCount: SLOT_COUNT,
      slotCount: SLOT_COUNT,
    });
    const { platformPort } = this;
    this.targetsPort = await this.startStandIn('targets', { vms, platformPort, defaultRunMs: 1 });
    const names = Array.from({ length: daemonCount }, (_none, index) => `entry-${index + 1}`);
    this.daemons = await Promise.all(names.map((name) => this.startDaemon(name)));
    await this.publish(SETTINGS, 0);
    await this.waitFor(() => this.isReady(daemonCount));
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    await endProcesses();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /**
   * Gets the home of the pool.
   * @param asked - Daemon that is asked.
   * @returns The daemon, or undefined between two homes.
   */
  async getHome(asked = this.daemons[0]!): Promise<PathDaemon | undefined> {
    const [pool] = (await ask(asked, '/operators/v1/pools')) as { home?: string }[];
    return this.daemons.find(({ instance }) => instance === pool?.home);
  }

  /**
   * Publishes settings.
   * @param document - The settings.
   * @param baseVersion - Version that they start from.
   * @returns The version now in force.
   */
  async publish(document: string, baseVersion: number): Promise<number> {
    const answer = await request(`http://${HOST}:${this.daemons[0]!.port}/operators/v1/settings`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ document, baseVersion, author: 'bench' }),
    });
    return ((await answer.body.json()) as { version: number }).version;
  }

  /**
   * Publishes the same settings again and counts how long the last instance takes.
   * @param baseVersion - Version in force.
   * @returns Version now in force, and milliseconds until every instance shows it.
   */
  async measureRollOut(baseVersion: number): Promise<{ version: number; rollOutMs: number }> {
    const startedAtMs = performance.now();
    const version = await this.publish(SETTINGS, baseVersion);
    const isInForce = async () => {
      const versions = await Promise.all(
        this.daemons.map((daemon) => PathCluster.readVersion(daemon)),
      );
      return versions.every((seen) => seen >= version);
    };
    await this.waitFor(isInForce);
    return { version, rollOutMs: performance.now() - startedAtMs };
  }

  /**
   * Reads the version in force at a daemon.
   * @param daemon - The daemon.
   * @returns The version.
   */
  static async readVersion(daemon: PathDaemon): Promise<number> {
    const [row] = (await ask(daemon, '/operators/v1/settings')) as { version: number }[];
    return row?.version ?? 0;
  }

  /**
   * Lists the VMs as the platform lists them.
   * @returns Name and port of each.
   */
  async listVms(): Promise<readonly { vm: string; port: number }[]> {
    const answer = await request(`http://${HOST}:${this.platformPort}/v1/vms`);
    return ((await answer.body.json()) as { vms: { vm: string; port: number }[] }).vms;
  }

  /**
   * Has a VM leave, by an operator's drain or by the platform's list.
   * @param vm - The VM.
   * @param how - Who says so.
   */
  async takeOut(vm: string, how: 'drain' | 'leave'): Promise<void> {
    const port = how === 'drain' ? this.daemons[0]!.port : this.platformPort;
    const prefix = how === 'drain' ? '/operators/v1' : '/v1';
    const answer = await request(`http://${HOST}:${port}${prefix}/vms/${vm}/${how}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(how === 'drain' ? { author: 'bench' } : {}),
    });
    await answer.body.dump();
  }

  /**
   * Lists every start of a task.
   * @returns VM and wall-clock time of each.
   */
  async listStarts(): Promise<readonly { vm: string; startedAtMs: number }[]> {
    const answer = await request(`http://${HOST}:${this.targetsPort}/v1/starts`);
    return (await answer.body.json()) as { vm: string; startedAtMs: number }[];
  }

  /**
   * Reads how many appends the log has taken, each with one record or many.
   * @returns Count of appends, and of their records.
   */
  async readAppends(): Promise<{ appendCount: number; appendedRecordCount: number }> {
    const answer = await request(`http://${HOST}:${this.platformPort}/v1/stats`);
    return (await answer.body.json()) as { appendCount: number; appendedRecordCount: number };
  }

  /**
   * Reads the resident memory of a daemon.
   * @param daemon - The daemon.
   * @returns Megabytes.
   */
  static readRssMb(daemon: PathDaemon): number {
    const status = readFileSync(`/proc/${daemon.managed.pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
  }

  /**
   * Reads the processor time that a daemon has used.
   * @param daemon - The daemon.
   * @returns Seconds.
   */
  static readCpuS(daemon: PathDaemon): number {
    const stat = readFileSync(`/proc/${daemon.managed.pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) / TICKS_PER_S;
  }

  /**
   * Waits until a condition holds.
   * @param condition - The condition.
   */
  async waitFor(condition: () => Promise<boolean>): Promise<void> {
    if (await condition().catch(() => false)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
    await this.waitFor(condition);
  }

  private async isReady(daemonCount: number): Promise<boolean> {
    const instances = (await ask(this.daemons[0]!, '/operators/v1/instances')) as object[];
    const pools = (await ask(this.daemons[0]!, '/operators/v1/pools')) as { budget: string }[];
    return instances.length === daemonCount && pools[0]?.budget === 'within';
  }

  private async startStandIn(name: string, config: unknown): Promise<number> {
    const path = join(this.folder, `${name}.jsonc`);
    writeFileSync(path, JSON.stringify(config));
    const program = `standins/${name}/main.js`;
    const managed = await startProcess({ program, args: ['--config', path] });
    const [, port] = await managed.waitForLine(LISTENING);
    return Number(port);
  }

  private async startDaemon(name: string): Promise<PathDaemon> {
    const any = { host: HOST, port: 0 };
    const platform = { host: HOST, port: this.platformPort };
    const config = {
      name,
      dataCentre: 'north',
      callers: any,
      peers: any,
      log: platform,
      vms: platform,
    };
    const path = join(this.folder, `${name}.jsonc`);
    writeFileSync(path, JSON.stringify(config));
    const managed = await startProcess({
      program: 'src/daemon/main.js',
      args: ['--config', path],
      readyLine: /"event":"daemonStarted"/,
    });
    const line = managed.logLines.find((entry) => entry.event === 'daemonStarted')!;
    return { instance: String(line.instance), port: Number(line.callerPort), managed };
  }
}
