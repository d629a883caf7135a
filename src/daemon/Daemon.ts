import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';
import { createHttpServer, registerCallerRoutes } from '../callers/index.js';
import { DEFAULT_LEASE_TIMING, Membership } from '../membership/index.js';
import { registerOperatorRoutes } from '../operators/index.js';
import { KeyedOnce, rankByRendezvous, waitUntil } from '../utils/index.js';
import type { DaemonOptions } from './DaemonOptions.js';
import { InstanceParts } from './InstanceParts.js';

const TICK_MS = 50;
const SNAPSHOT_KEY = 'snapshots';
const SNAPSHOT_CHECK_EVERY_MS = 1_000;
const LEAVE_WAIT_MS = 2_000;

/** One instance from its start to its end. */
export class Daemon {
  private readonly options: DaemonOptions;

  private readonly parts: InstanceParts;

  private readonly work = new KeyedOnce();

  private membership: Membership | undefined;

  private server: FastifyInstance | undefined;

  private ticker: NodeJS.Timeout | undefined;

  /**
   * Creates a daemon that has not started.
   * @param options - Settings, name, log lines and metrics.
   */
  constructor(options: DaemonOptions) {
    this.options = options;
    const holdsLease = (): boolean => this.membership?.holdsLease() ?? false;
    this.parts = new InstanceParts({ ...options, holdsLease });
  }

  /**
   * Starts to listen, joins, and takes part.
   * @returns Ports on which callers and peers are listened to.
   */
  async start(): Promise<{ readonly callerPort: number; readonly peerPort: number }> {
    const { config, instance, events } = this.options;
    const { port: peerPort } = await this.parts.peerServer.start();
    const callerPort = await this.startHttpServer();
    const { dataCentre, peers } = config;
    this.membership = new Membership({
      self: { instance, host: peers.host, peerPort, callerPort, dataCentre },
      tables: this.parts.fleet,
      writer: this.parts.writer,
      clock: this.parts.clock,
      events,
      metrics: this.options.metrics,
      timing: DEFAULT_LEASE_TIMING,
      getReadToEndAtMs: () =>
        this.parts.follower.isLogUnavailable ? undefined : this.parts.follower.lastReachedAtMs,
    });
    this.parts.follower.start();
    this.ticker = setInterval(() => this.tick(), TICK_MS);
    events.write('daemonStarted', { callerPort, peerPort, dataCentre });
    return { callerPort, peerPort };
  }

  /**
   * Stops without cutting off a request: refuses new work, hands the homes over, finishes what is
   * in progress, leaves.
   */
  async stop(): Promise<void> {
    const { config, events } = this.options;
    events.write('daemonStopping', { unfinishedCount: this.parts.entry.unfinishedCount });
    const deadlineMs = this.parts.clock.monotonicMs() + config.stopWaitMs;
    this.parts.entry.stopAcceptingJobs();
    const closing = this.server?.close();
    // Failure: the last instance gives its homes up first, and then waits in vain for a home that
    // takes the outcomes of its jobs. With nobody to hand over to, it keeps them to the end.
    if (!this.hasOthers()) await this.waitForUnfinished(deadlineMs);
    await this.handOver();
    await this.finishAfterLeave(deadlineMs);
    clearInterval(this.ticker);
    await closing;
    this.parts.writer.close();
    await this.parts.follower.stop();
    await this.parts.peerServer.stop();
    this.parts.peers.close();
    events.write('daemonStopped', { unfinishedCount: this.parts.entry.unfinishedCount });
  }

  private async startHttpServer(): Promise<number> {
    const { host, port } = this.options.config.callers;
    const server = createHttpServer({
      clock: this.parts.clock,
      events: this.options.events,
      getEarlierOutcome: (requestId) => this.parts.notRunCheck.findEarlierOutcome(requestId),
    });
    registerCallerRoutes(server, this.parts.entry, {
      clock: this.parts.clock,
      events: this.options.events,
    });
    await registerOperatorRoutes(
      server,
      this.parts.operations,
      this.parts.clock,
      this.options.events,
    );
    await server.listen({ host, port });
    this.server = server;
    return (server.server.address() as AddressInfo).port;
  }

  private tick(): void {
    try {
      this.parts.directory.tick();
      this.membership?.tick();
      this.parts.homes.tick();
      this.parts.keeper.tick();
      this.parts.reporter.tick();
      this.parts.entry.tick();
      this.parts.catchUp.tick();
      this.writeSnapshotIfDue();
      this.reportLag();
    } catch (thrown) {
      const reason = thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown);
      this.options.events.write('unexpectedError', { reason });
    }
  }

  private reportLag(): void {
    this.options.metrics.gauge('log_lag_records', this.parts.follower.getLagCount());
  }

  private writeSnapshotIfDue(): void {
    const { instance } = this.options;
    if (this.work.has(SNAPSHOT_KEY) || !this.membership?.holdsLease()) return;
    const joined = this.parts.fleet.instances.list().filter((row) => row.state === 'joined');
    const names = joined.map((row) => row.instance);
    if (rankByRendezvous(SNAPSHOT_KEY, names)[0] !== instance) return;
    this.work.start(SNAPSHOT_KEY, async () => {
      await this.parts.snapshots.writeIfDue().catch((thrown: unknown) => {
        this.options.events.write('unexpectedError', { reason: String(thrown) });
      });
      await sleep(SNAPSHOT_CHECK_EVERY_MS);
    });
  }

  private hasOthers(): boolean {
    const { instance } = this.options;
    return this.parts.fleet.instances
      .list()
      .some((row) => row.state === 'joined' && row.instance !== instance);
  }

  private async handOver(): Promise<void> {
    this.parts.homes.stop();
    await this.membership?.leave(this.parts.clock.monotonicMs() + LEAVE_WAIT_MS);
  }

  /**
   * Failure: all instances are stopped at once. Each sees the others as joined, leaves its homes to
   * them and waits for its whole limit, and no outcome of a save in progress is recorded. The log
   * shows when nobody is joined any more; whoever has work left then joins again, claims the homes
   * and keeps them until its outcomes are recorded.
   */
  private async finishAfterLeave(deadlineMs: number): Promise<void> {
    await this.waitUntil(() => this.isFinished() || !this.hasOthers(), deadlineMs);
    if (this.isFinished() || this.parts.clock.monotonicMs() >= deadlineMs) return;
    this.parts.homes.resume();
    this.membership?.rejoin();
    await this.waitForUnfinished(deadlineMs);
    await this.handOver();
  }

  private isFinished(): boolean {
    return this.parts.entry.unfinishedCount === 0 && this.parts.reporter.size === 0;
  }

  private waitForUnfinished(deadlineMs: number): Promise<void> {
    return this.waitUntil(() => this.isFinished(), deadlineMs);
  }

  private waitUntil(condition: () => boolean, deadlineMs: number): Promise<void> {
    const { clock } = this.parts;
    return waitUntil(condition, { clock, deadlineMs, checkEveryMs: TICK_MS });
  }
}
