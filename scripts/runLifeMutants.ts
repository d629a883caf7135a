import type { Mutant } from './Mutant.js';

const LIFE_TEST = 'tests/systems/runLife.test.ts';
const REPEAT_TEST = 'tests/taskHome/repeatedStarts.test.ts';
const END_TEST = 'tests/taskHome/unexpectedEnds.test.ts';

/** Guards of a run's life that have a test of their own. */
export const RUN_LIFE_MUTANTS: readonly Mutant[] = [
  {
    failure: 'a task that runs twice, as the refused call was not the one that takes effect',
    file: 'src/systems/runLife.ts',
    find: "life.hasOpenStart ? 'send-stop' : 'never-begins'",
    replace: "'never-begins'",
    test: REPEAT_TEST,
    name: 'is carried out after a new placement',
  },
  {
    failure: 'a task that runs again before the report with its end has come',
    file: 'src/systems/runLife.ts',
    find: "return enter('over');",
    replace: "return stay(life, 'is-over');",
    test: LIFE_TEST,
    name: 'waits for a report of a run that the target refuses as old',
  },
  {
    failure: 'a run that counts as at work again while its stop is on its way',
    file: 'src/systems/runLife.ts',
    find: "if (life.phase !== 'starting') return stay(life);",
    replace: '',
    test: LIFE_TEST,
    name: 'lets the stop decide where the answer to the start comes after it',
  },
  {
    failure: 'a task with too many attempts, as a failure was acknowledged and ignored',
    file: 'src/taskHome/RunEnds.ts',
    find: 'table.put(noteUnheardRun(lost.row, lost.position, key.run));',
    replace: '',
    test: END_TEST,
    name: 'counts as an attempt if it failed',
  },
  {
    failure: 'a job that fails too early, as each home counts the same failure',
    file: 'src/jobs/failedRuns.ts',
    find: 'filter((unheard) => unheard !== run)',
    replace: 'filter(() => true)',
    test: END_TEST,
    name: 'counts as one attempt if it failed',
  },
  {
    failure: 'a task that runs again after its acknowledged end, which nobody expected',
    file: 'src/taskHome/RunEnds.ts',
    find: 'expected ?? this.findCompleted(key, runEnd)',
    replace: 'expected',
    test: END_TEST,
    name: 'is the truth',
  },
  {
    failure: 'a start of a home that was suspended and replaced meanwhile',
    file: 'src/taskHome/TaskOrders.ts',
    find: 'if (!this.options.isGroupLeaseHeld()) this.withhold(order);\n    else if',
    replace: 'if',
    test: 'tests/taskHome/TaskOrders.test.ts',
    name: 'is withheld while another instance may be the home',
  },
];
