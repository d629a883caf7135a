import { describe, expect, it } from 'vitest';
import { shouldHoldHomes, type HomeCapacity } from '../../src/systems/index.js';

const SMALL: HomeCapacity = { coreCount: 0.324, linkMbps: 10 };
const LARGE: HomeCapacity = { coreCount: 1.35, linkMbps: 200 };

function shouldHold(own: HomeCapacity, others: readonly HomeCapacity[], isMember = true): boolean {
  return shouldHoldHomes({ own, others, isMember, areHomesSilent: false });
}

describe('shouldHoldHomes', () => {
  // Guards against slow starts: jobs waited 13 s for their first task although most processors were
  // idle. The busiest homes were held by instances with links of 10 Mbit/s, which were too slow for
  // the reports of their targets.
  it('leaves the homes to several larger instances', () => {
    expect(shouldHold(SMALL, [LARGE, LARGE, LARGE, SMALL])).toBe(false);
    expect(shouldHold(LARGE, [LARGE, LARGE, LARGE, SMALL])).toBe(true);
    expect(shouldHold(SMALL, [LARGE, LARGE, SMALL, SMALL])).toBe(true);
  });

  it('takes part where all are alike, or nobody is known', () => {
    expect(shouldHold(SMALL, Array<HomeCapacity>(8).fill(SMALL))).toBe(true);
    expect(shouldHold(SMALL, [], false)).toBe(true);
  });

  it('takes part again once larger instances are few, not after the loss of one', () => {
    expect(shouldHold(SMALL, [LARGE, LARGE], false)).toBe(false);
    expect(shouldHold(SMALL, [LARGE], false)).toBe(true);
  });

  // Guards against homes without a live holder: every large instance loses power, but the group
  // still lists them as owners. The small instances could take over, but leave all jobs to them.
  it('takes part again when no home answers, whichever instances are listed as owners', () => {
    const others = [LARGE, LARGE, LARGE];
    expect(shouldHoldHomes({ own: SMALL, others, isMember: false, areHomesSilent: true })).toBe(
      true,
    );
  });

  it('does not leave the homes to instances whose link is slower', () => {
    const slow = { coreCount: 4, linkMbps: 7 };
    expect(shouldHold(SMALL, [slow, slow, slow])).toBe(true);
  });
});
