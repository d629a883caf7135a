import { describe, expect, it } from 'vitest';
import { NotRunCheck } from '../../src/entry/index.js';
import {
  ERROR_ANSWERS,
  type ErrorKind,
  type Outcome,
  RattanliftError,
} from '../../src/errors/index.js';
import { FleetTables } from '../../src/tables/index.js';

interface Situation {
  readonly kind: ErrorKind;
  readonly claim?: { readonly entry: string; readonly outcome: Outcome | undefined };
  readonly isLogReadable: boolean;
  readonly isRepeat?: boolean;
}

async function correct(situation: Situation): Promise<Outcome> {
  const { kind, claim, isLogReadable, isRepeat = false } = situation;
  const fleet = new FleetTables();
  const readToEnd = async () => {
    if (!isLogReadable) return false;
    if (claim === undefined) return true;
    const row = { requestId: 'r1', pool: 'team/saves', fingerprint: 'f', keepUntilMs: 1 };
    fleet.claims.put({ ...row, ...claim });
    return true;
  };
  const check = new NotRunCheck({ instance: 'a', fleet, readToEnd });
  const error = new RattanliftError({ kind, message: 'refused' });
  const { outcome } = ERROR_ANSWERS[kind];
  const answer = { type: 'failed', requestId: 'r1', outcome, error } as const;
  return (await check.correct(answer, isRepeat)).outcome;
}

describe('NotRunCheck', () => {
  describe('correct', () => {
    // Guards against "not run" for a save that ran: its answer was lost, and the repeat is refused
    // because its deadline has passed or its instance is stopping or has just resumed from a pause.
    it.each(['deadline-past', 'shutting-down', 'log-unavailable', 'home-unavailable'] as const)(
      'finds the earlier attempt that ran if a repeat is refused as %s',
      async (kind) => {
        const claim = { entry: 'b', outcome: 'run' } as const;
        expect(await correct({ kind, claim, isLogReadable: true })).toBe('run');
      },
    );

    it('calls an attempt unknown that another instance has claimed and not settled', async () => {
      const claim = { entry: 'b', outcome: undefined };
      expect(await correct({ kind: 'deadline-past', claim, isLogReadable: true })).toBe('unknown');
    });

    it('keeps "not run" for a request without a claim, or with a claim settled as not run', async () => {
      expect(await correct({ kind: 'deadline-past', isLogReadable: true })).toBe('not-run');
      const claim = { entry: 'b', outcome: 'not-run' } as const;
      expect(await correct({ kind: 'deadline-past', claim, isLogReadable: true })).toBe('not-run');
    });

    it('calls a repeat unknown while the log is out, but not a first attempt', async () => {
      const situation = { kind: 'log-unavailable', isLogReadable: false } as const;
      expect(await correct({ ...situation, isRepeat: true })).toBe('unknown');
      expect(await correct(situation)).toBe('not-run');
    });

    it('trusts a refusal that the home gave while its lease held', async () => {
      const situation = { kind: 'quota-exceeded', isLogReadable: false, isRepeat: true } as const;
      expect(await correct(situation)).toBe('not-run');
    });
  });
});
