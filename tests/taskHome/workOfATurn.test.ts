import { readFileSync } from 'node:fs';
import { expect, it, vi } from 'vitest';
import type { CallLater } from '../../bench/jobs/HeldTarget.js';
import { HeldTargets } from '../../bench/jobs/HeldTargets.js';
import { makeBenchJob, makeBenchStep } from '../../bench/jobs/makeBenchJob.js';
import { openBenchHome } from '../../bench/jobs/openBenchHome.js';
import { StoreStandIn } from '../../standins/store/index.js';
import { TslogEventLog } from '../../src/logging/index.js';
import type { KeyedRecord } from '../../src/store/index.js';
import { disableMechanisms, type Mechanism } from '../../src/systems/index.js';
import type { TaskHome } from '../../src/taskHome/index.js';
import { CallCounter } from '../support/index.js';
import { virtualTime } from './histories/VirtualTime.js';
import { EMPTY_SYNC_REQUEST, makeEntry } from './HomeWorld.js';

vi.mock('node:timers/promises', async () => {
  const { virtualTime: time } = await import('./histories/VirtualTime.js');
  return { setTimeout: time.sleep.bind(time) };
});

const TARGET_COUNT = 16;
const TARGET_CAPACITY = { cpuMillicores: 32_000, memoryMb: 131_072, gpuCount: 0 };
const STEP = [8, 4.5] as const;
const TASKS_PER_JOB = 16;
const RUN_MS = 800;
const LOOK_EVERY_MS = 250;

/** Milliseconds between two jobs: in the mean, and in a turn of five times as many. */
const MEAN_EVERY_MS = 500;
const TURN_EVERY_MS = 100;
const JOBS_BEFORE_TURN = 8;
const JOBS_IN_TURN = 20;
const JOB_COUNT = JOBS_BEFORE_TURN + JOBS_IN_TURN;
const TASK_COUNT = JOB_COUNT * TASKS_PER_JOB;
/** Time in which the queue of the turn is worked off. */
const AFTER_TURN_MS = 4_000;

/** Growth that a change may bring without a new figure here. */
const SLACK = 1.03;

/** Work of a home for the whole load; `calls` are those of functions of `src`. */
const EXPECTED = {
  calls: 779_097,
  logLines: 1_391,
  appends: 485,
  records: 652,
  recordBytes: 101_504,
  renewals: 586,
} as const;

type Work = Record<keyof typeof EXPECTED, number>;

/** Virtual time keeps what is due; a call that is cancelled is due for nobody. */
const callLater: CallLater = (afterMs, run) => {
  let isCancelled = false;
  virtualTime.call(afterMs, () => {
    if (!isCancelled) run();
  });
  return () => {
    isCancelled = true;
  };
};

/** Reads which mechanisms the users' platform does without. */
function readMechanismsOff(): readonly Mechanism[] {
  const text = readFileSync('deploy/settings.jsonc', 'utf8');
  return JSON.parse(/"mechanismsOff": (\[[^\]]*\])/.exec(text)![1]!) as Mechanism[];
}

function countBytes(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0);
}

/** Hands jobs in, one after the other, and lets the home look at its pool as a daemon does. */
async function playTurn(home: TaskHome): Promise<void> {
  const look = (): void => {
    home.tick();
    home.syncPool({ ...EMPTY_SYNC_REQUEST });
    virtualTime.call(LOOK_EVERY_MS, look);
  };
  look();
  const submit = async (number: number): Promise<void> => {
    const steps = [makeBenchStep(...STEP), makeBenchStep(...STEP, [0])];
    void home.submit(makeBenchJob(`job-${number}`, steps, virtualTime.wallMs()));
    await virtualTime.advance(number < JOBS_BEFORE_TURN ? MEAN_EVERY_MS : TURN_EVERY_MS);
  };
  await Array.from({ length: JOB_COUNT }, (_j, number) => number).reduce(
    (before, number) => before.then(() => submit(number)),
    virtualTime.advance(LOOK_EVERY_MS),
  );
  await virtualTime.advance(AFTER_TURN_MS);
}

async function countWork(): Promise<Work> {
  virtualTime.reset();
  const work = { calls: 0, logLines: 0, appends: 0, records: 0, recordBytes: 0, renewals: 0 };
  const store = new StoreStandIn({ partitionCount: 1 });
  const append = store.append.bind(store);
  vi.spyOn(store, 'append').mockImplementation((request) => {
    work.appends += 1;
    work.records += request.records.length;
    work.recordBytes += countBytes(request.records);
    return append(request);
  });
  const targets = new HeldTargets(virtualTime, RUN_MS, callLater);
  const ids = Array.from({ length: TARGET_COUNT }, (_t, number) => `target-${number}`);
  const entries = ids.map((id) => makeEntry(id, { capacity: TARGET_CAPACITY }));
  const events = new TslogEventLog({
    instance: 'home',
    level: 'info',
    writeLine: () => {
      work.logLines += 1;
    },
    clock: virtualTime,
  });
  const home = await openBenchHome({
    targets,
    entries: new Map(entries.map((entry) => [entry.targetId, entry])),
    store,
    clock: virtualTime,
    events,
    mechanisms: disableMechanisms(readMechanismsOff()),
  });
  const counter = new CallCounter();
  await counter.start();
  await playTurn(home);
  const calls = await counter.stop((url) => url.includes('/src/') && !url.endsWith('/index.ts'));
  home.close();
  expect(targets.startCount).toBe(TASK_COUNT);
  work.calls = [...calls.values()].reduce((sum, count) => sum + count, 0);
  work.renewals = targets.renewalCount;
  return work;
}

// Guards against small things that add up: each change cost little, and together they took 5 % of
// the processor time and an eighth of what was served.
it('does no more for the tasks of a turn than it did', async () => {
  const work = await countWork();
  const grown = Object.entries(EXPECTED)
    .map(([kind, expected]) => ({ kind, expected, counted: work[kind as keyof Work] }))
    .filter(({ expected, counted }) => counted > expected * SLACK);
  expect(grown).toEqual([]);
});

it('counts the same however often it is played', async () => {
  expect(await countWork()).toEqual(await countWork());
});
