import { describe, expect, it } from 'vitest';
import type { FinishReport } from '../../src/entry/index.js';
import { JobGrantReporter } from '../../src/entry/JobGrantReporter.js';

const makeGrant = (grantId: string, vm: string) => ({
  type: 'granted' as const,
  grantId,
  term: 1,
  vm,
  host: 'h',
  port: 1,
  heldMs: 0,
});

function setUp(idempotent: boolean) {
  const reported: FinishReport[] = [];
  const removed: string[] = [];
  const reports = new JobGrantReporter({
    job: { requestId: 'r1', pool: 'team/pool', jobKind: 'save', idempotent },
    grantRenewer: { remove: (grantId) => removed.push(grantId) },
    reporter: { report: (report) => reported.push(report) },
  });
  return { reports, reported, removed };
}

describe('JobGrantReporter', () => {
  it('settles a claim once, whichever way comes first', () => {
    const { reports, reported, removed } = setUp(false);
    const grant = makeGrant('g1', 'vm-1');
    reports.recordGrant(grant);
    reports.endGrant(grant, 'run', 'run', 20);
    reports.settle('g1', 'not-run');
    expect(removed).toEqual(['g1']);
    expect(reported).toMatchObject([
      { grantId: 'g1', vm: 'vm-1', isClaimed: true, result: 'run', outcome: 'run', ranMs: 20 },
    ]);
  });

  it('settles a claim that no attempt has settled, under an id that is no grant', () => {
    const { reports, reported } = setUp(false);
    const grant = makeGrant('g1', 'vm-1');
    reports.recordGrant(grant);
    reports.reportAttempt(grant, 'not-started', 5);
    reports.settle('g2', 'not-run');
    expect(reported).toMatchObject([
      { grantId: 'g1', isClaimed: false, result: 'not-started' },
      { grantId: 'g2!', vm: 'vm-1', isClaimed: true, result: 'not-started', outcome: 'not-run' },
    ]);
  });

  it('settles nothing where no grant came, or where the job may run twice', () => {
    const withoutGrant = setUp(false);
    withoutGrant.reports.settle('g1', 'not-run');
    expect(withoutGrant.reported).toEqual([]);
    const idempotent = setUp(true);
    idempotent.reports.recordGrant(makeGrant('g1', 'vm-1'));
    idempotent.reports.settle('g1', 'not-run');
    expect(idempotent.reported).toEqual([]);
  });
});
