import { describe, expect, it } from 'vitest';
import { checkPromises } from '../../standins/demo/checkPromises.js';
import type { DemoAnswer } from '../../standins/demo/sendJob.js';
import type { TaskStart } from '../../standins/targets/index.js';

const JOB = {
  requestId: 'request-1',
  user: 'trentvale',
  pool: 'wiki/saves',
  jobKind: 'page-save',
  urgency: 'urgent',
  idempotent: false,
  runMs: 1,
};
const ANSWER: DemoAnswer = { job: JOB, daemon: 'a', outcome: 'run', detail: '200', isOwn: true };
const START: TaskStart = {
  vm: 'vm-1',
  bootId: 'boot-1',
  taskId: 'task-1',
  requestId: 'request-1',
  jobKind: 'page-save',
  startedAtMs: 0,
  ending: 'done',
};
const LINES = ['requestRouted', 'jobPlaced'].map((event) => ({ event, requestId: 'request-1' }));

describe('checkPromises', () => {
  function doTest(
    answer: Partial<DemoAnswer>,
    starts: readonly TaskStart[],
    lines: readonly (typeof LINES)[number][],
    expected: readonly string[],
  ): void {
    const broken = Object.entries(checkPromises([{ ...ANSWER, ...answer }], starts, lines))
      .filter(([, requestIds]) => (requestIds as readonly string[]).includes('request-1'))
      .map(([promise]) => promise);
    expect(broken).toEqual(expected);
  }

  it('finds nothing where all held', () => doTest({}, [START], LINES, []));

  it('finds a page save that ran twice', () =>
    doTest({}, [START, { ...START, taskId: 'task-2' }], LINES, [
      'non-idempotent requests that started more than once',
    ]));

  it('finds a job told not-run that ran', () =>
    doTest({ outcome: 'not-run' }, [START], LINES, ['requests told not-run that started']));

  it('finds an answer of another request', () =>
    doTest({ isOwn: false }, [START], LINES, ['answers that belong to another request']));

  it('finds a job without an answer', () =>
    doTest({ outcome: 'none' }, [], LINES, ['jobs without an answer']));

  it('finds missing log lines', () =>
    doTest(
      {},
      [START],
      [],
      [
        'started requests without a requestRouted line',
        'started requests without a jobPlaced line',
      ],
    ));
});
