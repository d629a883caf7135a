import { LogFollower, LogWriter } from '../../../src/log/index.js';
import { MemoryEventLog } from '../../../src/logging/index.js';
import { FleetTables } from '../../../src/tables/index.js';
import { SystemClock } from '../../../src/utils/index.js';
import type { MemoryLog } from './MemoryLog.js';

const BACKOFF = { firstMs: 5, longestMs: 10 };

/** Creates the follower, writer and state of one instance on an in-memory log. */
export function createInstance(log: MemoryLog, name = 'a', appendGapMs = 0) {
  const tables = new FleetTables();
  const clock = new SystemClock();
  const events = new MemoryEventLog();
  const common = { log, stream: 'control', tables, clock, backoff: BACKOFF };
  const follower = new LogFollower({
    ...common,
    events,
    readWaitMs: 20,
    readGraceMs: 50,
  });
  let recordCount = 0;
  const makeRecordId = () => {
    recordCount += 1;
    return `${name}-${recordCount}`;
  };
  const writer = new LogWriter({
    ...common,
    follower,
    writer: name,
    makeRecordId,
    appendWaitMs: 50,
    appendGapMs,
  });
  return { tables, clock, events, follower, writer };
}
