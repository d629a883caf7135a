import { describe, expect, it } from 'vitest';
import { logRecordSchema } from '../../src/records/index.js';

const CLAIMS = {
  formatVersion: 1,
  recordId: 'r-1',
  writer: 'a',
  body: { type: 'requests-claimed', pool: 'wiki/saves', instance: 'a', term: 1, claims: [] },
};

/** Returns the path of the first fault of a record, or undefined if it is valid. */
function faultOf(record: unknown): string | undefined {
  return logRecordSchema.safeParse(record).error?.issues[0]?.path.join('.');
}

describe('logRecordSchema', () => {
  it('reads a record from before a field was added', () => {
    expect(faultOf(CLAIMS)).toBeUndefined();
    expect(faultOf({ ...CLAIMS, body: { ...CLAIMS.body, writtenAtMs: 5 } })).toBeUndefined();
  });

  it('names the field at fault', () => {
    expect(faultOf({ ...CLAIMS, formatVersion: 2 })).toBe('formatVersion');
    expect(faultOf({ ...CLAIMS, body: { ...CLAIMS.body, term: -1 } })).toBe('body.term');
    expect(faultOf({ ...CLAIMS, body: { type: 'new' } })).toBe('body.type');
  });
});
