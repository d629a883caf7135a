import { poolSchema, type PoolSettings } from '../../src/settings/index.js';
import type { DeploymentName, TraceVm } from './Trace.js';

/** How a kind of job really behaves, beside what it declares. */
export interface KindBehaviour {
  readonly kind: string;
  readonly declared: PoolSettings['jobKinds'][string];
  readonly medianRunMs: number;
  readonly medianMemoryMb: number;
  /** Mean arrivals a second on the pool that the placement trace is about. */
  readonly perS: number;
  /** Jobs that wait at the start, as a nightly batch does. */
  readonly batchCount: number;
  readonly patienceMs: number;
}

/** Size and habits of one of the two users. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly dataCentres: readonly string[];
  readonly workerCount: number;
  readonly coresPerVm: number;
  readonly memoryMbPerVm: number;
  readonly services: readonly string[];
  /** Teams of the pool that the placement trace is about; the first has most of the jobs. */
  readonly teams: readonly string[];
  readonly kinds: readonly KindBehaviour[];
  /** Share of the VMs that belong to no pool while a wave begins. */
  readonly spareFraction: number;
  /** What the settings ask for in waves: 1 a short roll-out, 0 a small buffer. */
  readonly rollOutWeight: number;
}

const VMS_PER_WORKER = 2;
const SLOTS_PER_VM = 4;
const WORKERS_PER_RACK = 4;
const MINUTE_MS = 60_000;

const TRENTVALE: Deployment = {
  name: 'trentvale',
  dataCentres: ['derby', 'leicester', 'nottingham'],
  workerCount: 35,
  coresPerVm: 16,
  memoryMbPerVm: 65_536,
  services: ['wiki', 'search', 'packs', 'archive', 'media'],
  teams: ['council', 'crews', 'housing', 'planning', 'libraries', 'parks'],
  spareFraction: 1 / 7,
  rollOutWeight: 1,
  kinds: [
    {
      kind: 'page-save',
      declared: {
        coreCount: 0.5,
        memoryMb: 512,
        expectedRunMs: 1_000,
        idempotent: false,
        urgency: 'urgent',
        checkpointable: false,
      },
      medianRunMs: 400,
      medianMemoryMb: 300,
      perS: 2,
      batchCount: 0,
      patienceMs: 10_000,
    },
    {
      kind: 'search-index',
      declared: {
        coreCount: 1,
        memoryMb: 2_048,
        expectedRunMs: 2_000,
        idempotent: true,
        urgency: 'normal',
        checkpointable: false,
      },
      medianRunMs: 5_000,
      medianMemoryMb: 4_000,
      perS: 0.7,
      batchCount: 0,
      patienceMs: 3 * MINUTE_MS,
    },
    {
      kind: 'pack-export',
      declared: {
        coreCount: 2,
        memoryMb: 8_192,
        expectedRunMs: 10_000,
        idempotent: true,
        urgency: 'normal',
        checkpointable: false,
      },
      medianRunMs: 20_000,
      medianMemoryMb: 24_000,
      perS: 0.2,
      batchCount: 10,
      patienceMs: 5 * MINUTE_MS,
    },
    {
      kind: 'archive',
      declared: {
        coreCount: 1,
        memoryMb: 8_192,
        expectedRunMs: 10 * MINUTE_MS,
        idempotent: true,
        urgency: 'overnight',
        checkpointable: true,
      },
      medianRunMs: 4 * MINUTE_MS,
      medianMemoryMb: 2_500,
      perS: 0.02,
      batchCount: 60,
      patienceMs: 120 * MINUTE_MS,
    },
    {
      kind: 'link-check',
      declared: {
        coreCount: 0.5,
        memoryMb: 1_024,
        expectedRunMs: 2 * MINUTE_MS,
        idempotent: true,
        urgency: 'overnight',
        checkpointable: false,
      },
      medianRunMs: MINUTE_MS,
      medianMemoryMb: 700,
      perS: 0.05,
      batchCount: 40,
      patienceMs: 120 * MINUTE_MS,
    },
  ],
};

const ASSOCIATION: Deployment = {
  name: 'association',
  dataCentres: ['bayangol', 'bayanzurkh', 'khan-uul', 'sukhbaatar'],
  workerCount: 40,
  coresPerVm: 16,
  memoryMbPerVm: 32_768,
  services: ['listings', 'matching', 'couriers', 'receipts', 'reports'],
  teams: ['association', 'bakeries', 'dairies', 'grocers', 'kitchens', 'shelters'],
  spareFraction: 1 / 14,
  rollOutWeight: 0,
  kinds: [
    {
      kind: 'receipt',
      declared: {
        coreCount: 0.5,
        memoryMb: 256,
        expectedRunMs: 500,
        idempotent: false,
        urgency: 'urgent',
        checkpointable: false,
      },
      medianRunMs: 350,
      medianMemoryMb: 200,
      perS: 1,
      batchCount: 0,
      patienceMs: 15_000,
    },
    {
      kind: 'dispatch',
      declared: {
        coreCount: 1,
        memoryMb: 1_024,
        expectedRunMs: 1_000,
        idempotent: true,
        urgency: 'urgent',
        checkpointable: false,
      },
      medianRunMs: 1_500,
      medianMemoryMb: 1_500,
      perS: 1,
      batchCount: 0,
      patienceMs: 20_000,
    },
    {
      kind: 'match',
      declared: {
        coreCount: 2,
        memoryMb: 4_096,
        expectedRunMs: 5_000,
        idempotent: true,
        urgency: 'normal',
        checkpointable: false,
      },
      medianRunMs: 12_000,
      medianMemoryMb: 12_000,
      perS: 0.6,
      batchCount: 20,
      patienceMs: 3 * MINUTE_MS,
    },
    {
      kind: 'settle',
      declared: {
        coreCount: 1,
        memoryMb: 4_096,
        expectedRunMs: 5 * MINUTE_MS,
        idempotent: true,
        urgency: 'overnight',
        checkpointable: true,
      },
      medianRunMs: 3 * MINUTE_MS,
      medianMemoryMb: 1_500,
      perS: 0.05,
      batchCount: 90,
      patienceMs: 120 * MINUTE_MS,
    },
  ],
};

const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  trentvale: TRENTVALE,
  association: ASSOCIATION,
};

/**
 * Gets a deployment.
 * @param name - Which one.
 * @returns Its size and habits.
 */
export function getDeployment(name: DeploymentName): Deployment {
  return DEPLOYMENTS[name];
}

/**
 * Lists the pools of a deployment.
 * @param deployment - The deployment.
 * @returns Names as `team/pool`.
 */
export function listPoolNames(deployment: Deployment): readonly string[] {
  return deployment.services.map((service) => `${deployment.name}/${service}`);
}

/**
 * Makes settings of a pool.
 * @param deployment - Deployment that the pool belongs to.
 * @param neededSlotCount - Slots that its jobs need at peak.
 * @param changes - Settings that differ from the usual ones.
 * @returns The settings, checked by their schema.
 */
export function makePoolSettings(
  deployment: Deployment,
  neededSlotCount: number,
  changes: Readonly<Record<string, unknown>> = {},
): PoolSettings {
  return poolSchema.parse({
    neededSlotCount,
    availability: { failureDomain: 'rack', maxUnavailableFraction: 0.25 },
    jobKinds: Object.fromEntries(deployment.kinds.map(({ kind, declared }) => [kind, declared])),
    maintenance: { rollOutWeight: deployment.rollOutWeight },
    ...changes,
  });
}

/**
 * Lists the VMs of a deployment: two on each worker, racks of four workers, racks in turn over the
 * data centres.
 * @param deployment - The deployment.
 * @returns The VMs, none in a pool yet, worker by worker.
 */
export function listVms(deployment: Deployment): readonly TraceVm[] {
  const count = deployment.workerCount * VMS_PER_WORKER;
  return Array.from({ length: count }, (ignored, index): TraceVm => {
    const workerIndex = Math.floor(index / VMS_PER_WORKER);
    const rackIndex = Math.floor(workerIndex / WORKERS_PER_RACK);
    return {
      vm: `vm-${String(index).padStart(3, '0')}`,
      worker: `worker-${String(workerIndex).padStart(2, '0')}`,
      rack: `rack-${String(rackIndex).padStart(2, '0')}`,
      dataCentre: deployment.dataCentres[rackIndex % deployment.dataCentres.length]!,
      coreCount: deployment.coresPerVm,
      memoryMb: deployment.memoryMbPerVm,
      slotCount: SLOTS_PER_VM,
    };
  });
}
