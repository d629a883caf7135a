import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { targetAnswerSchema } from '../../src/targets/targetCallSchemas.js';
import { PlatformTargets } from '../../platform/PlatformTargets.js';

const TARGET_ID = '00000000000000a1';
const RENEWAL = { term: 1, acknowledgedEndNumber: 0, waitMs: 0 };

describe('PlatformTargets', () => {
  let server: Server;
  let targets: PlatformTargets;
  let endCount: number;
  let oddBody: string | undefined;
  let bornAtMs: number | undefined;
  let calledFor: string | undefined;

  beforeEach(async () => {
    endCount = 0;
    oddBody = undefined;
    bornAtMs = undefined;
    server = createServer((request, response) => {
      calledFor = request.headers['expect-instance']?.toString();
      const ended = Array.from({ length: endCount }, (_none, index) => [
        index + 1,
        `00000000000000ff.0.0.${index}`,
        1,
        'done',
        '',
      ]);
      response.setHeader('content-type', 'application/json');
      response.end(oddBody ?? JSON.stringify({ clock_ms: 5, born: bornAtMs, running: [], ended }));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    targets = new PlatformTargets();
  });

  afterEach(() => {
    targets.forget(TARGET_ID);
    server.closeAllConnections();
    server.close();
  });

  // Guards against tasks that start again after their ends: a target lists 500 at a time.
  it.each([
    [0, true],
    [499, true],
    [500, false],
  ])('tells of a report with %i ends whether it has all: %s', async (count, hasAllEnds) => {
    endCount = count;
    const { port } = server.address() as AddressInfo;
    const answer = await targets.renew({ targetId: TARGET_ID, host: '127.0.0.1', port }, RENEWAL);
    expect(answer).toMatchObject({ type: 'report', hasAllEnds });
    expect(answer).toHaveProperty('ended.length', count);
  });

  // Guards against a start that counts as begun on a target that was dead before it was sent.
  it('tells of a start that has reached nobody', async () => {
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const target = { targetId: TARGET_ID, host: '127.0.0.1', port };
    const start = { taskName: 'a.0.0.0', run: 1, payload: '', leaseUntilTargetMs: 9, term: 1 };
    const answer = await targets.start(target, start);
    expect(answer).toEqual({ type: 'unreachable' });
    expect(targetAnswerSchema.parse(answer)).toEqual(answer);
  });

  // Guards against ends of a lifetime that count as those of the one before it.
  it.each([
    ['its own', `${TARGET_ID}@7`, 7, { type: 'report' }],
    ['a later', `${TARGET_ID}@7`, 8, { type: 'reborn', targetId: `${TARGET_ID}@8` }],
    ['an earlier', `${TARGET_ID}@7`, 6, { type: 'reborn', targetId: `${TARGET_ID}@6` }],
    ['an unnamed', `${TARGET_ID}@7`, undefined, { type: 'report' }],
    ['any, as its entry names none', TARGET_ID, 7, { type: 'report' }],
  ])('tells of a report from %s lifetime', async (_which, targetId, answeredBornAtMs, expected) => {
    bornAtMs = answeredBornAtMs;
    const { port } = server.address() as AddressInfo;
    const answer = await targets.renew({ targetId, host: '127.0.0.1', port }, RENEWAL);
    targets.forget(targetId);
    expect(answer).toMatchObject(expected);
    // A home may call through another instance.
    expect(targetAnswerSchema.parse(answer)).toEqual(answer);
    expect(calledFor).toBe(TARGET_ID);
  });

  // Guards against a home that ends at the answer of one target.
  it.each(['running', 'ended', 'clock_ms', 'another'])(
    'reads on after an answer with %s nested 100,000 times',
    async (field) => {
      const depth = 100_000;
      const fields = { clock_ms: 5, running: [], ended: [] };
      const others = JSON.stringify({ ...fields, [field]: undefined }).slice(0, -1);
      const { port } = server.address() as AddressInfo;
      const address = { targetId: TARGET_ID, host: '127.0.0.1', port };
      oddBody = `${others},"${field}":${'['.repeat(depth)}${']'.repeat(depth)}}`;
      const renewed = targets.renew(address, RENEWAL);
      if (field === 'another') expect(await renewed).toMatchObject({ type: 'report' });
      else await expect(renewed).rejects.toThrow(field);
      oddBody = undefined;
      expect(await targets.renew(address, RENEWAL)).toMatchObject({ type: 'report' });
    },
  );
});
