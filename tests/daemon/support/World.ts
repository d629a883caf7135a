import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { PlatformStandIn } from '../../../standins/platform/index.js';
import { TargetStandIn, type TargetsConfig } from '../../../standins/targets/index.js';
import { makeFleet } from '../../support/makeFleet.js';
import { endProcesses, startProcess } from '../../support/startProcess.js';
import { operate, type RunningDaemon } from './callDaemon.js';

const HOST = '127.0.0.1';
const POLL_MS = 25;

/** Settings of a team with one pool of quick page saves, searches and nightly archiving. */
export const WIKI_SETTINGS = JSON.stringify({
  formatVersion: 1,
  team: 'wiki',
  pools: {
    pages: {
      neededSlotCount: 8,
      availability: { failureDomain: 'rack', maxUnavailableFraction: 0.5 },
      jobKinds: {
        save: {
          coreCount: 1,
          memoryMb: 256,
          expectedRunMs: 50,
          idempotent: false,
          urgency: 'urgent',
        },
        search: { coreCount: 1, memoryMb: 256, expectedRunMs: 50, idempotent: true },
        archive: {
          coreCount: 1,
          memoryMb: 256,
          expectedRunMs: 60_000,
          idempotent: true,
          urgency: 'overnight',
          checkpointable: true,
        },
      },
    },
  },
});

/** Stand-ins of platform and targets in this process, and daemons as processes of their own. */
export class World {
  readonly platform = new PlatformStandIn();

  targets!: TargetStandIn;

  readonly daemons: RunningDaemon[] = [];

  private platformPort = 0;

  private readonly folder = mkdtempSync(join(tmpdir(), 'rattanlift-'));

  /** Starts platform and targets: eight VMs of four slots, on four racks in two data centres. */
  async start(targetsConfig: Partial<TargetsConfig> = {}): Promise<void> {
    this.platformPort = (await this.platform.start()).port;
    const vms = makeFleet({
      workerCount: 8,
      vmCountPerWorker: 1,
      workerCountPerRack: 2,
      dataCentres: ['north', 'south'],
    });
    const { platformPort } = this;
    this.targets = new TargetStandIn({ vms, platformPort, rebootMs: 300, ...targetsConfig });
    await this.targets.start();
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    await endProcesses();
    await this.targets.stop();
    await this.platform.stop();
  }

  /** Port of the log service. */
  get logPort(): number {
    return this.platformPort;
  }

  /** Has the platform tell that a VM is leaving. */
  async leave(vm: string): Promise<void> {
    await request(`http://${HOST}:${this.platformPort}/v1/vms/${vm}/leave`, { method: 'POST' });
  }

  /** Starts a daemon and waits until it listens; `logPort` leads to the log by another way. */
  async startDaemon(
    name: string,
    logPort = this.platformPort,
    extra: Readonly<Record<string, unknown>> = {},
  ): Promise<RunningDaemon> {
    const file = join(this.folder, `${name}.jsonc`);
    const platform = { host: HOST, port: this.platformPort };
    const config = {
      name,
      dataCentre: 'north',
      callers: { host: HOST, port: 0 },
      peers: { host: HOST, port: 0 },
      log: { host: HOST, port: logPort },
      vms: platform,
      logLevel: 'debug',
      snapshotEveryRecordCount: 10,
      ...extra,
    };
    writeFileSync(file, JSON.stringify(config));
    const process = await startProcess({
      program: 'src/daemon/main.js',
      args: ['--config', file],
      readyLine: /daemonStarted/,
    });
    const line = process.logLines.find((entry) => entry.event === 'daemonStarted')!;
    const daemon = {
      name,
      instance: line.instance as string,
      port: line.callerPort as number,
      process,
    };
    this.daemons.push(daemon);
    return daemon;
  }

  /** Starts daemons, publishes the settings and waits until every pool has a working home. */
  async startDaemons(names: readonly string[], document = WIKI_SETTINGS): Promise<void> {
    await Promise.all(names.map((name) => this.startDaemon(name)));
    await this.publish(document, 0);
    await this.waitForHomes(names.length);
  }

  /** Publishes settings through a daemon. */
  async publish(document: string, baseVersion: number, daemon = this.daemons[0]!) {
    const path = '/operators/v1/settings';
    return operate(daemon, 'POST', path, { document, baseVersion, author: 'operator' });
  }

  /** Waits until as many instances are joined and each pool can carry its jobs. */
  async waitForHomes(instanceCount: number, daemon = this.daemons[0]!): Promise<void> {
    await this.waitFor(async () => {
      const instances = await operate(daemon, 'GET', '/operators/v1/instances');
      const joined = (instances.body as unknown as { state: string }[]).filter(
        ({ state }) => state === 'joined',
      );
      const pools = await operate(daemon, 'GET', '/operators/v1/pools');
      const rows = pools.body as unknown as { budget: string; usableSlotCount: number }[];
      const isReady = rows.length > 0 && rows.every((row) => row.budget === 'within');
      return joined.length === instanceCount && isReady;
    });
  }

  /** Gets the daemon that is the home of the only pool. */
  async getHome(daemon = this.daemons[0]!): Promise<RunningDaemon> {
    const pools = await operate(daemon, 'GET', '/operators/v1/pools');
    const { home } = (pools.body as unknown as { home: string }[])[0]!;
    return this.daemons.find(({ instance }) => instance === home)!;
  }

  /** Counts how often a request was started on any target. */
  countStarts(requestId: string): number {
    return this.targets.listStarts().filter((start) => start.requestId === requestId).length;
  }

  /** Waits until a condition holds; the test's own time limit ends it otherwise. */
  async waitFor(condition: () => Promise<boolean> | boolean): Promise<void> {
    const holds = await Promise.resolve(condition()).catch(() => false);
    if (holds) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
    await this.waitFor(condition);
  }
}
