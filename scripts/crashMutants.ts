import type { Mutant } from './Mutant.js';

const BLAME_TEST = 'tests/systems/attributeCrash.test.ts';
const CRASH_TEST = 'tests/taskHome/crashes.test.ts';
const LIFETIME_TEST = 'tests/fleetHome/LifetimeEndDetector.test.ts';
const ROOM_TEST = 'tests/taskHome/shrinkingRoom.test.ts';

/** Guards against tasks that crash their targets, and against targets whose room shrinks. */
export const CRASH_MUTANTS: readonly Mutant[] = [
  {
    failure: 'a task that takes one target after the other down',
    file: 'src/taskHome/TaskRuns.ts',
    find: 'crashes.forEach((crash) => this.applyCrash(crash));',
    replace: '',
    test: CRASH_TEST,
    name: 'gives a task up under which two targets crash',
  },
  {
    failure: 'a count of crashes that begins anew with each home',
    file: 'src/jobs/jobProgress.ts',
    find: 'crashCount: crashes.get(position) ?? 0,',
    replace: 'crashCount: 0,',
    test: CRASH_TEST,
    name: 'remembers the crashes of a task in the next home',
  },
  {
    failure: 'an innocent task that is given up for another one that began beside it',
    file: 'src/systems/attributeCrash.ts',
    find: '&& recentJobs.size === 1',
    replace: '',
    test: BLAME_TEST,
    name: 'blames no task for a second crash where another one had just begun too',
  },
  {
    failure: 'a task without a bound that crashes its targets only after it has begun',
    file: 'src/systems/attributeCrash.ts',
    find: '(isOnlyRecentJob ? MIN_CRASH_COUNT : MAX_CRASH_COUNT)',
    replace: '(isOnlyRecentJob ? MIN_CRASH_COUNT : Infinity)',
    test: BLAME_TEST,
    name: 'blames the worst task for the fourth crash though it was never alone',
  },
  {
    failure: 'an innocent task that is given up for a sick target or for a lost rack',
    file: 'src/systems/attributeCrash.ts',
    find: "evidence === 'strong' && isRecent(run)",
    replace: 'isRecent(run)',
    test: BLAME_TEST,
    name: 'counts a weak crash for what had just begun',
  },
  {
    failure: 'innocent tasks that are given up for moves and maintenance',
    file: 'src/fleetHome/LifetimeEndDetector.ts',
    find: '!isMovedOrMaintained(change) && !this.options.hasActiveOrder(change.now.vm)',
    replace: 'true',
    test: LIFETIME_TEST,
    name: 'reports a VM as ended and not as crashed after a move or maintenance',
  },
  {
    failure: 'neighbours that lose their work with the second crash of a task',
    file: 'src/systems/TargetCapacity.ts',
    find: 'this.target.takesTasks && !this.holdsSuspect;',
    replace: 'this.target.takesTasks;',
    test: CRASH_TEST,
    name: 'keeps other tasks off a target on which a task under suspicion has just begun',
  },
  {
    failure: 'a start on a target whose room has shrunk',
    file: 'src/taskHome/StartGuard.ts',
    find: '|| this.isOvercommitted(targetId)',
    replace: '',
    test: ROOM_TEST,
    name: 'get no start that was placed when they had more room',
  },
  {
    failure: 'room that counts as free though something runs there that nobody ordered',
    file: 'src/taskHome/TaskRuns.ts',
    find: 'if (this.orders.hasUnwantedRuns(targetId)) return true;',
    replace: '',
    test: ROOM_TEST,
    name: 'get no task while they have a stray run',
  },
  {
    failure: 'a crash that counts for nobody, as the home died before the start was answered',
    file: 'src/taskHome/RunOrders.ts',
    find: "const hasReceivedStart = life.phase !== 'unsent';",
    replace: "const hasReceivedStart = life.phase !== 'unsent' && life.phase !== 'unanswered';",
    test: CRASH_TEST,
    name: 'counts the crashes that no home lived to note',
  },
  {
    failure: 'a task without a bound that crashes its targets before a list of VMs shows them',
    file: 'src/taskHome/TaskRuns.ts',
    find: "if (reason === 'other-lifetime') this.attributeCrash(targetId, 'weak');",
    replace: '',
    test: CRASH_TEST,
    name: 'counts the crashes of targets that no list of VMs has shown',
  },
  {
    failure: 'a start that an earlier home placed when the target had more room',
    file: 'src/taskHome/StartGuard.ts',
    find: '|| this.adoptedTargets.has(targetId)',
    replace: '',
    test: ROOM_TEST,
    name: 'get no repeat of a start that does not fit any more, from the next home either',
  },
  {
    failure: 'room that counts as free though an earlier home has placed tasks there',
    file: 'src/systems/placeTasks.ts',
    find: 'allocatedJobs.forEach((row) => allocatePlacedTasks(capacities, row));',
    replace: '',
    test: ROOM_TEST,
    name: 'get nothing of a rush until what an earlier home placed fits again',
  },
  {
    failure: 'a job that is failed for crashes under which nothing of it had begun',
    file: 'src/taskHome/RunOrder.ts',
    find: "hasReceivedStart || life.phase === 'starting'",
    replace: "life.phase !== 'unsent'",
    test: 'tests/taskHome/crashes.test.ts',
    name: 'gives no task up of which a dead target has received no start',
  },
];
