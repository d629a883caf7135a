import { beforeEach, describe, expect, it } from 'vitest';
import { FailureShares } from '../../src/systems/index.js';

const POOL = 'pages';

describe('FailureShares', () => {
  let shares: FailureShares;

  beforeEach(() => {
    shares = new FailureShares();
  });

  const note = (targetId: string, jobId: string, isFailed: boolean): void =>
    shares.note({ targetId, pool: POOL, jobId, isFailed }, 0);

  const noteSound = (targetIds: readonly string[]): void =>
    targetIds.forEach((targetId) =>
      ['s1', 's2', 's3', 's4'].forEach((jobId) => note(targetId, jobId, false)),
    );

  it('finds a target that fails half of its runs, with successes in between', () => {
    noteSound(['t2', 't3']);
    note('t1', 'a', true);
    note('t1', 'b', false);
    expect(shares.fails('t1', 0)).toBe(false);
    note('t1', 'c', true);
    note('t1', 'd', false);
    expect(shares.fails('t1', 0)).toBe(true);
    expect(shares.fails('t2', 0)).toBe(false);
  });

  it('blames no target for jobs that have failed on several', () => {
    noteSound(['t2', 't3']);
    ['a', 'b'].forEach((jobId) => note('t1', jobId, true));
    expect(shares.fails('t1', 0)).toBe(true);
    ['a', 'b'].forEach((jobId) => note('t2', jobId, true));
    expect(shares.fails('t1', 0)).toBe(false);
  });

  it('blames no target for one job', () => {
    noteSound(['t2', 't3']);
    [1, 2, 3].forEach(() => note('t1', 'a', true));
    expect(shares.fails('t1', 0)).toBe(false);
  });

  it('blames no target while its peers fail as much', () => {
    ['t1', 't2', 't3'].forEach((targetId) =>
      ['a', 'b', 'c'].forEach((jobId) => note(targetId, `${jobId}-${targetId}`, true)),
    );
    expect(shares.fails('t1', 0)).toBe(false);
  });

  it('forgets failures after some seconds', () => {
    noteSound(['t2', 't3']);
    ['a', 'b'].forEach((jobId) => note('t1', jobId, true));
    expect(shares.fails('t1', 10_000)).toBe(false);
  });
});
