import { describe, expect, it } from 'vitest';
import { findFailedRacks } from '../../src/home/findFailedRacks.js';
import type { VmRow } from '../../src/tables/index.js';

function vm(rack: string, state: VmRow['state']): VmRow {
  return { vm: `${rack}-${state}`, rack, dataCentre: 'north', state } as VmRow;
}

describe('findFailedRacks', () => {
  it('names a rack only when all of its VMs are gone', () => {
    const vms = [vm('a', 'gone'), vm('a', 'live'), vm('b', 'gone'), vm('c', 'leaving')];
    expect([...findFailedRacks(vms)]).toEqual(['north/b']);
  });
});
