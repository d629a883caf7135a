import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  Entry,
  FinishReporter,
  GrantRenewer,
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
import { PeerClient, type PeerHandler, PeerServer } from '../peers/index.js';
import { HttpLogPort, HttpVmPort } from '../platform/index.js';
import type { LogRecord } from '../records/index.js';
import { FleetTables } from '../tables/index.js';
import { HttpTargetPort } from '../targets/index.js';
import { type Clock, type Rng, SystemClock } from '../utils/index.js';
import { createPeerHandler } from './createPeerHandler.js';
import type { DaemonOptions } from './DaemonOptions.js';
import { getPoolSettings } from './getPoolSettings.js';
import { HomeManager } from './HomeManager.js';
import { LogEndReader } from './LogEndReader.js';
import { Operations } from './Operations.js';
import { PeerCatchUp } from './PeerCatchUp.js';
import { RecentEntries } from './RecentEntries.js';

/** Options of {@link InstanceParts}. */
export interface InstancePartsOptions extends DaemonOptions {
  /** Tells whether this instance's lease holds at this moment. */
  readonly holdsLease: () => boolean;
}

const CONTROL_STREAM = 'control';
const VM_LIST_EVERY_MS = 1_000;
const HOME_POLL_MS = 50;
/** At most 40 appends a second from each of eight instances, of the several hundred in all. */
const APPEND_GAP_MS = 25;
const APPEND_BURST_COUNT = 20;
const SNAPSHOT_AGE_MS = 3_600_000;
const RETRIES_PER_REQUEST = 0.1;
const MAX_SAVED_RETRY_COUNT = 20;

const systemRng: Rng = { next: Math.random };

/** The parts of one instance, wired together; the daemon starts, runs and stops them. */
export class InstanceParts {
  readonly clock: Clock = new SystemClock();

  readonly fleet = new FleetTables();

  readonly peers: PeerClient;

  readonly peerServer: PeerServer;

  readonly follower: LogFollower;

  readonly writer: LogWriter;

  readonly directory: VmDirectory;

  readonly keeper: GrantRenewer;

  readonly reporter: FinishReporter;

  readonly notRunCheck: NotRunCheck;

  readonly entry: Entry;

  readonly homes: HomeManager;

  readonly snapshots: SnapshotWriter;

  readonly catchUp: PeerCatchUp;

  readonly operations: Operations;

  private readonly options: InstancePartsOptions;

  private readonly recentEntries = new RecentEntries();

  private readonly log: HttpLogPort;

  private readonly vmPort: HttpVmPort;

  private readonly targets = new HttpTargetPort();

  private readonly handlePeer: PeerHandler;

  private attemptNumber = 0;

  /**
   * Wires the parts of an instance.
   * @param options - Settings, name, log lines, metrics and the lease.
   */
  constructor(options: InstancePartsOptions) {
    this.options = options;
    const { config, instance, events, metrics } = options;
    const { clock, fleet } = this;
    this.log = new HttpLogPort(config.log);
    this.vmPort = new HttpVmPort(config.vms);
    this.peers = new PeerClient({ instance, events, metrics, clock });
    this.follower = this.createFollower();
    this.writer = this.createWriter();
    this.directory = new VmDirectory({
      vmPort: this.vmPort,
      clock,
      events,
      refreshEveryMs: VM_LIST_EVERY_MS,
    });
    const { log, follower, peers, targets } = this;
    const router = this.createRouter();
    const endReader = new LogEndReader({ log, stream: CONTROL_STREAM, fleet, follower });
    const readToEnd = endReader.read.bind(endReader);
    this.notRunCheck = new NotRunCheck({ instance, fleet, readToEnd });
    this.keeper = new GrantRenewer({ router, targets, clock });
    this.reporter = new FinishReporter({ router, clock });
    this.entry = this.createEntry(router);
    this.homes = this.createHomes();
    this.catchUp = new PeerCatchUp({ instance, fleet, follower, peers });
    this.snapshots = this.createSnapshotWriter();
    this.handlePeer = this.createPeerHandler();
    const { host, port } = config.peers;
    this.peerServer = new PeerServer({ instance, host, port, handler: this.handlePeer, events });
    this.operations = this.createOperations();
  }

  private createWriter(): LogWriter {
    return new LogWriter({
      log: this.log,
      follower: this.follower,
      stream: CONTROL_STREAM,
      tables: this.fleet,
      writer: this.options.instance,
      clock: this.clock,
      makeRecordId: randomUUID,
      appendGapMs: APPEND_GAP_MS,
      appendBurstCount: APPEND_BURST_COUNT,
      onAppended: (tookMs) => this.options.metrics.timing('log_append_ms', tookMs),
    });
  }

  private createRouter(): HomeRouter {
    return new HomeRouter({
      instance: this.options.instance,
      fleet: this.fleet,
      peers: this.peers,
      handleLocally: (from, request) => this.handlePeer(from, request),
      isLogOut: () => this.follower.isLogUnavailable,
    });
  }

  private createEntry(router: HomeRouter): Entry {
    const { instance, events, metrics } = this.options;
    const { clock, fleet, peers, targets, keeper, reporter, notRunCheck } = this;
    const retryBudget = new RetryBudget({
      retriesPerRequest: RETRIES_PER_REQUEST,
      maxRetryCount: MAX_SAVED_RETRY_COUNT,
    });
    const createAttemptId = (): string => {
      this.attemptNumber += 1;
      return `${instance}.${this.attemptNumber}`;
    };
    const waitForHome = async (_pool: string, signal: AbortSignal): Promise<void> => {
      await sleep(HOME_POLL_MS, undefined, { signal }).catch(() => undefined);
    };
    const parts = { instance, router, grantRenewer: keeper, reporter, targets, retryBudget };
    const context = { ...parts, clock, events, metrics, createAttemptId, waitForHome };
    const findSettings = (pool: string) => getPoolSettings(fleet, pool);
    return new Entry({ context, fleet, peers, notRunCheck, getPoolSettings: findSettings });
  }

  private createHomes(): HomeManager {
    const { instance, events, metrics } = this.options;
    const { fleet, directory, writer, vmPort, targets, clock, peers } = this;
    return new HomeManager({
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
      getPoolSettings: (pool) => getPoolSettings(fleet, pool),
      isLogOut: () => this.follower.isLogUnavailable,
      holdsLease: this.options.holdsLease,
      listOwnGrants: (pool) =>
        this.keeper.list(pool).map((grant) => ({ ...grant, entry: instance })),
    });
  }

  private createSnapshotWriter(): SnapshotWriter {
    const { config, events } = this.options;
    return new SnapshotWriter({
      log: this.log,
      tables: this.fleet,
      clock: this.clock,
      events,
      makeSnapshotId: randomUUID,
      recordCount: config.snapshotEveryRecordCount,
      longestAgeMs: SNAPSHOT_AGE_MS,
    });
  }

  private createPeerHandler(): PeerHandler {
    return createPeerHandler({
      getHome: (pool) => this.homes.get(pool),
      openStandIn: (pool) => this.homes.openStandIn(pool),
      keeper: this.keeper,
      entry: () => this.entry,
      follower: this.follower,
      readRecentEntries: (fromOffset, maxCount) => this.recentEntries.read(fromOffset, maxCount),
      serializeTables: () => JSON.stringify(serializeTables(this.fleet)),
      explainHere: (subject) => this.explainHere(subject),
    });
  }

  private createOperations(): Operations {
    const { fleet, directory, writer, peers, clock } = this;
    return new Operations({
      instance: this.options.instance,
      fleet,
      directory,
      writer,
      peers,
      clock,
      getPoolSettings: (pool) => getPoolSettings(fleet, pool),
      handleLocally: (from, request) => this.handlePeer(from, request),
      explainHere: (subject) => this.explainHere(subject),
    });
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

  private countRejected(record: LogRecord | undefined, verdict: ApplyVerdict): void {
    if (verdict.type !== 'rejected') return;
    const type = record?.body.type ?? 'unreadable';
    this.options.metrics.increment('records_rejected', { type });
  }

  private explainHere(subject: string): readonly string[] {
    const pool = this.homes.get(subject);
    const ofPool = pool === undefined ? [] : [pool.vms.describe()];
    const ofRequest = this.homes.list().flatMap((home) => home.explainLog.get(subject));
    const ofWave = this.fleet.waves.has(subject)
      ? this.homes.list().flatMap((home) => home.vms.getWaveReasons(subject))
      : [];
    return [...ofPool, ...ofRequest, ...ofWave];
  }
}
