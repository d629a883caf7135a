import { describe, expect, it } from 'vitest';
import { AdaptiveTimeout, ManualClock } from '../../src/utils/index.js';

const createTimeout = () => new AdaptiveTimeout({ shortestMs: 250, longestMs: 1_000 });

describe('AdaptiveTimeout', () => {
  // For five seconds a third of the store's answers were lost. Each loss held every job of its pool
  // up for a second, the wait that suits a store at a hundredth of its speed.
  it('gives an answer up soon where answers usually come at once', () => {
    const timeout = createTimeout();
    timeout.noteAnswer(10);
    expect(timeout.currentMs).toBe(250);
    timeout.noteFailure();
    expect(timeout.currentMs).toBe(500);
    timeout.noteAnswer(10);
    expect(timeout.currentMs).toBe(250);
  });

  // The store turned slow, and daemons lost their homes again and again: each renewal failed before
  // it was sent, as a wait of 301.7 ms is none that a timer takes.
  it('gives whole milliseconds', () => {
    const timeout = createTimeout();
    timeout.noteAnswer(187.3);
    expect(timeout.currentMs).toBe(300);
    expect(() => AbortSignal.timeout(timeout.currentMs)).not.toThrow();
  });

  it('waits for a slow peer instead of calling it again and again', () => {
    const timeout = createTimeout();
    [250, 250, 250].forEach(() => timeout.noteFailure());
    expect(timeout.currentMs).toBe(1_000);
    timeout.noteAnswer(400);
    expect(timeout.currentMs).toBe(640);
    timeout.noteAnswer(400);
    expect(timeout.currentMs).toBe(1_000);
  });

  it('follows the answers and failures of the calls that it makes', async () => {
    const timeout = createTimeout();
    const clock = new ManualClock();
    const fail = () => timeout.run(clock, () => Promise.reject(new Error('lost')));
    await expect(fail()).rejects.toThrow('lost');
    expect(timeout.currentMs).toBe(500);
    const answer = await timeout.run(clock, async (timeoutMs) => {
      clock.advance(400);
      return timeoutMs;
    });
    expect(answer).toBe(500);
    expect(timeout.currentMs).toBe(640);
  });
});
