import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { CALLER_HEADERS } from '../../src/callers/index.js';
import { parseSubmission } from '../../src/callers/parseSubmission.js';
import { RattanliftError } from '../../src/errors/index.js';
import { type CallerServer, exchangeBytes, NOW_MS, startCallerServer } from './callerServer.js';

const SEED = 20261202;
const bounds = { seed: SEED, verbose: 1 } as const;
const REQUEST_LINE =
  'POST /v1/pools/wiki/editors/jobs HTTP/1.1\r\nHost: a\r\nConnection: close\r\n';

const plausible = fc.constantFrom('true', 'false', '0', '-1', '1e3', ' 7', 'urgent', 'a', '', '٣');
const value = fc.oneof(plausible, fc.string({ unit: 'binary', maxLength: 40 }));
const name = fc.oneof(
  fc.constantFrom(...Object.values(CALLER_HEADERS), 'content-type', 'content-encoding'),
  fc.string({ maxLength: 20 }).map((text) => `Rattanlift-${text}`),
  fc.string({ unit: 'binary', maxLength: 20 }),
);
const rawHeaders = fc.array(fc.tuple(name, value), { maxLength: 10 });

describe(`headers of callers, seed ${SEED}`, () => {
  let server: CallerServer;

  beforeAll(async () => {
    server = await startCallerServer();
  });

  afterAll(() => server.server.close());

  it('are taken or rejected with a field', () => {
    const parse = (pairs: readonly (readonly string[])[], team: string, pool: string) =>
      parseSubmission({
        rawHeaders: pairs.flat(),
        team,
        pool,
        spareRequestId: 'made',
        nowMs: NOW_MS,
      });
    fc.assert(
      fc.property(rawHeaders, value, value, (pairs, team, pool) => {
        try {
          const submission = parse([['Rattanlift-Kind', 'k'], ...pairs], team, pool);
          expect(submission.deadlineAtMs).toBeGreaterThan(NOW_MS);
          expect([undefined, true, false]).toContain(submission.idempotent);
          expect(submission.coreCount ?? 1).toBeGreaterThan(0);
        } catch (thrown) {
          expect(thrown).toBeInstanceOf(RattanliftError);
          const { kind, field } = thrown as RattanliftError;
          expect(['bad-request', 'deadline-past']).toContain(kind);
          expect(field).toBeTruthy();
        }
      }),
      { ...bounds, numRuns: 3000 },
    );
  });

  it('give a success or a 4xx on the wire, whatever their bytes', async () => {
    await fc.assert(
      fc.asyncProperty(rawHeaders, async (pairs) => {
        const lines = pairs.map(([header, text]) => `${header}: ${text}\r\n`).join('');
        const bytes = Buffer.from(`${REQUEST_LINE}Rattanlift-Kind: k\r\n${lines}\r\n`);
        const received = await exchangeBytes(server.port, bytes);
        expect(received).toMatch(/^HTTP\/1\.1 (200|4\d\d) /);
      }),
      { ...bounds, numRuns: 300 },
    );
    expect(server.events.events.map(({ event }) => event)).not.toContain('unexpectedError');
  });
});
