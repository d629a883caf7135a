import { expect, it } from 'vitest';
import { z } from 'zod';
import { MemoryEventLog } from '../../src/logging/index.js';
import { decodeRecordValue, encodeRecordValue } from '../../src/store/index.js';
import { TargetDirectory } from '../../src/taskHome/TargetDirectory.js';
import { StoreStandIn } from '../../standins/store/index.js';
import { makeEntry } from './HomeWorld.js';

const PLACE = { topic: 'targets', partition: 0 };
const MAX_READ_COUNT = 2;
const entrySchema = z.object({ isDraining: z.boolean() });

// Guards against a task that begins on a target that announced its leave seconds before. An
// instance that held no home for half a minute opens one again and reads the list of targets once:
// the store limits the number of changes in one answer, and the announcement comes after them.
it('reads all changes since its last refresh, also where they are more than one answer', async () => {
  const store = new StoreStandIn({ partitionCount: 1, maxReadCount: MAX_READ_COUNT });
  const report = (targetId: string, isDraining: boolean) => {
    const records = [{ key: targetId, value: encodeRecordValue({ isDraining }) }];
    return store.append({ ...PLACE, records, timeoutMs: 1_000 });
  };
  const directory = new TargetDirectory({
    ...PLACE,
    store,
    decode: (record) => makeEntry(record.key, decodeRecordValue(entrySchema, record)),
    events: new MemoryEventLog(),
  });
  await report('t1', false);
  await directory.refresh();
  await report('t2', false);
  await report('t3', false);
  await report('t2', false);
  await report('t3', false);
  await report('t1', true);
  await directory.refresh();
  expect(directory.list().get('t1')?.isDraining).toBe(true);
});
