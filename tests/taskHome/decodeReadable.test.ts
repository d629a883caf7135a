import { expect, it } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { decodeReadable } from '../../src/taskHome/decodeReadable.js';

const toRecord = (key: string) => ({ key, value: new Uint8Array() });

it('skips records of other kinds, and logs and skips unreadable records', () => {
  const events = new MemoryEventLog();
  const decode = ({ key }: { readonly key: string }): string | undefined => {
    if (key === 'broken') throw new Error('No record.');
    return key.startsWith('wave') ? key : undefined;
  };
  const records = ['wave-1', 'order-1', 'broken', 'wave-2'].map(toRecord);
  const values = decodeReadable(records, decode, { partition: 3, events });
  expect(values).toEqual(['wave-1', 'wave-2']);
  const fields = { key: 'broken', partition: 3, reason: 'Error: No record.' };
  expect(events.events).toEqual([{ event: 'recordUnreadable', fields }]);
});
