import { expect, it } from 'vitest';
import { parseDurableJob } from '../../src/callers/parseDurableJob.js';

const TERMS = {
  queue: 'q',
  pool: 'p',
  priority: 0,
  maxAttempts: 1,
  stretch: 1,
  targetDurationMs: 0,
};
const ORIGIN = { jobId: '5c0e7a21d94b36f8', terms: TERMS, nowMs: 5 };
const ITEM_COUNT = 80_000;
const MAX_MESSAGE_LENGTH = 4_000;

// Guards against callers whose one request holds an instance up, and gets megabytes as its answer.
it.each(['1', '{}', 'null', '{"taskCount":1,"afterSteps":["a"]}'])(
  'refuses a job of 80,000 steps that are each %s in a few words',
  (item) => {
    const body = Buffer.from(`{"steps":[${`${item},`.repeat(ITEM_COUNT)}${item}]}`);
    expect(() => parseDurableJob(body, ORIGIN)).toThrow(
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
    parseDurableJob(Buffer.from(JSON.stringify({ steps })), ORIGIN);
  expect(read([{ taskCount: 2 }, { taskCount: 1, afterSteps: [0] }])().steps).toHaveLength(2);
  expect(read([{ taskCount: 1 }, { taskCount: 0 }])).toThrow(
    expect.objectContaining({ field: 'steps.1.taskCount' }),
  );
  expect(read([])).toThrow(expect.objectContaining({ field: 'steps' }));
});
