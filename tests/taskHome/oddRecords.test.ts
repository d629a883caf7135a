import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it, vi } from 'vitest';
import { z } from 'zod';
import { decodeConfiguration } from '../../platform/decodeConfiguration.js';
import { decodeTargetEntry } from '../../platform/decodeTargetEntry.js';
import { decodeWaveRecord } from '../../src/fleetHome/WaveRecord.js';
import { decodeJobRecord, encodeJobSpec } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import { ConfigurationFollower } from '../../src/queues/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { decodeFrame, encodeFrame } from '../../src/peers/frameCodec.js';
import { decodeRecordValue, type KeyedRecord } from '../../src/store/index.js';
import { decodeLapseRecord } from '../../src/taskHome/LapseRecord.js';
import { decodeReadable } from '../../src/taskHome/decodeReadable.js';
import { TargetDirectory } from '../../src/taskHome/TargetDirectory.js';
import { StoreStandIn } from '../../standins/store/index.js';
import { TARGET_REPORT } from '../platformAdapter/targetReport.js';
import {
  MAX_RECORD_BYTES,
  makeEntry,
  makeJob,
  makeStep,
  useHomeWorld,
  type HomeWorld,
} from './HomeWorld.js';

const PLACE = { topic: 'targets', partition: 0 };
const LEVEL_COUNT = MAX_RECORD_BYTES - 16;
/** CBOR of lists, of maps and of tags within each other, and of lists without an end. */
const NESTED_VALUES = [
  Buffer.concat([Buffer.alloc(LEVEL_COUNT, 0x81), Buffer.from([1])]),
  Buffer.concat([Buffer.alloc(LEVEL_COUNT, Buffer.from([0xa1, 0x01])), Buffer.from([1])]),
  Buffer.concat([Buffer.alloc(LEVEL_COUNT, 0xc1), Buffer.from([1])]),
  Buffer.alloc(LEVEL_COUNT, 0x9f),
  Buffer.concat([Buffer.from([0xa1, 0x61, 0x78]), Buffer.alloc(LEVEL_COUNT, 0x81)]),
];

describe('a record nested as deep as the store allows', () => {
  const events = new MemoryEventLog();
  const spec = makeJob('a');
  const DECODERS: readonly (readonly [string, (record: KeyedRecord) => unknown])[] = [
    ['spec/b', decodeJobRecord],
    ['progress/b', decodeJobRecord],
    ['wave/3', decodeWaveRecord],
    ['lapses', decodeLapseRecord],
  ];

  it.each(DECODERS)('at %s is left out, and the next one is read', (key, decode) => {
    const odd = NESTED_VALUES.map((value) => ({ key, value }));
    expect(decodeReadable(odd, decode, { partition: 0, events })).toEqual([]);
    const records = [...odd, encodeJobSpec(spec)];
    const read = decodeReadable(records, decodeJobRecord, { partition: 0, events });
    expect(read.filter(({ type }) => type === 'spec')).toEqual([
      { type: 'spec', jobId: 'a', spec },
    ]);
  });

  it('is refused as a frame of a peer, and the next frame is read', () => {
    const frame = { type: 'ping' } as never;
    const good = encodeFrame(frame).subarray(4);
    NESTED_VALUES.forEach((value) => {
      expect(() => decodeFrame(value)).toThrow(expect.objectContaining({ kind: 'bad-request' }));
      expect(decodeRecordValue(z.unknown(), { key: '', value: good })).toEqual(frame);
    });
  });
});

const ODD_REPORTS = [
  '[',
  '['.repeat(LEVEL_COUNT),
  `${'['.repeat(LEVEL_COUNT / 2)}${']'.repeat(LEVEL_COUNT / 2)}`,
  `{"labels":[${'1,'.repeat(LEVEL_COUNT / 2 - 10)}1]}`,
  JSON.stringify({ ...TARGET_REPORT, address: '10.0.0.1:70000' }),
  JSON.stringify({ ...TARGET_REPORT, free_capacity: { cpu: 1e300 } }),
];

describe('an odd report under the key of a real target', () => {
  // Guards against a real target that nobody lists again, and a list that stops at its entry.
  it.each(ODD_REPORTS.map((odd) => [odd.slice(0, 40), odd] as const))(
    'leaves the others listed, and the target again with its next report: %s',
    async (_start, odd) => {
      const store = new StoreStandIn({ partitionCount: 1 });
      const events = new MemoryEventLog();
      const metrics = new MemoryMetrics();
      const options = { ...PLACE, store, decode: decodeTargetEntry, events, metrics };
      const directory = new TargetDirectory(options);
      const report = async (key: string, text: string): Promise<readonly string[]> => {
        const records = [{ key, value: Buffer.from(text) }];
        await store.append({ ...PLACE, records, timeoutMs: 1_000 });
        await directory.refresh();
        return [...directory.list().keys()].toSorted();
      };
      const good = JSON.stringify(TARGET_REPORT);
      await report('i-1', good);
      await report('i-2', good);
      expect(await report('i-1', odd)).toEqual(['i-2']);
      expect(await report('i-1', odd)).toEqual(['i-2']);
      expect(await report('i-1', good)).toEqual(['i-1', 'i-2']);
      expect(events.events.map(({ event }) => event)).toEqual(['recordUnreadable']);
    },
  );
});

const CONFIGURATION = { version: 1, routes: [], backends: [] };
const ODD_CONFIGURATIONS = [
  '[',
  '['.repeat(LEVEL_COUNT),
  `{"version":2,"routes":${'['.repeat(LEVEL_COUNT / 2 - 20)}${']'.repeat(LEVEL_COUNT / 2 - 20)}}`,
  `{"version":2,"backends":[],"routes":[${'{},'.repeat(LEVEL_COUNT / 3 - 20)}{}]}`,
  '{"version":1e300,"routes":[],"backends":[]}',
  '{"version":1e400,"routes":[],"backends":[]}',
];

describe('a version of the configuration that cannot be read', () => {
  // Guards against later versions that nobody follows, and against one in force that is given up.
  it.each(ODD_CONFIGURATIONS.map((odd) => [odd.slice(0, 40), odd] as const))(
    'leaves the one in force, and the next one is followed: %s',
    async (_start, odd) => {
      const store = new StoreStandIn({ partitionCount: 1 });
      const events = new MemoryEventLog();
      const follower = new ConfigurationFollower({
        store,
        ...PLACE,
        key: 'config',
        decode: decodeConfiguration,
        clock: new SystemClock(),
        events,
      });
      const publish = (text: string) => {
        const records = [{ key: 'config', value: Buffer.from(text) }];
        return store.append({ ...PLACE, records, timeoutMs: 1_000 });
      };
      follower.start();
      await publish(JSON.stringify(CONFIGURATION));
      await vi.waitFor(() => expect(follower.get()?.version).toBe(1));
      await publish(odd);
      const listNames = () => events.events.map(({ event }) => event);
      await vi.waitFor(() => expect(listNames()).toContain('configurationUnreadable'));
      expect(follower.get()?.version).toBe(1);
      await publish(JSON.stringify({ ...CONFIGURATION, version: 3 }));
      await vi.waitFor(() => expect(follower.get()?.version).toBe(3));
      follower.stop();
    },
  );
});

describe('an odd entry under the key of a target that runs a task', () => {
  const LEASE_MS = 500;
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
    world.leaseMs = LEASE_MS;
  });

  // Guards against a task that runs twice, or not at all, though its target answers all the time.
  it('leaves the task running there, and tasks placed after it are done', async () => {
    const home = await world.open();
    const lasting = makeStep({ isLongRunning: true });
    await home.submit(makeJob('a', [lasting]));
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(1));
    const before = world.targets.listRunning();
    const entries = [...world.entries];
    world.entries.clear();
    await sleep(4 * LEASE_MS);
    expect(world.targets.listRunning()).toEqual(before);
    entries.forEach(([targetId, entry]) => world.entries.set(targetId, entry));
    await home.submit(makeJob('b'));
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(2), 3_000);
    expect(world.targets.listRunning()).toEqual(expect.arrayContaining([...before]));
    expect(world.targets.violations).toEqual([]);
  });
});

describe('a listed target that nobody can call, with the most room', () => {
  const WITHIN_MS = 1_000;
  const LARGE = { cpuMillicores: 64_000, memoryMb: 1_000_000, gpuCount: 0 };
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
    world.addTarget(makeEntry('t0', { capacity: LARGE }));
    world.targets.setFaults('t0', { isCutOff: true });
  });

  it.each([
    ['batch task', makeStep()],
    ['gang', makeStep({ taskCount: 2, isGang: true })],
    ['lasting task', makeStep({ isLongRunning: true })],
  ])('holds up no %s', async (_what, step) => {
    const home = await world.open();
    await home.submit(makeJob('a', [step]));
    const listRunning = (): readonly string[] => world.targets.listRunning();
    await vi.waitFor(() => expect(listRunning()).toHaveLength(step.taskCount), WITHIN_MS);
    expect(world.targets.get('t0').runningNames).toEqual([]);
  });
});
