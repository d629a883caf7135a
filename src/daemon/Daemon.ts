import { randomUUID } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';
import { createHttpServer, registerCallerRoutes } from '../callers/index.js';
import {
  Entry,
  FinishReporter,
  GrantKeeper,
  HomeRouter,
  NotRunCheck,
  RetryBudget,
} from '../entry/index.js';
import { VmDirectory } from '../fleet/index.js';
import {
  type ApplyVerdict,
  LogFollower,
  LogWriter,
  serializeTables,
  SnapshotWriter,
} from '../log/index.js';
import type { EventLog } from '../logging/index.js';
import { DEFAULT_LEASE_TIMING, Membership } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import { registerOperatorRoutes } from '../operators/index.js';
import { PeerClient, type PeerHandler, PeerServer } from '../peers/index.js';
import { HttpLogPort, HttpVmPort } from '../platform/index.js';
import type { LogRecord } from '../records/index.js';
import type { PoolSettings } from '../settings/index.js';
import { FleetTables } from '../tables/index.js';
import { HttpTargetPort } from '../targets/index.js';
import { type Clock, KeyedOnce, rankByRendezvous, type Rng, SystemClock } from '../utils/index.js';
import { createPeerHandler } from './createPeerHandler.js';
import type { DaemonConfig } from './DaemonConfig.js';
import { HomeManager } from './HomeManager.js';
import { Operations } from './Operations.js';
import { PeerCatchUp } from './PeerCatchUp.js';
import { RecentEntries } from './RecentEntries.js';

/** Options of {@link Daemon}. */
export interface DaemonOptions {
  readonly config: DaemonConfig;
  /** Name of this start of the process; no other start ever has it. */
  readonly instance: string;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

const CONTROL_STREAM = 'control';
const TICK_MS = 50;
const MAX_READ_COUNT = 500;
const VM_LIST_EVERY_MS = 1_000;
const HOME_POLL_MS = 50;
/** At most 40 appends a second from each of eight instances, of the several hundred in all. */
const APPEND_GAP_MS = 25;
const APPEND_BURST_COUNT = 20;
const SNAPSHOT_KEY = 'snapshots';
const SNAPSHOT_AGE_MS = 3_600_000;
const RETRIES_PER_REQUEST = 0.1;
const MAX_SAVED_RETRY_COUNT = 20;
const LEAVE_WAIT_MS = 2_000;

const systemRng: Rng = { next: Math.random };

/** All parts of one instance, wired together. */
export class Daemon {
  private readonly options: DaemonOptions;

  private readonly clock: Clock = new SystemClock();

  private readonly fleet = new FleetTables();

  private readonly recentEntries = new RecentEntries();

  private readonly work = new KeyedOnce();

  private readonly peers: PeerClient;

  private readonly peerServer: PeerServer;

  private readonly follower: LogFollower;

  private readonly writer: LogWriter;

  private readonly log: HttpLogPort;

  private readonly directory: VmDirectory;

  private readonly keeper: GrantKeeper;

  private readonly reporter: FinishReporter;

  private readonly notRunCheck: NotRunCheck;

  private readonly entry: Entry;

  private readonly homes: HomeManager;

  private readonly snapshots: SnapshotWriter;

  private readonly catchUp: PeerCatchUp;

  private readonly operations: Operations;

  private readonly handlePeer: PeerHandler;

  private currentRead: Promise<boolean> = Promise.resolve(true);

  private nextRead: Promise<boolean> | undefined;

  private membership: Membership | undefined;

  private server: FastifyInstance | undefined;

  private ticker: NodeJS.Timeout | undefined;

  /**
   * Wires an instance that has not started.
   * @param options - Settings, name, log lines and metrics.
   */
  constructor(options: DaemonOptions) {
    this.options = options;
    const { config, instance, events, metrics } = options;
    const { clock, fleet } = this;
    const getPoolSettings = this.getPoolSettings.bind(this);
    const isLogOut = (): boolean => this.follower.isLogOut;
    const handleLocally: PeerHandler = (from, request) => this.handlePeer(from, request);
    this.log = new HttpLogPort(config.log);
    this.follower = this.createFollower();
    this.writer = new LogWriter({
      log: this.log,
      follower: this.follower,
      stream: CONTROL_STREAM,
      tables: fleet,
      writer: instance,
      clock,
      makeRecordId: randomUUID,
      appendGapMs: APPEND_GAP_MS,
      appendBurstCount: APPEND_BURST_COUNT,
    });
    const vmPort = new HttpVmPort(config.vms);
    const targets = new HttpTargetPort();
    this.directory = new VmDirectory({
      vmPort,
      clock,
      events,
      refreshEveryMs: VM_LIST_EVERY_MS,
    });
    this.peers = new PeerClient({ instance, events, metrics, clock });
    const { peers, writer, directory } = this;
    const router = new HomeRouter({ instance, fleet, peers, handleLocally, isLogOut });
    this.keeper = new GrantKeeper({ router, targets, clock });
    this.reporter = new FinishReporter({ router, clock });
    const readToEnd = this.readToEnd.bind(this);
    this.notRunCheck = new NotRunCheck({ instance, fleet, readToEnd });
    let attemptNumber = 0;
    this.entry = new Entry({
      context: {
        instance,
        router,
        keeper: this.keeper,
        reporter: this.reporter,
        targets,
        retryBudget: new RetryBudget({
          earnedPerRequest: RETRIES_PER_REQUEST,
          maxSavedCount: MAX_SAVED_RETRY_COUNT,
        }),
        clock,
        events,
        metrics,
        createAttemptId: () => {
          attemptNumber += 1;
          return `${instance}.${attemptNumber}`;
        },
        waitForHome: async (_pool, signal) => {
          await sleep(HOME_POLL_MS, undefined, { signal }).catch(() => undefined);
        },
      },
      fleet,
      peers,
      notRunCheck: this.notRunCheck,
      getPoolSettings,
    });
    this.homes = new HomeManager({
      instance,
      fleet,
      directory,
      writer,
      vmPort,
      targets,
      clock,
      rng: systemRng,
      events,
      metrics,
      peers,
      getPoolSettings,
      isLogOut,
      holdsLease: () => this.membership?.holdsLease() ?? false,
      listOwnGrants: (pool) =>
        this.keeper.list(pool).map((grant) => ({ ...grant, entry: instance })),
    });
    this.catchUp = new PeerCatchUp({ instance, fleet, follower: this.follower, peers });
    this.snapshots = new SnapshotWriter({
      log: this.log,
      tables: fleet,
      clock,
      events,
      makeSnapshotId: randomUUID,
      recordCount: config.snapshotEveryRecordCount,
      longestAgeMs: SNAPSHOT_AGE_MS,
    });
    const explainHere = this.explainHere.bind(this);
    this.handlePeer = createPeerHandler({
      getHome: (pool) => this.homes.get(pool),
      openStandIn: (pool) => this.homes.openStandIn(pool),
      keeper: this.keeper,
      entry: () => this.entry,
      follower: this.follower,
      readRecentEntries: (fromOffset, maxCount) => this.recentEntries.read(fromOffset, maxCount),
      serializeTables: () => JSON.stringify(serializeTables(fleet)),
      explainHere,
    });
    this.peerServer = new PeerServer({
      instance,
      host: config.peers.host,
      port: config.peers.port,
      handler: this.handlePeer,
      events,
    });
    this.operations = new Operations({
      instance,
      fleet,
      directory,
      writer,
      peers,
      clock,
      getPoolSettings,
      handleLocally,
      explainHere,
    });
  }

  /**
   * Starts to listen, joins, and takes part.
   * @returns Ports on which callers and peers are listened to.
   */
  async start(): Promise<{ readonly callerPort: number; readonly peerPort: number }> {
    const { config, instance, events } = this.options;
    const { port: peerPort } = await this.peerServer.start();
    const callerPort = await this.startHttpServer();
    const { dataCentre, peers } = config;
    this.membership = new Membership({
      self: { instance, host: peers.host, peerPort, callerPort, dataCentre },
      tables: this.fleet,
      writer: this.writer,
      clock: this.clock,
      events,
      metrics: this.options.metrics,
      timing: DEFAULT_LEASE_TIMING,
      getReadToEndAtMs: () => (this.follower.isLogOut ? undefined : this.follower.lastReachedAtMs),
    });
    this.follower.start();
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
    events.write('daemonStopping', { unfinishedCount: this.entry.unfinishedCount });
    const deadlineMs = this.clock.monotonicMs() + config.stopWaitMs;
    this.entry.stopTakingJobs();
    const closing = this.server?.close();
    // Failure: the last instance gives its homes up first, and then waits in vain for a home that
    // takes the outcomes of its jobs. With nobody to hand over to, it keeps them to the end.
    if (!this.hasOthers()) await this.waitForUnfinished(deadlineMs);
    this.homes.stop();
    await this.membership?.leave(this.clock.monotonicMs() + LEAVE_WAIT_MS);
    await this.waitForUnfinished(deadlineMs);
    clearInterval(this.ticker);
    await closing;
    this.writer.close();
    await this.follower.stop();
    await this.peerServer.stop();
    this.peers.close();
    events.write('daemonStopped', { unfinishedCount: this.entry.unfinishedCount });
  }

  private async startHttpServer(): Promise<number> {
    const { host, port } = this.options.config.callers;
    const server = createHttpServer({
      clock: this.clock,
      events: this.options.events,
      getEarlierOutcome: (requestId) => this.notRunCheck.findEarlierOutcome(requestId),
    });
    registerCallerRoutes(server, this.entry, { clock: this.clock, events: this.options.events });
    await registerOperatorRoutes(server, this.operations, this.clock, this.options.events);
    await server.listen({ host, port });
    this.server = server;
    return (server.server.address() as AddressInfo).port;
  }

  private createFollower(): LogFollower {
    return new LogFollower({
      log: this.log,
      stream: CONTROL_STREAM,
      tables: this.fleet,
      clock: this.clock,
      events: this.options.events,
      onApplied: (entry, record, verdict) => {
        this.recentEntries.add(entry);
        this.countRejected(record, verdict);
        if (record?.body.type !== 'settings-published' || verdict.type !== 'accepted') return;
        const { team } = record.body;
        const version = entry.offset + 1;
        this.options.events.write('settingsInForce', { team, version, author: record.body.author });
      },
    });
  }

  /**
   * Reads the log to its end by a read that is sent from now on, beside the follower. Whoever
   * comes while one is under way shares the next one.
   */
  private readToEnd(): Promise<boolean> {
    this.nextRead ??= this.currentRead.then(() => {
      this.nextRead = undefined;
      const read = this.readOnceToEnd();
      this.currentRead = read;
      return read;
    });
    return this.nextRead;
  }

  private async readOnceToEnd(): Promise<boolean> {
    const options = { stream: CONTROL_STREAM, maxCount: MAX_READ_COUNT, waitMs: 0 };
    try {
      const fromOffset = this.fleet.nextOffset;
      const result = await this.log.read({ ...options, fromOffset });
      if (result.type !== 'entries') return false;
      this.follower.offer(result.entries);
      return this.fleet.nextOffset >= result.endOffset;
    } catch {
      return false;
    }
  }

  private tick(): void {
    try {
      this.directory.tick();
      this.membership?.tick();
      this.homes.tick();
      this.keeper.tick();
      this.reporter.tick();
      this.entry.tick();
      this.catchUp.tick();
      this.writeSnapshotIfDue();
      this.reportLag();
    } catch (thrown) {
      const reason = thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown);
      this.options.events.write('unexpectedError', { reason });
    }
  }

  private countRejected(record: LogRecord | undefined, verdict: ApplyVerdict): void {
    if (verdict.type !== 'rejected') return;
    const type = record?.body.type ?? 'unreadable';
    this.options.metrics.increment('records_rejected', { type });
  }

  private reportLag(): void {
    this.options.metrics.gauge('log_lag_records', this.follower.getLagCount());
  }

  private writeSnapshotIfDue(): void {
    const { instance } = this.options;
    if (!this.membership?.holdsLease()) return;
    const joined = this.fleet.instances.list().filter((row) => row.state === 'joined');
    const names = joined.map((row) => row.instance);
    if (rankByRendezvous(SNAPSHOT_KEY, names)[0] !== instance) return;
    this.work.start(SNAPSHOT_KEY, async () => {
      await this.snapshots.writeIfDue().catch((thrown: unknown) => {
        this.options.events.write('unexpectedError', { reason: String(thrown) });
      });
      await sleep(VM_LIST_EVERY_MS);
    });
  }

  private hasOthers(): boolean {
    const { instance } = this.options;
    return this.fleet.instances
      .list()
      .some((row) => row.state === 'joined' && row.instance !== instance);
  }

  private async waitForUnfinished(deadlineMs: number): Promise<void> {
    const isDone = this.entry.unfinishedCount === 0 && this.reporter.size === 0;
    if (isDone || this.clock.monotonicMs() >= deadlineMs) return;
    await sleep(TICK_MS);
    await this.waitForUnfinished(deadlineMs);
  }

  private getPoolSettings(pool: string): PoolSettings | undefined {
    const separatorIndex = pool.indexOf('/');
    const pools = this.fleet.settings.get(pool.slice(0, separatorIndex))?.settings.pools;
    const name = pool.slice(separatorIndex + 1);
    return pools !== undefined && Object.hasOwn(pools, name) ? pools[name] : undefined;
  }

  private explainHere(subject: string): readonly string[] {
    const pool = this.homes.get(subject);
    const ofPool = pool === undefined ? [] : [pool.describe()];
    const ofRequest = this.homes.list().flatMap((home) => home.explainLog.get(subject));
    const ofWave = this.fleet.waves.has(subject)
      ? this.homes.list().flatMap((home) => home.getWaveReasons(subject))
      : [];
    return [...ofPool, ...ofRequest, ...ofWave];
  }
}
