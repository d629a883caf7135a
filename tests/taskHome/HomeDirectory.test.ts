import { describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { PartitionOwner } from '../../src/store/index.js';
import { formatMember, HomeDirectory, parseMember } from '../../src/taskHome/index.js';
import { ManualClock } from '../../src/utils/index.js';

const makeMember = (instance: string, coreCount: number) => ({
  address: { instance, host: '10.0.0.1', port: 7060 },
  capacity: { coreCount, linkMbps: 10 },
});

async function makeDirectory(
  owners: readonly (readonly [number, string])[],
): Promise<HomeDirectory> {
  const directory = new HomeDirectory({
    groups: {
      listOwners: async (): Promise<readonly PartitionOwner[]> =>
        owners.map(([partition, member]) => ({ partition, member })),
    },
    group: 'homes',
    instance: 'asker',
    peers: { call: () => Promise.reject(new Error('No peer is asked.')) },
    clock: new ManualClock(),
    events: new MemoryEventLog(),
  });
  await directory.refresh();
  return directory;
}

describe('HomeDirectory', () => {
  // Guards against a small instance that leaves the homes to a larger one that no longer exists.
  it('forgets a member some time after its announcement', () => {
    const clock = new ManualClock();
    const directory = new HomeDirectory({
      groups: { listOwners: async () => [] },
      group: 'homes',
      instance: 'asker',
      peers: { call: async () => ({ type: 'done' }) },
      clock,
      events: new MemoryEventLog(),
    });
    directory.addAnnouncedMember('other@10.0.0.1:7/1.35,140');
    directory.addAnnouncedMember('no name of a member');
    expect(directory.listCapacities('asker')).toEqual([{ coreCount: 1.35, linkMbps: 140 }]);
    expect(directory.listCapacities('other')).toEqual([]);
    clock.advance(3_000);
    expect(directory.listCapacities('asker')).toEqual([]);
  });

  it('parses the names that it formats, and rejects other names', () => {
    const member = makeMember('frontend-1-abc', 0.675);
    expect(parseMember(formatMember(member))).toEqual(member);
    expect(parseMember('someone-else')).toBeUndefined();
  });

  it('lists idle members without duplicates, and the capacities of others', async () => {
    const [busy, idle] = [makeMember('busy', 1), makeMember('idle', 2)];
    const directory = await makeDirectory([
      [0, formatMember(busy)],
      [1, formatMember(idle)],
      [2, formatMember(idle)],
      [3, 'someone-else'],
    ]);
    expect(directory.get(0)).toEqual(busy.address);
    expect(directory.get(3)).toBeUndefined();
    expect(directory.listIdleMembers([0])).toEqual([idle.address]);
    expect(directory.listCapacities('busy')).toEqual([idle.capacity]);
  });

  it('adopts owners that peers have read later if the group does not answer', async () => {
    const clock = new ManualClock();
    const [earlier, later] = [makeMember('earlier', 1), makeMember('later', 1)];
    const owners = [{ partition: 0, member: formatMember(earlier) }];
    const listOwners = vi.fn(async () => owners);
    const replies = { ageMs: 2_000, member: formatMember(later) };
    const directory = new HomeDirectory({
      groups: { listOwners },
      group: 'homes',
      instance: 'asker',
      peers: {
        call: async () => ({
          type: 'homes',
          owners: [{ partition: 0, member: replies.member }],
          ageMs: replies.ageMs,
        }),
      },
      clock,
      events: new MemoryEventLog(),
    });
    await directory.refresh();
    listOwners.mockRejectedValue(new Error('turned away'));
    clock.advance(1_000);
    await directory.refresh();
    expect(directory.get(0)).toEqual(earlier.address);
    replies.ageMs = 500;
    clock.advance(1_000);
    await directory.refresh();
    expect(directory.get(0)).toEqual(later.address);
    expect(await directory.getOwnersReply()).toMatchObject({ type: 'homes', ageMs: 500 });
  });
});
