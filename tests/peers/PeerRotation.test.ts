import { describe, expect, it } from 'vitest';
import { PeerRotation } from '../../src/peers/index.js';

const PEERS = ['a', 'b', 'c', 'd', 'e'].map((instance) => ({ instance, host: '', port: 1 }));

describe('PeerRotation', () => {
  it('takes three at a time, each peer in its turn', () => {
    const rotation = new PeerRotation();
    const take = (): readonly string[] => rotation.takeNext(PEERS).map(({ instance }) => instance);
    expect([take(), take(), take()]).toEqual([
      ['a', 'b', 'c'],
      ['d', 'e', 'a'],
      ['b', 'c', 'd'],
    ]);
  });

  it('takes all where there are fewer, and none where there are none', () => {
    const rotation = new PeerRotation();
    expect(rotation.takeNext(PEERS.slice(0, 2))).toHaveLength(2);
    expect(rotation.takeNext([])).toEqual([]);
  });
});
