import { gzipSync } from 'node:zlib';
import type { FastifyInstance } from 'fastify';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  createHttpServer,
  type EntryPort,
  type JobState,
  type JobSubmission,
  registerCallerRoutes,
} from '../../src/callers/index.js';
import { type CliIo, runCli } from '../../src/cli/index.js';
import { EXIT_CODES } from '../../src/errors/index.js';
import { registerOperatorRoutes, type WaveView } from '../../src/operators/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { FakeOperatorPort } from '../operators/FakeOperatorPort.js';

const DOCUMENT = `{
  "formatVersion": 1, "team": "wiki",
  "pools": { "saves": {
    "neededSlotCount": 40,
    "availability": { "failureDomain": "rack", "maxUnavailableFraction": 0.25 },
    "jobKinds": { "save": { "coreCount": 1, "memoryMb": 9, "expectedRunMs": 9, "idempotent": false } }
  } }
}`;
function formatLogLine(second: number, instance: string, event: string, text: string): string {
  const at = `2026-10-03T14:24:0${second}.000Z`;
  return `${JSON.stringify({ at, event, instance, text, jobId: 'pack-17' })}\n`;
}

const FILES: Readonly<Record<string, string>> = {
  'wiki.jsonc': DOCUMENT,
  'rival.jsonc': DOCUMENT.replace('40', '60'),
  'entry-1.log': formatLogLine(0, 'entry-1', 'jobAccepted', 'A durable job is stored.'),
  'home-2.log.gz': formatLogLine(1, 'home-2', 'jobFinished', 'A durable job has its final state.'),
  'broken.jsonc': DOCUMENT.replace('"rack"', '"shelf"'),
};
const JOB = { jobId: 'entry-1.7', requestId: 'r-1', pool: 'wiki/saves' } as const;

let server: FastifyInstance;
let port: FakeOperatorPort;
let daemon: string;
let submission: JobSubmission;
let jobAnswers: readonly Partial<JobState>[];

const ENTRY: EntryPort = {
  run: () => Promise.reject(new Error('The command line never waits for an answer.')),
  submit: async (submitted) => {
    submission = submitted;
    return { ...JOB, phase: 'waiting' };
  },
  getJob: async () => {
    const [answer, ...rest] = jobAnswers;
    jobAnswers = rest;
    return { ...JOB, phase: 'finished', ...answer };
  },
  cancelJob: async () => ({ ...JOB, phase: 'finished', outcome: 'not-run' }),
};

beforeEach(async () => {
  port = new FakeOperatorPort();
  jobAnswers = [];
  const clock = new ManualClock(1000);
  server = createHttpServer({ clock });
  registerCallerRoutes(server, ENTRY, { clock });
  await registerOperatorRoutes(server, port, clock);
  daemon = new URL(await server.listen({ host: '127.0.0.1', port: 0 })).host;
});

afterEach(async () => {
  await server.close();
});

/** Runs a command against the daemon, with a clock that only sleeping moves. */
async function run(...args: readonly string[]) {
  const clock = new ManualClock(1000);
  let stdout = '';
  let stderr = '';
  const io: CliIo = {
    stdout: (output) => {
      stdout += output.toString();
    },
    stderr: (text) => {
      stderr += text;
    },
    readFile: async (path) =>
      path.endsWith('.gz') ? gzipSync(FILES[path]!) : Buffer.from(FILES[path]!),
    environment: { RATTANLIFT_DAEMONS: daemon, USER: 'ada' },
    clock,
    sleep: async (delayMs) => clock.advance(delayMs),
  };
  const exitCode = await runCli(args, io);
  return { exitCode, stdout, stderr };
}

function waveOf(change: Partial<WaveView>): WaveView {
  return {
    wave: 'wave-1',
    pools: ['wiki/saves'],
    state: 'running',
    reason: '',
    vmCount: 2,
    maintainedVmCount: 1,
    failedVmCount: 0,
    stepsInProgress: ['vm-2'],
    ...change,
  };
}

describe('runCli', () => {
  it('refuses what was typed wrongly, with the exit code for usage', async () => {
    const expectations = [
      [['nothing'], 'There is no "nothing".'],
      [['pools', '--jsn'], 'There is no flag --jsn.'],
      [['pools', 'wiki'], '"wiki" is not expected here.'],
      [['settings', 'publish'], 'FILE'],
      [['settings', 'publish', 'wiki.jsonc', '--base-version', 'x'], 'a whole number'],
      [['pools', '--daemon', 'http://a'], 'A daemon is HOST:PORT'],
      [['jobs', 'submit', 'wiki/saves'], '--kind'],
      [['jobs', 'submit', 'saves', '--kind', 'save'], 'A pool is TEAM/POOL'],
    ] as const;
    const results = await Promise.all(expectations.map(([args]) => run(...args)));
    results.forEach(({ exitCode, stderr }, index) => {
      expect(exitCode).toBe(EXIT_CODES.usage);
      expect(stderr).toContain(expectations[index]![1]);
    });
    expect(port.publications).toEqual([]);
  });

  it('shows an example with the help of a command', async () => {
    const { exitCode, stdout } = await run('waves', 'start', '--help');
    expect(exitCode).toBe(EXIT_CODES.ok);
    expect(stdout).toContain('USAGE rattanlift waves start');
    expect(stdout).toContain('EXAMPLE\n\n  rattanlift waves start');
  });

  it('prints tables for people and JSON for programs', async () => {
    expect((await run('vms')).stdout).toBe(
      'VM    POOL        STATE  DRAINED BY  SLOTS  WORKER    RACK    DATA CENTRE\n' +
        'vm-1  wiki/saves  live   -               4  worker-1  rack-1  north\n',
    );
    expect(JSON.parse((await run('--json', 'vms')).stdout)).toEqual(port.listVms());
  });

  it('answers unknown things and unreachable daemons with their exit codes', async () => {
    const unknown = await run('vms', 'drain', 'vm-9', '--json');
    expect(unknown.exitCode).toBe(EXIT_CODES.notFound);
    expect(JSON.parse(unknown.stderr)).toMatchObject({ kind: 'unknown-vm', outcome: 'not-run' });
    expect((await run('pools', '--daemon', '127.0.0.1:1')).exitCode).toBe(EXIT_CODES.unavailable);
    expect((await run('pools', '--daemon', `127.0.0.1:1,${daemon}`)).exitCode).toBe(EXIT_CODES.ok);
  });
});

describe('settings', () => {
  it('checks files without a daemon', async () => {
    const result = await run('settings', 'check', 'wiki.jsonc', 'broken.jsonc', '--daemon=');
    expect(result.exitCode).toBe(EXIT_CODES.invalid);
    expect(result.stdout).toContain('wiki.jsonc: valid\nbroken.jsonc:5:40 pools.saves');
  });

  it('publishes on top of the version in force and prints the document back', async () => {
    expect((await run('settings', 'publish', 'wiki.jsonc')).stdout).toContain('version 1');
    expect((await run('settings', 'publish', 'rival.jsonc')).stdout).toContain('version 2');
    expect((await run('settings', 'show', 'wiki')).stdout).toBe(`${FILES['rival.jsonc']}\n`);
    expect((await run('settings', 'show', 'none')).exitCode).toBe(EXIT_CODES.notFound);
    expect((await run('settings', 'publish', 'broken.jsonc')).exitCode).toBe(EXIT_CODES.invalid);
  });

  // Two operators edit version 1. The first publishes version 2. The second publishes on top of
  // version 1 and must neither undo the first one's change nor be left without knowing it.
  it('tells the loser of a race what changed', async () => {
    await run('settings', 'publish', 'wiki.jsonc');
    await run('settings', 'publish', 'rival.jsonc', '--author', 'bob');
    const loser = await run('settings', 'publish', 'wiki.jsonc', '--base-version', '1');
    expect(loser.exitCode).toBe(EXIT_CODES.conflict);
    expect(loser.stdout).toContain('You saw version 1; in force is version 2 by bob.');
    expect(loser.stdout).toContain('Published since then:\n  version 2 by bob\nChanges');
    expect(loser.stdout).toContain(
      '-     "neededSlotCount": 40,\n  +     "neededSlotCount": 60,\n',
    );
    expect((await run('settings', 'history', 'wiki')).stdout).toContain('rejected');
  });
});

describe('waves', () => {
  it('follows a wave to its end and tells a stop from a success', async () => {
    const moving = waveOf({});
    port.waveAnswers = [
      waveOf({ stepsInProgress: [], maintainedVmCount: 0 }),
      moving,
      moving,
      waveOf({ state: 'finished', maintainedVmCount: 2 }),
    ];
    const success = await run('waves', 'start', 'wiki/saves', '--wait');
    expect(success.exitCode).toBe(EXIT_CODES.ok);
    expect(success.stderr.match(/1 of 2 VMs maintained, 0 failed, now vm-2/g)).toHaveLength(1);
    expect(success.stderr).toContain('0 failed (wave-1 was placed on vm-1.)');
    port.waveAnswers = [waveOf({ state: 'paused', reason: 'two VMs failed', failedVmCount: 2 })];
    const stop = await run('waves', 'status', 'wave-1', '--watch');
    expect(stop.exitCode).toBe(EXIT_CODES.jobFailed);
    expect(stop.stderr).toContain('two VMs failed');
    expect((await run('waves', 'start', 'wiki/saves')).exitCode).toBe(EXIT_CODES.conflict);
  });

  it('gives up watching after the limit, without a word on how the wave ends', async () => {
    port.waveAnswers = [waveOf({})];
    const result = await run('waves', 'status', 'wave-1', '--watch', '--limit-s', '60');
    expect(result.exitCode).toBe(EXIT_CODES.unknownOutcome);
  });
});

describe('jobs', () => {
  it('submits a job with a deadline and writes its answer', async () => {
    const bodyBase64 = Buffer.from('saved').toString('base64');
    jobAnswers = [
      { phase: 'running' },
      { phase: 'finished', outcome: 'run', httpStatus: 200, bodyBase64 },
    ];
    const submit = [
      'jobs',
      'submit',
      'wiki/saves',
      '--kind=save',
      '--non-idempotent',
      '--deadline-s=5',
    ];
    const result = await run(...submit, '--request-id', 'r-1', '--wait');
    expect(result).toMatchObject({ exitCode: EXIT_CODES.ok, stdout: 'saved' });
    expect(submission).toMatchObject({
      requestId: 'r-1',
      team: 'wiki',
      jobKind: 'save',
      idempotent: false,
      deadlineAtMs: 6000,
    });
  });

  it('has an exit code for each end of a job', async () => {
    const expectations = [
      [{ phase: 'finished', outcome: 'run', httpStatus: 500 }, EXIT_CODES.jobFailed],
      [{ phase: 'finished', outcome: 'unknown' }, EXIT_CODES.unknownOutcome],
      [{ phase: 'finished', outcome: 'not-run', errorKind: 'queue-full' }, EXIT_CODES.unavailable],
      [{ phase: 'running' }, EXIT_CODES.ok],
    ] as const;
    jobAnswers = expectations.map(([answer]) => answer);
    const exitCodes = await expectations.reduce<Promise<readonly number[]>>(
      async (codes) => [...(await codes), (await run('jobs', 'status', 'entry-1.7')).exitCode],
      Promise.resolve([]),
    );
    expect(exitCodes).toEqual(expectations.map(([, exitCode]) => exitCode));
  });

  it('tells the story of a job from log files of several daemons, gzip too', async () => {
    const told = await run('explain', 'pack-17', 'home-2.log.gz', 'entry-1.log');
    expect(told.exitCode).toBe(EXIT_CODES.ok);
    expect(told.stdout).toMatch(/\+0\.000 s .*jobAccepted[^]*\+1\.000 s .*jobFinished/);
    const unknown = await run('explain', 'pack-18', 'entry-1.log');
    expect(unknown).toMatchObject({ exitCode: EXIT_CODES.notFound, stdout: '' });
    expect(unknown.stderr).toContain('No line is about pack-18.');
  });
});
