import { describe, expect, it } from 'vitest';
import { type LogLevel, JsonEventLog } from '../../src/logging/index.js';
import { ManualClock } from '../../src/utils/index.js';

function createLog(level: LogLevel, takesEvent = () => true) {
  const lines: string[] = [];
  const writeLine = (line: string) => lines.push(line);
  const clock = new ManualClock(Date.UTC(2026, 0, 2, 3, 4, 5, 6));
  return { lines, log: new JsonEventLog({ instance: 'a', level, writeLine, takesEvent, clock }) };
}

describe('JsonEventLog.write', () => {
  // The home of a rush spent 4 % of a core on lines that nobody ever saw: each one was
  // formatted before the budget of lines a second left it out.
  it('formats no line of a kind that is not taken at this moment', () => {
    const { lines, log } = createLog('info', () => false);
    const fields = {
      get taskName(): string {
        throw new Error('The line was formatted.');
      },
    };
    log.write('taskPlaced', fields);
    expect(lines).toEqual([]);
  });

  it('writes an event as one line of JSON with its fields as they are', () => {
    const { lines, log } = createLog('info');
    log.write('jobPlaced', {
      requestId: 'r-1',
      reason: 'two\nlines, "quoted", \u001b[31mred\u001b[0m',
      waitedMs: 1.5,
      excludedVms: ['vm-1'],
      retried: false,
      vm: undefined,
    });
    expect(lines).toHaveLength(1);
    expect(['\n', '\u001b'].filter((control) => lines[0]!.includes(control))).toEqual([]);
    expect(JSON.parse(lines[0]!)).toEqual({
      at: '2026-01-02T03:04:05.006Z',
      number: 2001,
      event: 'jobPlaced',
      level: 'info',
      instance: 'a',
      text: 'The home placed a job on a VM.',
      requestId: 'r-1',
      reason: 'two\nlines, "quoted", \u001b[31mred\u001b[0m',
      waitedMs: 1.5,
      excludedVms: ['vm-1'],
      retried: false,
    });
  });

  it.each([
    ['debug', ['requestReceived', 'jobQueued', 'leaseLost', 'unexpectedError']],
    ['info', ['jobQueued', 'leaseLost', 'unexpectedError']],
    ['warn', ['leaseLost', 'unexpectedError']],
    ['error', ['unexpectedError']],
  ] as const)('writes from level %s up', (level, expected) => {
    const { lines, log } = createLog(level);
    log.write('requestReceived');
    log.write('jobQueued');
    log.write('leaseLost');
    log.write('unexpectedError');
    expect(lines.map((line) => JSON.parse(line).event)).toEqual(expected);
  });

  it('does not let a field replace what every line has', () => {
    const { log } = createLog('info');
    // @ts-expect-error -- the number of the event must not be replaced
    log.write('replyDropped', { number: 7 });
  });
});
