import { expect, it } from 'vitest';
import { parseDurableJob } from '../../src/callers/parseDurableJob.js';
import { JOB_ORIGIN } from '../support/index.js';

const ITEM_COUNT = 80_000;
const MAX_MESSAGE_LENGTH = 4_000;

// Guards against callers whose one request holds an instance up, and gets megabytes as its answer.
it.each(['1', '{}', 'null', '{"taskCount":1,"afterSteps":["a"]}'])(
  'refuses a job of 80,000 steps that are each %s in a few words',
  (item) => {
    const body = Buffer.from(`{"steps":[${`${item},`.repeat(ITEM_COUNT)}${item}]}`);
    expect(() => parseDurableJob(body, JOB_ORIGIN)).toThrow(
      expect.objectContaining({
        kind: 'bad-request',
        field: expect.stringMatching(/^steps\.0/),
        message: expect.toSatisfy((text: string) => text.length < MAX_MESSAGE_LENGTH),
      }),
    );
  },
);

it('reads a job, and names the field of a wrong step and of a job without steps', () => {
  const read = (steps: readonly object[]) => () =>
    parseDurableJob(Buffer.from(JSON.stringify({ steps })), JOB_ORIGIN);
  expect(read([{ taskCount: 2 }, { taskCount: 1, afterSteps: [0] }])().steps).toHaveLength(2);
  expect(read([{ taskCount: 1 }, { taskCount: 0 }])).toThrow(
    expect.objectContaining({ field: 'steps.1.taskCount' }),
  );
  expect(read([])).toThrow(expect.objectContaining({ field: 'steps' }));
});
