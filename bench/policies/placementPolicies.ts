import { placeQueuedJobs, type PlacementDecision } from '../../src/systems/index.js';
import type { PoolTables, PoolVmRow, QueuedRow } from '../../src/tables/index.js';
import type { Rng } from '../../src/utils/index.js';
import type { PlacementPolicy } from './PlacementPolicy.js';

/** A VM with what a baseline knows of it: free slots, and memory by declaration. */
interface Candidate {
  readonly vm: PoolVmRow;
  usedSlotCount: number;
  usedMemoryMb: number;
}

/** Chooses among VMs with a free slot and enough declared memory left. */
type Choose = (candidates: readonly Candidate[], rng: Rng) => Candidate;

const URGENCY_ORDER = { urgent: 0, normal: 1, overnight: 2 } as const;

/** Draws one of some VMs. */
const chooseRandom: Choose = (candidates, rng) =>
  candidates[Math.floor(rng.next() * candidates.length)]!;

/** Takes the VM with the fewest runs. */
const chooseLeastLoaded: Choose = (candidates) =>
  candidates.reduce((best, next) => (next.usedSlotCount < best.usedSlotCount ? next : best));

/** Draws two VMs and takes the one with fewer runs. */
const chooseOfTwo: Choose = (candidates, rng) =>
  chooseLeastLoaded([chooseRandom(candidates, rng), chooseRandom(candidates, rng)], rng);

/** Lists the accepting VMs with the grants that they hold. */
function listCandidates(tables: PoolTables): readonly Candidate[] {
  const candidates = tables.vms
    .list()
    .filter((vm) => vm.condition === 'accepting')
    .map((vm): Candidate => ({ vm, usedSlotCount: 0, usedMemoryMb: 0 }));
  const byVm = new Map(candidates.map((candidate) => [candidate.vm.vm, candidate]));
  tables.grants.list().forEach((grant) => {
    const candidate = byVm.get(grant.vm);
    if (candidate === undefined) return;
    candidate.usedSlotCount += 1;
    candidate.usedMemoryMb += grant.memoryMb;
  });
  return candidates;
}

/** Orders requests by urgency, then by arrival. */
function compareRequests(left: QueuedRow, right: QueuedRow): number {
  const byUrgency = URGENCY_ORDER[left.urgency] - URGENCY_ORDER[right.urgency];
  return byUrgency || left.queuedAtMs - right.queuedAtMs;
}

/** Makes a baseline: declared sizes, urgency and arrival order, nothing refused or learned. */
function makeBaseline(name: string, choose: Choose): PlacementPolicy {
  return {
    name,
    learns: false,
    place(tables, { rng }) {
      const candidates = listCandidates(tables);
      const requests = [...tables.queue.list()].sort(compareRequests);
      return requests.flatMap((request): readonly PlacementDecision[] => {
        const fitting = candidates.filter(
          ({ vm, usedSlotCount, usedMemoryMb }) =>
            usedSlotCount < vm.slotCount &&
            usedMemoryMb + request.memoryMb <= vm.memoryMb &&
            !request.excludedVms.includes(vm.vm),
        );
        if (fitting.length === 0) return [];
        const chosen = choose(fitting, rng);
        chosen.usedSlotCount += 1;
        chosen.usedMemoryMb += request.memoryMb;
        const { attemptId, coreCount, memoryMb } = request;
        return [{ type: 'place', attemptId, vm: chosen.vm.vm, coreCount, memoryMb, reason: name }];
      });
    },
  };
}

/** The systems of the product. */
export const OURS: PlacementPolicy = { name: 'rattanlift', learns: true, place: placeQueuedJobs };

/** Any VM with a free slot. */
export const RANDOM = makeBaseline('random', chooseRandom);

/** The VM with the fewest runs. */
export const LEAST_LOADED = makeBaseline('least loaded', chooseLeastLoaded);

/** The less loaded of two random VMs. */
export const TWO_CHOICES = makeBaseline('two choices', chooseOfTwo);
