import { describe, expect, it } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { decodeConfiguration } from '../../platform/decodeConfiguration.js';
import { decodeJob } from '../../platform/decodeJob.js';
import { decodeTargetEntry } from '../../platform/decodeTargetEntry.js';
import { decodeRead, encodeRecords } from '../../platform/recordCodec.js';
import { decodeWaveOrder } from '../../platform/waveRecords.js';
import { JOB_ORIGIN } from '../support/index.js';
import { TARGET_REPORT } from './targetReport.js';

const toBytes = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

function withHead(endOffset: number, records: Buffer): Buffer {
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(endOffset));
  return Buffer.concat([head, records]);
}

describe('recordCodec', () => {
  it('reads what it writes, with offsets and dropped keys', () => {
    const records = [
      { key: 'a', value: Buffer.from('one') },
      { key: 'ключ', value: undefined },
    ];
    const { endOffset, records: read } = decodeRead(withHead(42, encodeRecords(records)), 40);
    expect(endOffset).toBe(42);
    expect(read.map(({ key, offset, value }) => [key, offset, value?.toString()])).toEqual([
      ['a', 40, 'one'],
      ['ключ', 41, undefined],
    ]);
  });

  // Another writer left bytes that are no record. Each reading broke off at them, so that no change
  // of the configuration was seen any more.
  it('reads on behind bytes that are no key and value', () => {
    const good = encodeRecords([{ key: 'a', value: Buffer.from('one') }]);
    const empty = Buffer.from([0, 0, 0, 0]);
    const longKey = Buffer.from([0, 0, 0, 2, 200, 1]);
    const { records } = decodeRead(withHead(3, Buffer.concat([empty, longKey, good])), 0);
    expect(records.map(({ key, offset }) => [key, offset])).toEqual([
      ['', 0],
      ['', 1],
      ['a', 2],
    ]);
    expect(records.slice(0, 2).every(({ value }) => value !== undefined)).toBe(true);
  });

  it('refuses an answer that was cut off', () => {
    const whole = withHead(1, encodeRecords([{ key: 'a', value: Buffer.from('one') }]));
    expect(() => decodeRead(whole.subarray(0, 12), 0)).toThrow('cut off');
    expect(() => decodeRead(whole.subarray(0, whole.length - 1), 0)).toThrow('cut off');
  });
});

describe('decodeJob', () => {
  it('fills in what the wire leaves out', () => {
    const job = decodeJob(toBytes({ spec: 's', steps: [{ count: 4, cpu: 500 }] }), JOB_ORIGIN);
    expect(job).toMatchObject({ payload: 's', submittedAtMs: 5, schedule: undefined });
    expect(job.steps[0]).toMatchObject({
      taskCount: 4,
      demand: { cpuMillicores: 500, memoryMb: 0, gpuCount: 0 },
      afterSteps: [],
      isLongRunning: false,
    });
  });

  // Guards against callers who are turned away because they leave out what is empty.
  it('takes a job without a payload for one with an empty payload', () => {
    expect(decodeJob(toBytes({ steps: [{ count: 1 }] }), JOB_ORIGIN).payload).toBe('');
  });

  it('reads steps that last, fill and come after others, and times', () => {
    const step = { count: 1, long_running: true, may_miss: 0, target_ms: 80, fills: true };
    const body = {
      spec: '',
      steps: [{ count: 1 }, { ...step, after: [0], max_per_server: 2 }],
      repeat_count: 3,
      first_run_ms: 1_000,
      interval_ms: 50,
    };
    const job = decodeJob(toBytes(body), JOB_ORIGIN);
    expect(job.steps[1]).toMatchObject({
      isLongRunning: true,
      maxUnavailableCount: 0,
      latencyTargetMs: 80,
      isBestEffort: true,
      afterSteps: [0],
      maxTasksPerTarget: 2,
    });
    expect(job.schedule).toEqual({ occurrenceCount: 3, firstDueAtMs: 1_000, intervalMs: 50 });
  });

  it.each([
    ['{', 'body'],
    ['{"spec":"s","steps":[]}', 'steps'],
    ['{"spec":"s","steps":[{"count":0}]}', 'steps.0.count'],
    ['{"spec":"s","steps":[{"count":1,"after":[0]}]}', 'steps'],
    ['{"spec":1,"steps":[{"count":1}]}', 'spec'],
  ])('names the field at fault of %s', (body, field) => {
    const act = () => decodeJob(Buffer.from(body), JOB_ORIGIN);
    expect(act).toThrow(expect.objectContaining({ kind: 'bad-request', field }));
  });
});

describe('decodeConfiguration', () => {
  const route = { name: 'r', host: 'h.example', path_prefix: '/p/', backend: 'b' };

  it('decodes queues and pools', () => {
    const configuration = decodeConfiguration(
      toBytes({
        version: 7,
        routes: [{ ...route, priority: 1, max_attempts: 3, stretch: 1.6 }],
        backends: [{ name: 'b' }, { name: 's', standby: true }],
      }),
    );
    expect(configuration.queues[0]).toMatchObject({
      host: 'h.example',
      pathPrefix: '/p/',
      terms: { queue: 'r', pool: 'b', priority: 1, maxAttempts: 3, needsAdvice: false },
    });
    expect(configuration.pools).toEqual([
      { pool: 'b', isStandby: false },
      { pool: 's', isStandby: true },
    ]);
  });

  it('tells which field it cannot read', () => {
    const { host, ...broken } = route;
    const value = toBytes({ version: 7, routes: [broken], backends: [] });
    expect(host).toBeDefined();
    expect(() => decodeConfiguration(value)).toThrow('routes[0].host');
  });

  it('marks queues whose targets ask for tickets', () => {
    const advised = { ...route, advice: { decision_ms: 5 } };
    const value = toBytes({ version: 1, routes: [advised], backends: [] });
    expect(decodeConfiguration(value).queues[0]?.terms.needsAdvice).toBe(true);
  });
});

describe('decodeTargetEntry', () => {
  it('reads a report, and throws at one that it cannot read', () => {
    const report = { ...TARGET_REPORT, state: 'draining', labels: ['a', 'r1-3'] };
    expect(decodeTargetEntry({ key: 'i-1', value: toBytes(report) })).toEqual({
      targetId: 'i-1',
      pool: 'b',
      host: '10.0.0.1',
      port: 80,
      dataCentre: 'z',
      rack: 'r1-3',
      labels: ['a', 'r1-3'],
      capacity: { cpuMillicores: 16_000, memoryMb: 32_768, gpuCount: 0 },
      isDraining: true,
    });
    const unreadable = ['{}', 'no JSON', '', '[]', 'null'].map((text) => Buffer.from(text));
    unreadable.forEach((value) => expect(() => decodeTargetEntry({ key: 'i-2', value })).toThrow());
  });

  // Guards against ends of a lifetime that count as those of the one before it.
  it('names each lifetime of a target that starts again under its id', () => {
    const targetIds = [undefined, 1, 2].map(
      (born) =>
        decodeTargetEntry({ key: 'i-1', value: toBytes({ ...TARGET_REPORT, born }) }).targetId,
    );
    expect(targetIds).toEqual(['i-1', 'i-1@1', 'i-1@2']);
  });

  // Another writer left entries among those of targets; one was taken for a target that is ready,
  // and tasks were placed on an address at which nobody listens.
  it.each([
    ['a state that there is not', { state: 'paused' }],
    ['a state of another type', { state: 1 }],
    ['an address without a port', { address: 'somewhere' }],
    ['no service', { backend: undefined }],
    ['no capacity', { free_capacity: undefined }],
    ['no version', { version: undefined }],
    ['a capacity of another type', { capacity: '8' }],
    ['no sequence', { sequence: undefined }],
    ['a start that is no whole number', { born: 1.5 }],
    ['a start of another type', { born: '1' }],
  ])('takes an entry with %s for no target', (_what, changes) => {
    const value = toBytes({ ...TARGET_REPORT, ...changes });
    expect(() => decodeTargetEntry({ key: 'i-1', value })).toThrow();
  });
});

describe('decodeWaveOrder', () => {
  it('reads a wave, and passes over other records', () => {
    const events = new MemoryEventLog();
    const value = toBytes({ wave: 3, machines: ['m-1'], duration_s: 20, maximum: 2 });
    expect(decodeWaveOrder({ key: 'wave/3', value }, events)).toEqual({
      wave: 3,
      vms: ['m-1'],
      withinMs: 20_000,
      maxDownCount: 2,
    });
    expect(decodeWaveOrder({ key: 'other', value }, events)).toBeUndefined();
    expect(decodeWaveOrder({ key: 'wave/4', value: Buffer.from('[]') }, events)).toBeUndefined();
    expect(events.events).toHaveLength(1);
  });
});
