import type { QueuedRow } from '../tables/index.js';
import type { Rng } from '../utils/index.js';
import type { JobSize } from './estimateJobSize.js';
import type { PoolLoad } from './PoolLoad.js';
import type { VmLoad } from './VmLoad.js';

/** Width of the bands of rack load; racks in the same band count as equally loaded. */
const RACK_LOAD_BAND_WIDTH = 0.25;
/** Lower bound of a VM's limit on recent starts, as {@link VmLoad} counts them. */
const MIN_RECENT_START_LIMIT = 2;
/** Share of a VM's slots that limits its recent starts. */
const RECENT_START_LIMIT_FRACTION = 0.25;

/** Options of {@link chooseVm}. */
export interface ChooseVmOptions {
  readonly load: PoolLoad;
  readonly request: QueuedRow;
  readonly size: JobSize;
  readonly rng: Rng;
  /** VMs that are kept free for a larger job. */
  readonly reservedVms: ReadonlySet<string>;
}

/**
 * Whether a VM may start one more run now. Many cancellations free many slots at once; without
 * a limit the whole queue would start on the same VMs at the same time. Urgent work is too rare
 * to overload a VM in this way and does not wait.
 */
function mayStart(load: VmLoad, request: QueuedRow): boolean {
  if (request.urgency === 'urgent') return true;
  const limit = Math.max(
    MIN_RECENT_START_LIMIT,
    Math.ceil(load.vm.slotCount * RECENT_START_LIMIT_FRACTION),
  );
  return load.recentStartCount < limit;
}

/**
 * Whether the first VM is the better choice: fewer failures, then the less loaded rack, then the
 * tighter fit. Called for every VM and request, so it compares directly and builds no ranks.
 */
function isBetter(options: ChooseVmOptions, first: VmLoad, second: VmLoad): boolean {
  if (first.failureCount !== second.failureCount) return first.failureCount < second.failureCount;
  const { load, size } = options;
  const firstBand = Math.floor(load.getRackUtilisation(first) / RACK_LOAD_BAND_WIDTH);
  const secondBand = Math.floor(load.getRackUtilisation(second) / RACK_LOAD_BAND_WIDTH);
  if (firstBand !== secondBand) return firstBand < secondBand;
  return first.slackAfter(size) < second.slackAfter(size);
}

/**
 * Chooses the VM for a request. The learned size must fit on it. Less loaded racks are preferred,
 * so that the loss of a rack affects few jobs, and then the tightest fit, which keeps room for
 * large jobs.
 * @param options - Load of the pool, the request and its size.
 * @returns The VM's load, or undefined if no VM fits now.
 */
export function chooseVm(options: ChooseVmOptions): VmLoad | undefined {
  const { load, request, size, rng, reservedVms } = options;
  const { vmLoads } = load;
  const start = Math.floor(rng.next() * vmLoads.length);
  let best: VmLoad | undefined;
  vmLoads.forEach((ignored, index) => {
    // Ties go to the first VM visited, so each search starts at a random VM.
    const candidate = vmLoads[(start + index) % vmLoads.length]!;
    if (!candidate.fits(size) || !mayStart(candidate, request) || !candidate.isTrusted) return;
    if (reservedVms.has(candidate.vm.vm)) return;
    if (request.excludedVms.includes(candidate.vm.vm)) return;
    if (best === undefined || isBetter(options, candidate, best)) best = candidate;
  });
  return best;
}
