import { randomUUID } from 'node:crypto';
import type { FastifyInstance } from 'fastify';
import {
  createHttpServer,
  registerDurableJobRoutes,
  registerOrganisationRoutes,
} from '../../src/callers/index.js';
import type { WaveOrder } from '../../src/fleetHome/index.js';
import { JobNode } from '../../src/jobNode/index.js';
import type { EventLog } from '../../src/logging/index.js';
import { NoMetrics } from '../../src/metrics/index.js';
import type { QueueConfiguration } from '../../src/queues/index.js';
import type { KeyedRecord } from '../../src/store/index.js';
import { ALL_MECHANISMS, type HomeCapacity } from '../../src/systems/index.js';
import type { TargetEntry } from '../../src/taskHome/index.js';
import { type Clock, SystemClock } from '../../src/utils/index.js';
import type { FleetVm } from '../../src/vms/index.js';
import { LeasedTargetsStandIn, TargetAccess } from '../leasedTargets/index.js';
import { LinkedStore, LinkedTargets, type NarrowLink } from '../links/index.js';
import { StoreAccess, StoreStandIn, type StoreStandInOptions } from '../store/index.js';
import { FleetStandIn } from '../vms/index.js';

const HOST = '127.0.0.1';
/** Above the instances of any cluster here: each holds a partition, so that the others see it. */
const PARTITION_COUNT = 8;
const TARGETS_TOPIC = 'targets';
const OPERATORS_TOPIC = 'operators';
const STATUS_TOPIC = 'status';
const CONFIGURATION_KEY = 'configuration';
const WAVE_PREFIX = 'wave/';
const WRITE_TIMEOUT_MS = 1_000;
/** Capacity of an instance among others of its size. */
const LIKE_OTHERS: HomeCapacity = { coreCount: 1, linkMbps: 1_000 };
const CORES = { cpuMillicores: 32_000, memoryMb: 65_536, gpuCount: 0 };

/** A running instance with its own HTTP interface. */
export interface ClusterNode {
  readonly node: JobNode;
  readonly server: FastifyInstance;
  /** Where its interface listens, as `HOST:PORT`. */
  readonly address: string;
  /** Id of the instance. */
  readonly instance: string;
  /** Its way to the store. */
  readonly storeAccess: StoreAccess;
  /** Its way to the targets. */
  readonly targetAccess: TargetAccess;
}

/** Options of {@link JobsCluster}. */
export interface JobsClusterOptions {
  readonly configuration: QueueConfiguration;
  /** VMs of each pool; those of a standby pool are off. */
  readonly vms: readonly FleetVm[];
  readonly events: EventLog;
  readonly nodeCount: number;
  /** What each instance can carry, in their order; all alike where it is absent. */
  readonly capacities?: readonly HomeCapacity[];
  /** Links to store and targets of the instances, in their order; none where it is absent. */
  readonly links?: readonly (NarrowLink | undefined)[];
  /** Clock of the targets; that of the system where it is absent. */
  readonly targetClock?: Clock;
  /** How the store differs from the default one. */
  readonly store?: Omit<StoreStandInOptions, 'partitionCount'>;
}

function decode<Value>(value: Uint8Array): Value {
  return JSON.parse(Buffer.from(value).toString('utf8')) as Value;
}

function decodeWaveOrder({ key, value }: KeyedRecord): WaveOrder | undefined {
  return key.startsWith(WAVE_PREFIX) && value !== undefined ? decode<WaveOrder>(value) : undefined;
}

/** Instances of the engine in one process, over the stand-ins of the platform. */
export class JobsCluster {
  readonly store: StoreStandIn;

  readonly targets: LeasedTargetsStandIn;

  readonly fleet: FleetStandIn;

  readonly nodes: ClusterNode[] = [];

  private readonly options: JobsClusterOptions;

  private readonly clock = new SystemClock();

  /** Instances that were started; their names sort in that order, as the group deals partitions. */
  private startedCount = 0;

  /**
   * Creates a cluster without instances.
   * @param options - Configuration, VMs and log.
   */
  constructor(options: JobsClusterOptions) {
    this.options = options;
    this.store = new StoreStandIn({ ...options.store, partitionCount: PARTITION_COUNT });
    this.targets = new LeasedTargetsStandIn(options.targetClock);
    this.fleet = new FleetStandIn({
      vms: options.vms,
      onLifetime: (ended, begun) => this.changeLifetime(ended, begun),
    });
    this.targets.onCrash = (targetId) => this.fleet.crash(targetId);
  }

  /** Publishes the configuration and the targets, and starts the instances. */
  async start(): Promise<void> {
    const { configuration, vms, nodeCount, capacities = [], links = [] } = this.options;
    await this.publish(CONFIGURATION_KEY, configuration);
    await Promise.all(vms.map((vm) => this.addTarget(vm)));
    const places = Array.from({ length: nodeCount }, (_unused, place) => place);
    await Promise.all(places.map((place) => this.startNode(capacities[place], links[place])));
  }

  /**
   * Publishes a record as operators do.
   * @param key - Its key.
   * @param value - Its content.
   */
  async publish(key: string, value: unknown): Promise<void> {
    const records = [{ key, value: Buffer.from(JSON.stringify(value)) }];
    await this.append(OPERATORS_TOPIC, records);
  }

  /**
   * Orders a wave of maintenance.
   * @param order - The wave.
   */
  async orderWave(order: WaveOrder): Promise<void> {
    await this.publish(`${WAVE_PREFIX}${order.wave}`, order);
  }

  /**
   * Reads what operators are told of a wave.
   * @param wave - Number of the wave.
   * @returns Its status, or undefined where nothing was told yet.
   */
  async readWaveStatus(wave: number): Promise<string | undefined> {
    const { records } = await this.store.readNewest(STATUS_TOPIC, 0);
    const value = records.find(({ key }) => key === `${WAVE_PREFIX}${wave}`)?.value;
    return value === undefined ? undefined : decode<string>(value);
  }

  /** Stops every instance, each as a planned stop does. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => JobsCluster.stopNode(node)));
  }

  /**
   * Stops an instance as a planned stop does.
   * @param clusterNode - The instance.
   */
  static async stopNode({ node, server }: ClusterNode): Promise<void> {
    await node.handOver();
    await server.close();
    await node.stop();
  }

  /**
   * Starts one more instance.
   * @param capacity - What it can carry; like the others where it is absent.
   * @param link - Its link to store and targets; none where it is absent.
   */
  async startNode(capacity: HomeCapacity = LIKE_OTHERS, link?: NarrowLink): Promise<void> {
    const { events } = this.options;
    const { targets, clock } = this;
    const storeAccess = new StoreAccess(this.store);
    const targetAccess = new TargetAccess(targets);
    const store = link === undefined ? storeAccess : new LinkedStore(storeAccess, link);
    this.startedCount += 1;
    const place = String(this.startedCount).padStart(3, '0');
    const instance = `node-${place}-${randomUUID().slice(0, 8)}`;
    const node = new JobNode({
      // The nodes share this process, so that the load of its event loop is none of theirs.
      loopLoad: { measureShare: () => 0 },
      address: { instance, host: HOST, port: 0 },
      capacity,
      holder: instance,
      ports: {
        store,
        groups: store,
        targets: link === undefined ? targetAccess : new LinkedTargets(targetAccess, link),
        vms: this.fleet,
      },
      records: {
        jobsTopic: 'jobs',
        termsTopic: 'terms',
        queuePoolsTopic: 'queues',
        partitionCount: PARTITION_COUNT,
        operatorsTopic: OPERATORS_TOPIC,
        configurationKey: CONFIGURATION_KEY,
        targetsTopic: TARGETS_TOPIC,
        statusTopic: STATUS_TOPIC,
        decodeConfiguration: (value) => decode<QueueConfiguration>(value),
        decodeWaveOrder,
        encodeWaveStatus: (wave, status) => ({
          key: `${WAVE_PREFIX}${wave}`,
          value: Buffer.from(JSON.stringify(status)),
        }),
        decodeTargetEntry: ({ value }) => decode<TargetEntry>(value!),
      },
      bounds: {
        minMemberTtlMs: 0,
        maxTargetLeaseMs: 5_000,
        keepFinishedMs: 60_000,
        orderLeaseMs: 100,
        maxRecordBytes: 262_144,
      },
      clock,
      events,
      mechanisms: ALL_MECHANISMS,
      metrics: new NoMetrics(),
    });
    const server = createHttpServer({ clock, events });
    const getConfiguration = (): QueueConfiguration | undefined => node.getConfiguration();
    registerDurableJobRoutes(server, { port: node.gateway, getConfiguration, clock });
    registerOrganisationRoutes(server, { port: node.gateway, getConfiguration });
    await node.start();
    const url = await server.listen({ host: HOST, port: 0 });
    const { host: address } = new URL(url);
    this.nodes.push({ node, server, address, instance, storeAccess, targetAccess });
  }

  private async append(topic: string, records: readonly KeyedRecord[]): Promise<void> {
    await this.store.append({ topic, partition: 0, records, timeoutMs: WRITE_TIMEOUT_MS });
  }

  private async addTarget({ targetId, pool, rack = 'r1' }: FleetVm): Promise<void> {
    if (targetId === undefined) return;
    this.targets.add(targetId);
    const entry: TargetEntry = {
      targetId,
      pool,
      host: HOST,
      port: 1,
      dataCentre: 'north',
      rack,
      labels: ['general', rack],
      capacity: CORES,
      isDraining: false,
    };
    const value = Buffer.from(JSON.stringify(entry));
    await this.append(TARGETS_TOPIC, [{ key: targetId, value }]);
  }

  private changeLifetime(ended: string | undefined, begun: FleetVm): void {
    if (ended !== undefined) {
      this.targets.remove(ended);
      void this.append(TARGETS_TOPIC, [{ key: ended, value: undefined }]);
    }
    void this.addTarget(begun);
  }
}
