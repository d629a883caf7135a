import { describe, expect, it } from 'vitest';
import { shouldHoldHomes, type HomeCapacity } from '../../src/systems/index.js';

const SMALL: HomeCapacity = { coreCount: 0.324, linkMbps: 10 };
const LARGE: HomeCapacity = { coreCount: 1.35, linkMbps: 200 };

function choose(own: HomeCapacity, others: readonly HomeCapacity[], isMember = true): boolean {
  return shouldHoldHomes({ own, others, isMember, areHomesSilent: false });
}

describe('shouldHoldHomes', () => {
  // Jobs waited for 13 s for their first task though most processors idled: the busiest homes had
  // fallen to instances with links of 10 Mbit/s, and their targets' reports did not fit through.
  it('leaves the homes to several larger instances', () => {
    expect(choose(SMALL, [LARGE, LARGE, LARGE, SMALL])).toBe(false);
    expect(choose(LARGE, [LARGE, LARGE, LARGE, SMALL])).toBe(true);
    expect(choose(SMALL, [LARGE, LARGE, SMALL, SMALL])).toBe(true);
  });

  it('takes part where all are alike, or nobody is known', () => {
    expect(choose(SMALL, Array<HomeCapacity>(8).fill(SMALL))).toBe(true);
    expect(choose(SMALL, [], false)).toBe(true);
  });

  it('comes back once larger ones are few, and not for the loss of one', () => {
    expect(choose(SMALL, [LARGE, LARGE], false)).toBe(false);
    expect(choose(SMALL, [LARGE], false)).toBe(true);
  });

  // Every large instance lost power; the group still named them as owners, so that the small ones,
  // which could have gone on, left all jobs to them.
  it('comes back where no home answers, whoever is said to hold them', () => {
    const others = [LARGE, LARGE, LARGE];
    expect(shouldHoldHomes({ own: SMALL, others, isMember: false, areHomesSilent: true })).toBe(
      true,
    );
  });

  it('does not leave the homes to instances whose link is slower', () => {
    const slow = { coreCount: 4, linkMbps: 7 };
    expect(choose(SMALL, [slow, slow, slow])).toBe(true);
  });
});
