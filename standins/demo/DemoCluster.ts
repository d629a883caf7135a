import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { endProcesses, ManagedProcess, startProcess } from '../processes/index.js';
import type { TaskStart } from '../targets/index.js';
import type { DemoUser } from './demoUsers.js';

/** A running daemon. */
export interface DemoDaemon {
  readonly name: string;
  readonly callerPort: number;
  readonly managed: ManagedProcess;
}

/** Outcome of one command line. */
export interface CliRun {
  readonly code: number | null;
  readonly lines: readonly string[];
  /** Parsed output, where it is JSON. */
  readonly json: unknown;
}

const HOST = '127.0.0.1';
const REBOOT_MS = 300;
const LISTENING = /^listening (\d+)$/;
const DAEMON_READY = /"event":"daemonStarted"/;
const DAEMON_STOP_WAIT_MS = 5_000;
const STOP_WAIT_MS = 10_000;

function parseLast(lines: readonly string[]): unknown {
  try {
    return JSON.parse(lines.join('\n'));
  } catch {
    return undefined;
  }
}

/** The processes of the demo, all on this machine and ended together. */
export class DemoCluster {
  private readonly directory = mkdtempSync(join(tmpdir(), 'rattanlift-demo-'));

  private targetsControlPort = 0;

  private platformControlPort = 0;

  private running: readonly DemoDaemon[] = [];

  /** Port on which the targets' stand-in takes faults. */
  get targetsPort(): number {
    return this.targetsControlPort;
  }

  /** Port of the platform's stand-in. */
  get platformPort(): number {
    return this.platformControlPort;
  }

  /** Daemons that were started. */
  get daemons(): readonly DemoDaemon[] {
    return this.running;
  }

  /**
   * Starts the stand-ins and the daemons.
   * @param users - Users whose VMs exist.
   * @param daemonCount - How many entry VMs there are.
   */
  async start(users: readonly DemoUser[], daemonCount: number): Promise<void> {
    const platformPort = await this.startStandIn('platform', {});
    this.platformControlPort = platformPort;
    this.targetsControlPort = await this.startStandIn('targets', {
      vms: users.flatMap((user) => user.vms),
      platformPort,
      rebootMs: REBOOT_MS,
    });
    const dataCentres = [...new Set(users.flatMap(({ vms }) => vms.map((vm) => vm.dataCentre)))];
    this.running = await Promise.all(
      Array.from({ length: daemonCount }, (_, index) =>
        this.startDaemon(
          `entry-${index + 1}`,
          dataCentres[index % dataCentres.length]!,
          platformPort,
        ),
      ),
    );
  }

  /**
   * Runs the operators' command line.
   * @param args - Its arguments.
   * @returns Exit code and output.
   */
  async runCli(args: readonly string[]): Promise<CliRun> {
    const daemons = this.running.map((daemon) => `${HOST}:${daemon.callerPort}`).join(',');
    const managed = await startProcess({
      program: 'src/cli/main.js',
      args: [...args, '--daemon', daemons, '--author', 'demo', '--json'],
    });
    const { code } = await managed.ended;
    return { code, lines: managed.lines, json: parseLast(managed.outputLines) };
  }

  /**
   * Writes a file that goes away with the cluster.
   * @param name - Name of the file.
   * @param content - What it holds.
   * @returns Its path.
   */
  writeFile(name: string, content: string): string {
    const path = join(this.directory, name);
    writeFileSync(path, content);
    return path;
  }

  /**
   * Lists every start of a task on a target.
   * @returns The starts.
   */
  async listStarts(): Promise<readonly TaskStart[]> {
    const response = await fetch(`http://${HOST}:${this.targetsPort}/v1/starts`);
    return (await response.json()) as readonly TaskStart[];
  }

  /**
   * Tells a daemon to stop and waits for it.
   * @param daemon - The daemon.
   * @returns Whether it ended by itself and says that it cut off no request.
   */
  static async stopDaemon({ managed }: DemoDaemon): Promise<boolean> {
    managed.signal('SIGTERM');
    const end = await managed.waitForEnd(STOP_WAIT_MS);
    const last = managed.logLines.find((line) => line.event === 'daemonStopped');
    return end?.code === 0 && last?.unfinishedCount === 0;
  }

  /** Ends whatever still runs and removes the files. */
  async destroy(): Promise<void> {
    await endProcesses();
    rmSync(this.directory, { recursive: true, force: true });
  }

  private async startStandIn(name: string, config: unknown): Promise<number> {
    const path = this.writeFile(`${name}.jsonc`, JSON.stringify(config));
    const managed = await startProcess({
      program: `standins/${name}/main.js`,
      args: ['--config', path],
    });
    const [, port] = await managed.waitForLine(LISTENING);
    return Number(port);
  }

  private async startDaemon(
    name: string,
    dataCentre: string,
    platformPort: number,
  ): Promise<DemoDaemon> {
    const any = { host: HOST, port: 0 };
    const platform = { host: HOST, port: platformPort };
    const config = {
      name,
      dataCentre,
      callers: any,
      peers: any,
      log: platform,
      vms: platform,
      // The last daemon finds no home any more that could take its last reports.
      stopWaitMs: DAEMON_STOP_WAIT_MS,
    };
    const path = this.writeFile(`${name}.jsonc`, JSON.stringify(config));
    const managed = await startProcess({
      program: 'src/daemon/main.js',
      args: ['--config', path],
      readyLine: DAEMON_READY,
    });
    const ready = managed.logLines.find((line) => line.event === 'daemonStarted')!;
    return { name, callerPort: Number(ready.callerPort), managed };
  }
}
