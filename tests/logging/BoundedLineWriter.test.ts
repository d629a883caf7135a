import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { BoundedLineWriter } from '../../src/logging/index.js';
import { ManualClock } from '../../src/utils/index.js';

/** Longer than a check of what is written. */
const SHORT_MS = 30;
const LONG_MS = 1_000;

interface WriterTraits {
  readonly reads: boolean;
  readonly maxWaitingBytes?: number;
  /** Takes what follows the turn; it follows at once if absent. */
  readonly afterTurn?: (write: () => void) => void;
}

function createWriter(options: WriterTraits) {
  const clock = new ManualClock();
  const written: string[] = [];
  const pending: (() => void)[] = [];
  const writer = new BoundedLineWriter({
    write: (text, onWritten) => {
      written.push(text);
      if (options.reads) onWritten();
      else pending.push(onWritten);
    },
    afterTurn: options.afterTurn ?? ((end) => end()),
    clock,
    maxLinesPerS: 10,
    maxWaitingBytes: options.maxWaitingBytes,
    formatLeftOut: (counts) => `left out ${JSON.stringify(Object.fromEntries(counts))}`,
  });
  return { clock, written, pending, writer };
}

const write = (writer: BoundedLineWriter, event: 'taskPlaced' | 'jobFinished', count: number) =>
  Array.from({ length: count }, (_l, number) => writer.write(`${event} ${number}`, event));

describe('BoundedLineWriter', () => {
  it('writes half of the budget of task lines, and all of it of job lines', () => {
    const { written, writer } = createWriter({ reads: true });
    write(writer, 'taskPlaced', 20);
    write(writer, 'jobFinished', 20);
    const lines = written.join('').trim().split('\n');
    expect(lines.filter((line) => line.startsWith('taskPlaced'))).toHaveLength(5);
    expect(lines.filter((line) => line.startsWith('jobFinished'))).toHaveLength(5);
  });

  it('takes and counts lines that are not formatted yet as it does those that are', () => {
    const { clock, written, writer } = createWriter({ reads: true });
    write(writer, 'taskPlaced', 4);
    expect(writer.takes('taskPlaced')).toBe(true);
    write(writer, 'taskPlaced', 1);
    expect([writer.takes('taskPlaced'), writer.takes('jobFinished')]).toEqual([false, true]);
    clock.advance(1_000);
    expect(writer.takes('taskPlaced')).toBe(true);
    expect(written.join('')).toContain('left out {"taskPlaced":1}\n');
  });

  it('tells in the next second what it left out', () => {
    const { clock, written, writer } = createWriter({ reads: true });
    write(writer, 'taskPlaced', 8);
    clock.advance(1_000);
    write(writer, 'jobFinished', 1);
    expect(written.join('')).toContain('left out {"taskPlaced":3}\njobFinished 0\n');
  });

  // Every request of an instance stood still: whoever read its log had stopped reading, the pipe
  // was full, and the write of the next line waited for it.
  it('goes on, and keeps little, where nobody reads', () => {
    const { clock, written, pending, writer } = createWriter({ reads: false, maxWaitingBytes: 40 });
    write(writer, 'jobFinished', 9);
    expect(written).toHaveLength(1);
    clock.advance(1_000);
    write(writer, 'jobFinished', 9);
    expect(written).toHaveLength(1);
    expect(written.join('').length).toBeLessThanOrEqual(40);
    pending.splice(0).forEach((onWritten) => onWritten());
    expect(written).toHaveLength(2);
    expect(written[1]!.length).toBeLessThanOrEqual(40);
  });

  // Guards against a process that ends before its last lines are written.
  it('waits until the last line is written', async () => {
    const { written, pending, writer } = createWriter({ reads: false });
    write(writer, 'jobFinished', 2);
    const events: string[] = [];
    const waited = writer.whenWritten(LONG_MS).then(() => events.push('waited'));
    await sleep(SHORT_MS);
    pending.splice(0).forEach((onWritten) => onWritten());
    await sleep(SHORT_MS);
    expect(written.join('')).toContain('jobFinished 1');
    expect(events).toEqual([]);
    pending.splice(0).forEach((onWritten) => onWritten());
    await waited;
    expect(events).toEqual(['waited']);
  });

  // Guards against a process that doesn't end as nobody reads its log.
  it('waits for no longer than it is told to where nobody reads', async () => {
    const { clock, writer } = createWriter({ reads: false });
    write(writer, 'jobFinished', 1);
    const waited = writer.whenWritten(LONG_MS);
    clock.advance(LONG_MS);
    await expect(waited).resolves.toBeUndefined();
  });

  // Guards against a home in a rush that hands each line over by itself: a thread of the runtime
  // wakes up for each, which costs more than the line.
  it('writes the lines of a turn together, and those that come meanwhile after them', () => {
    const turns: (() => void)[] = [];
    const traits = { reads: false, afterTurn: (end: () => void) => turns.push(end) };
    const { written, pending, writer } = createWriter(traits);
    write(writer, 'jobFinished', 3);
    expect(written).toEqual([]);
    turns.splice(0).forEach((end) => end());
    expect(written).toEqual(['jobFinished 0\njobFinished 1\njobFinished 2\n']);
    write(writer, 'jobFinished', 2);
    expect(turns).toEqual([]);
    pending.splice(0).forEach((onWritten) => onWritten());
    expect(written.slice(1)).toEqual(['jobFinished 0\njobFinished 1\n']);
    pending.splice(0).forEach((onWritten) => onWritten());
    write(writer, 'jobFinished', 1);
    expect(turns).toHaveLength(1);
  });

  it('hands over what waits where no turn follows, and only once', () => {
    const { written, writer } = createWriter({ reads: true, afterTurn: () => undefined });
    write(writer, 'jobFinished', 2);
    writer.flush();
    writer.flush();
    expect(written).toEqual(['jobFinished 0\njobFinished 1\n']);
  });
});
