import { FleetHome, type WaveOrder } from '../fleetHome/index.js';
import {
  type DurableJobRequest,
  type HeartbeatOptions,
  type PeerAddress,
  PeerClient,
  type PeerReply,
  type PeerRequest,
  PeerServer,
} from '../peers/index.js';
import {
  ConfigurationFollower,
  ConfigurationPeers,
  isKeyWithdrawn,
  type Organisation,
  type QueueConfiguration,
  QueuePools,
} from '../queues/index.js';
import type { KeyedRecord } from '../store/index.js';
import { shouldHoldHomes } from '../systems/index.js';
import {
  announceMember,
  type FleetHomeContext,
  formatMember,
  getMaxAppendBytes,
  type GroupMember,
  handleJobRequest,
  HomeDirectory,
  JobGateway,
  PoolPartitions,
  RecordWriter,
  RelayedTargets,
  TargetDirectory,
  TaskHomes,
} from '../taskHome/index.js';
import { LoopLoad } from '../utils/index.js';
import { answerPeer } from './answerPeer.js';
import { createTimerWatch } from './createTimerWatch.js';
import type { JobNodeOptions } from './JobNodeOptions.js';
import { KnownPools } from './KnownPools.js';
import { measurePorts } from './measurePorts.js';
import type { TimerWatch } from './TimerWatch.js';

/** Group in which the nodes share the partitions of jobs, and role of the fleet's home. */
const GROUP = 'homes';
/** Topics of operators, targets and status have one partition. */
const ONLY_PARTITION = 0;

/** Longest lease asked of a target: it outlasts a takeover of 2.5 s, renewed each second. */
const TARGET_LEASE_MS = 5_000;
/** How long a target may hold a renewal back: at work tasks are reported that often. */
const TARGET_WAIT_MS = 1_000;
/** A member is given up after 1.5 s, three renewals and an answer of a slow store. */
const GROUP_TIMING = {
  ttlMs: 1_500,
  renewEveryMs: 400,
  shortestWaitMs: 300,
  longestWaitMs: 1_000,
};
/**
 * How connections between instances are watched while nothing is asked on them: rarely, as each
 * entry has one to each home. One on which a call meets silence is left after that call.
 */
const PEER_HEARTBEAT: HeartbeatOptions = { heartbeatMs: 3_000, silentHeartbeatLimit: 2 };
/** How often the homes of partitions are read without a need, in milliseconds. */
const HOMES_EVERY_MS = 1_000;

/** One instance of the engine of durable jobs: an entry to all homes, and homes of its own. */
export class JobNode {
  /** Takes jobs and questions about them. */
  readonly gateway: JobGateway;

  private readonly options: JobNodeOptions;

  private readonly configuration: ConfigurationFollower;

  private readonly configurationPeers: ConfigurationPeers;

  private readonly waveOrders = new Map<number, WaveOrder>();

  private readonly queuePools: QueuePools;

  private readonly knownPools: KnownPools;

  private readonly partitions: PoolPartitions;

  private homes: TaskHomes | undefined;

  private readonly homeDirectory: HomeDirectory;

  private readonly peers: PeerClient;

  private readonly peerServer: PeerServer;

  private readonly timerWatch: TimerWatch;

  private homesTimer: NodeJS.Timeout | undefined;

  private isStopping = false;

  /**
   * Wires a node that does nothing yet.
   * @param options - Its address, the ports, and what the platform sets.
   */
  constructor(options: JobNodeOptions) {
    const { address, clock, events, metrics, records } = options;
    this.timerWatch = createTimerWatch({ clock, events });
    const ports = measurePorts(options.ports, { metrics, clock });
    this.options = { loopLoad: new LoopLoad({ clock }), ...options, ports };
    const { instance, host, port } = address;
    const { partitionCount, queuePoolsTopic: topic } = records;
    this.queuePools = new QueuePools({ store: ports.store, topic, clock, events });
    const getConfiguration = (): QueueConfiguration | undefined => this.getConfiguration();
    this.knownPools = new KnownPools({ getConfiguration, queuePools: this.queuePools });
    const listPools = (): readonly string[] => this.knownPools.list();
    this.partitions = new PoolPartitions({ partitionCount, listPools });
    this.configuration = this.createConfigurationFollower();
    const heartbeat = PEER_HEARTBEAT;
    this.peers = new PeerClient({ instance, events, clock, heartbeat });
    this.homeDirectory = new HomeDirectory({
      groups: ports.groups,
      group: GROUP,
      instance,
      peers: this.peers,
      clock,
      events,
    });
    this.configurationPeers = new ConfigurationPeers({
      follower: this.configuration,
      peers: this.peers,
      listPeers: () => this.homeDirectory.listOtherMembers(),
      clock,
    });
    const handler = (_from: string, request: PeerRequest): Promise<PeerReply> =>
      answerPeer(request, {
        configuration: this.configuration,
        homeDirectory: this.homeDirectory,
        targets: ports.targets,
        handleJob: (job) => this.handleJob(job),
      });
    this.peerServer = new PeerServer({ instance, host, port, handler, events, heartbeat });
    this.gateway = new JobGateway({
      instance,
      peers: this.peers,
      handleLocally: (request) => this.handleJob(request),
      directory: this.homeDirectory,
      partitions: this.partitions,
      clock,
      metrics,
      events,
    });
  }

  /** Whether callers can be served: a configuration is in force and the node does not stop. */
  get isReady(): boolean {
    return !this.isStopping && this.getConfiguration() !== undefined;
  }

  /**
   * Gets the configuration in force.
   * @returns The configuration, or undefined before the first one was read.
   */
  getConfiguration(): QueueConfiguration | undefined {
    return this.configuration.get();
  }

  /** Time since the configuration was last known to be the newest one, in milliseconds. */
  get configurationAgeMs(): number {
    return this.configuration.ageMs;
  }

  /** Starts to serve peers, to follow the configuration and to hold homes. */
  async start(): Promise<void> {
    this.timerWatch.start();
    const { port } = await this.peerServer.start();
    this.configuration.start();
    this.configurationPeers.start();
    const { address, capacity } = this.options;
    const member = { address: { ...address, port }, capacity };
    this.homes = this.createHomes(formatMember(member));
    // Guards against a small instance that joins the group before it has read that larger ones hold
    // the homes, and leaves it a moment later: the platform shares the partitions out anew each
    // time, which shows as `taskHomeClosed` with `reassigned` wherever such an instance starts.
    await this.homeDirectory.refresh();
    this.homes.start();
    this.homesTimer = setInterval(() => {
      void this.lookForHomes(member);
    }, HOMES_EVERY_MS);
  }

  /** Hands every home over; requests in progress still find their homes elsewhere. */
  async handOver(): Promise<void> {
    this.isStopping = true;
    await this.homes?.stop();
  }

  /** Ends everything else, after {@link handOver} and the last request. */
  async stop(): Promise<void> {
    clearInterval(this.homesTimer);
    this.timerWatch.stop();
    this.configurationPeers.stop();
    this.configuration.stop();
    this.peers.close();
    await this.peerServer.stop();
  }

  /** Reads who holds the homes, and tells smaller holders of this instance where it holds none. */
  private async lookForHomes(member: GroupMember): Promise<void> {
    const { homeDirectory: directory, peers } = this;
    await Promise.all([directory.refresh(), this.readKnownPools()]);
    if (this.isStopping || this.homes?.isMember !== true) return;
    await announceMember({ member, directory, peers });
  }

  /** What was not read is read at the next look; the outage of the store is logged once. */
  private async readKnownPools(): Promise<void> {
    await this.knownPools.refresh().catch(() => undefined);
  }

  private createConfigurationFollower(): ConfigurationFollower {
    const { clock, ports, records, events } = this.options;
    return new ConfigurationFollower({
      store: ports.store,
      topic: records.operatorsTopic,
      partition: ONLY_PARTITION,
      key: records.configurationKey,
      decode: records.decodeConfiguration,
      clock,
      events,
      onOtherRecord: (record) => this.takeWave(record),
    });
  }

  private createTargets(): RelayedTargets {
    const { capacity, clock, events, loopLoad, ports } = this.options;
    const listRelays = (): readonly PeerAddress[] =>
      this.homeDirectory.listIdleMembers(this.partitions.listUsedPartitions());
    const { targets } = ports;
    const { coreCount } = capacity;
    const { peers } = this;
    return new RelayedTargets({ targets, peers, coreCount, listRelays, clock, events, loopLoad });
  }

  private createHomes(member: string): TaskHomes {
    const { bounds, capacity, clock, events, mechanisms, metrics, ports, records } = this.options;
    return new TaskHomes({
      maxAppendBytes: getMaxAppendBytes(capacity.linkMbps),
      maxRecordBytes: bounds.maxRecordBytes,
      linkMbps: capacity.linkMbps,
      mechanisms,
      refusesUnservableJobs: this.options.refusesUnservableJobs,
      ...ports,
      targets: this.createTargets(),
      directory: new TargetDirectory({
        store: ports.store,
        topic: records.targetsTopic,
        partition: ONLY_PARTITION,
        decode: records.decodeTargetEntry,
        events,
        metrics,
      }),
      partitions: this.partitions,
      queuePools: this.queuePools,
      group: GROUP,
      topic: records.jobsTopic,
      termsTopic: records.termsTopic,
      member,
      groupTiming: {
        ...GROUP_TIMING,
        ttlMs: Math.max(GROUP_TIMING.ttlMs, bounds.minMemberTtlMs),
      },
      homeTiming: {
        targetLeaseMs: Math.min(TARGET_LEASE_MS, bounds.maxTargetLeaseMs),
        targetWaitMs: TARGET_WAIT_MS,
        keepFinishedMs: bounds.keepFinishedMs,
      },
      clock,
      events,
      metrics,
      listOrganisations: () => this.listOrganisations(),
      shouldHold: (isMember) => this.shouldHold(isMember),
      createFleetHome: (basis) => this.createFleetHome(basis),
    });
  }

  private shouldHold(isMember: boolean): boolean {
    const { address, capacity: own } = this.options;
    return shouldHoldHomes({
      own,
      others: this.homeDirectory.listCapacities(address.instance),
      isMember,
      areHomesSilent: this.gateway.areHomesSilent,
    });
  }

  private takeWave(record: KeyedRecord): void {
    const order = this.options.records.decodeWaveOrder(record);
    if (order !== undefined) this.waveOrders.set(order.wave, order);
  }

  private listOrganisations(): readonly Organisation[] {
    return this.getConfiguration()?.organisations ?? [];
  }

  private listPoolNames(isStandby: boolean): readonly string[] {
    const pools = this.getConfiguration()?.pools ?? [];
    return pools.filter((pool) => pool.isStandby === isStandby).map(({ pool }) => pool);
  }

  private createFleetHome(basis: FleetHomeContext): FleetHome {
    const { bounds, clock, events, holder, mechanisms, metrics, ports, records } = this.options;
    const statusWriter = new RecordWriter({
      store: ports.store,
      topic: records.statusTopic,
      partition: ONLY_PARTITION,
      producer: GROUP,
      term: basis.term,
      clock,
      events,
      onFenced: basis.onReplaced,
    });
    return new FleetHome({
      ...basis,
      port: ports.vms,
      holder,
      clock,
      events,
      metrics,
      mechanisms,
      orderLeaseMs: bounds.orderLeaseMs,
      listWaveOrders: () => [...this.waveOrders.values()],
      listPools: () => this.listPoolNames(false),
      listStandbyPools: () => this.listPoolNames(true),
      listOrganisations: () => this.listOrganisations(),
      syncPool: (pool, drained, ended, limits) =>
        this.gateway.syncPool(pool, drained, ended, limits),
      publishStatus: (wave, status) => statusWriter.write([records.encodeWaveStatus(wave, status)]),
    });
  }

  private async handleJob(request: DurableJobRequest): Promise<PeerReply> {
    if ('caller' in request && isKeyWithdrawn(request.caller, this.getConfiguration())) {
      return { type: 'refused', kind: 'key-rejected', message: 'The key was withdrawn.' };
    }
    const home = this.homes?.get(request.pool);
    // The partition of a pool that only an earlier configuration had opens once it is known.
    if (home === undefined) void this.knownPools.lookUp(request.pool).catch(() => undefined);
    return handleJobRequest(home, request, this.options.clock);
  }
}
