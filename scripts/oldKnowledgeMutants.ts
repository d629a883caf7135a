import type { Mutant } from './Mutant.js';

const LAPSE_TEST = 'tests/taskHome/LeaseLapses.test.ts';
const PROGRESS_TEST = 'tests/taskHome/TaskProgress.test.ts';
const EVACUATION_TEST = 'tests/taskHome/evacuations.test.ts';
const PROGRESS_FILE = 'src/taskHome/TaskProgress.ts';
const STOPPER_FILE = 'src/taskHome/RunStopper.ts';

/** Guards against decisions on old knowledge, and of instances that may not be the home. */
export const OLD_KNOWLEDGE_MUTANTS: readonly Mutant[] = [
  {
    failure: 'a lease extended that the next home takes for lapsed',
    file: 'src/taskHome/LeaseLapses.ts',
    find: 'return mayExtendLeases() && !isAwaited;',
    replace: 'return mayExtendLeases() || isAwaited;',
    test: LAPSE_TEST,
    name: 'lets a recorded lease be extended only once a record without it is stored',
  },
  {
    failure: 'a lease granted for longer than the next home waits for it',
    file: 'src/taskHome/leaseBounds.ts',
    find: 'Math.min(leaseMs, getLongestGrantMs(leaseMs) - confirmationAgeMs)',
    replace: 'Math.min(leaseMs, confirmationAgeMs + leaseMs)',
    test: 'tests/taskHome/leaseBounds.test.ts',
    name: 'are kept where the group reassigns the partition at once',
  },
  {
    failure: 'a long task that is stopped as stalled without end',
    file: 'src/taskHome/getStallLimitMs.ts',
    find: 'Math.max(MIN_LIMIT_MS, expectedMs, seenMs) * 2 ** doublingCount',
    replace: 'MIN_LIMIT_MS',
    test: PROGRESS_TEST,
    name: 'takes no run for stalled whose percents take long by its estimate',
  },
  {
    failure: 'a lease taken for lapsed that a home in between has extended',
    file: 'src/taskHome/LeaseLapses.ts',
    find: 'record?.term !== this.options.term - 1',
    replace: 'record === undefined',
    test: LAPSE_TEST,
    name: 'takes nothing over that was recorded in term',
  },
  {
    failure: 'a lease that each of several homes waits for anew',
    file: 'src/taskHome/LeaseLapses.ts',
    find: 'this.inheritedLapseAtMs.get(targetId) ?? ',
    replace: '',
    test: LAPSE_TEST,
    name: 'waits only for what is left of a lease',
  },
  {
    failure: 'a task that runs nowhere while its silent target stays listed',
    file: 'src/taskHome/TargetSessions.ts',
    find: 'isListed && !this.options.hasRuns(entry.targetId)',
    replace: 'isListed',
    test: 'tests/taskHome/silentTargets.test.ts',
    name: 'loses its long-running task in time (cut off, 0 changes of home)',
  },
  {
    failure: 'a lease renewed by a home that was replaced and does not know',
    file: 'src/taskHome/LeaseLapses.ts',
    find: 'return mayExtendLeases() && !isAwaited;',
    replace: 'return !isAwaited;',
    test: 'tests/taskHome/unlistedTargets.test.ts',
    name: 'has ended before the task starts again',
  },
  {
    failure: 'a task stopped too many, on the word of a target that has fallen silent',
    file: PROGRESS_FILE,
    find: 'nowMs - readAtMs < MAX_READ_AGE_MS && ',
    replace: '',
    test: PROGRESS_TEST,
    name: 'ignores an outdated report',
  },
  {
    failure: 'a task stopped too many, on a report that waited for a home that was paused',
    file: PROGRESS_FILE,
    find: ' && nowMs - askedAtMs < MAX_ASKED_AGE_MS',
    replace: '',
    test: EVACUATION_TEST,
    name: 'do not rest on reports that were read late',
  },
  {
    failure: 'runs stopped as stalled by a home that was paused',
    file: PROGRESS_FILE,
    find: 'return reportedTargetMs - sinceTargetMs',
    replace: 'return this.clock.monotonicMs()',
    test: PROGRESS_TEST,
    name: 'measures a stall by the clock of the target',
  },
  {
    failure: 'a task stopped by an instance that can not start it again',
    file: STOPPER_FILE,
    find: 'drainedTargets.size === 0 || !isGroupLeaseHeld()',
    replace: 'drainedTargets.size === 0',
    test: EVACUATION_TEST,
    name: 'wait until this instance is certain to be the home',
  },
  {
    failure: 'a stalled run stopped by an instance that can not start it again',
    file: STOPPER_FILE,
    find: '    if (!isGroupLeaseHeld()) return;\n',
    replace: '',
    test: 'tests/taskHome/RunStopper.test.ts',
    name: 'leaves a stalled run alone while another instance may be the home',
  },
  {
    failure: 'leases that are shorter by the time for which a home was paused',
    file: 'src/taskHome/TargetSession.ts',
    find: 'if (targetMs >= this.getEarliestTargetMs(nowMs)) this',
    replace: 'this',
    test: 'tests/taskHome/TargetSession.test.ts',
    name: 'asks for a whole lease after it has read an answer late',
  },
  {
    failure: 'a VM moved under its tasks, on the word of a home that was replaced',
    file: 'src/taskHome/PoolSync.ts',
    find: '    assertIsHome();\n',
    replace: '',
    test: 'tests/taskHome/syncPool.test.ts',
    name: 'describes no load once another instance may be the home',
  },
  {
    failure: 'maintenance of a VM with tasks, as a later call made old loads look fresh',
    file: 'src/fleetHome/FleetHome.ts',
    find: 'const limits = this.limits.createOrders(',
    replace:
      'this.orders.setLoadsTime(this.options.clock.monotonicMs());\n    const limits = this.limits.createOrders(',
    test: 'tests/fleetHome/oldLoads.test.ts',
    name: 'orders no maintenance by loads from before the raise of limits',
  },
];
