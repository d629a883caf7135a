import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeConfiguration } from '../../platform/decodeConfiguration.js';
import { decodeJob } from '../../platform/decodeJob.js';
import { decodeTargetEntry } from '../../platform/decodeTargetEntry.js';
import { decodeWaveOrder } from '../../platform/waveRecords.js';
import { decodeWaveRecord, encodeWaveRecord } from '../../src/fleetHome/WaveRecord.js';
import { decodeJobRecord, encodeJobSpec } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { findReason, JOB_ORIGIN } from '../support/index.js';
import { TARGET_REPORT } from './targetReport.js';

const RUN_COUNT = Number(process.env.ODD_ENTRIES_RUNS ?? 200);
const SEED = Number(process.env.ODD_ENTRIES_SEED ?? 1);
/** Largest record of the store, in bytes. */
const MAX_RECORD_BYTES = 262_144;
/** Room that the other fields of a record take, in bytes. */
const OTHER_FIELDS_BYTES = 1_024;
/** What one unreadable entry may take in the log. */
const MAX_REASON_LENGTH = 4_000;

const ROUTE = { name: 'r', host: 'h.example', path_prefix: '/p/', backend: 'b' };
const CONFIGURATION = { version: 7, routes: [ROUTE], backends: [{ name: 'b' }] };
const JOB = { spec: 's', steps: [{ count: 1 }] };
const WAVE = { wave: 3, machines: ['m-1'], duration_s: 20, maximum: 2 };

/** JSON of an object with one field as it is given, which no value may stand for. */
function withText(object: object, field: string, text: string): Buffer {
  const rest = JSON.stringify(object).slice(1);
  const others = JSON.stringify({ ...object, [field]: undefined }).slice(1, -1);
  const comma = rest === '}' || others === '' ? '' : ',';
  return Buffer.from(`{${others}${comma}${JSON.stringify(field)}:${text}}`);
}

const readTarget = (value: Buffer): unknown => decodeTargetEntry({ key: 'i-1', value });
const readJob = (value: Buffer): unknown => decodeJob(value, JOB_ORIGIN);

function readWave(value: Buffer): unknown {
  const events = new MemoryEventLog();
  const order = decodeWaveOrder({ key: 'wave/3', value }, events);
  if (order === undefined) throw new Error(String(events.events[0]?.fields.reason));
  return order;
}

const READERS: readonly (readonly [string, object, (value: Buffer) => unknown])[] = [
  ['target', TARGET_REPORT, readTarget],
  ['configuration', CONFIGURATION, decodeConfiguration],
  ['job', JOB, readJob],
  ['wave', WAVE, readWave],
];

const FIELDS = READERS.flatMap(([what, object, read]) =>
  [...Object.keys(object), 'another'].map((field) => [what, field, object, read] as const),
);

const LEVEL_COUNT = (MAX_RECORD_BYTES - OTHER_FIELDS_BYTES) / 2;
const NESTED_LISTS = '['.repeat(LEVEL_COUNT) + ']'.repeat(LEVEL_COUNT);
const OBJECT_LEVEL_COUNT = Math.floor((MAX_RECORD_BYTES - OTHER_FIELDS_BYTES) / 6);
const NESTED_OBJECTS = `${'{"a":'.repeat(OBJECT_LEVEL_COUNT)}1${'}'.repeat(OBJECT_LEVEL_COUNT)}`;

describe('nesting as deep as a record of the store allows', () => {
  it.each(FIELDS)('of a %s, in %s, is read or refused with a short reason', (_what, ...odd) => {
    const [field, object, read] = odd;
    [NESTED_LISTS, NESTED_OBJECTS].forEach((text) => {
      const reason = findReason(() => read(withText(object, field, text)));
      expect(reason).not.toContain('RangeError');
      expect(reason.length).toBeLessThan(MAX_REASON_LENGTH);
      expect(findReason(() => read(Buffer.from(JSON.stringify(object))))).toBe('');
    });
  });

  it.each(READERS)('of a %s as a whole is refused', (_what, _object, read) => {
    const texts = [NESTED_LISTS, NESTED_OBJECTS, '['.repeat(MAX_RECORD_BYTES)];
    texts.forEach((text) => expect(() => read(Buffer.from(text))).toThrow());
  });
});

describe('an entry that is wrong in a hundred thousand places', () => {
  const listOf = (item: string): string =>
    `[${`${item},`.repeat((MAX_RECORD_BYTES - OTHER_FIELDS_BYTES) / (item.length + 1))}${item}]`;
  const LISTS: readonly (readonly [string, string, object, (value: Buffer) => unknown])[] = [
    ['target', 'labels', TARGET_REPORT, readTarget],
    ['configuration', 'routes', CONFIGURATION, decodeConfiguration],
    ['configuration', 'backends', CONFIGURATION, decodeConfiguration],
    ['configuration', 'tenants', CONFIGURATION, decodeConfiguration],
    ['job', 'steps', JOB, readJob],
    ['wave', 'machines', WAVE, readWave],
  ];

  // Guards against readers that stand still for seconds each time a target reports itself so.
  it.each(LISTS)('of a %s, in %s, is refused with a short reason', (_what, field, object, read) => {
    ['1', '{}', '[]', 'null'].forEach((item) => {
      const reason = findReason(() => read(withText(object, field, listOf(item))));
      expect(reason).toContain(field);
      expect(reason.length).toBeLessThan(MAX_REASON_LENGTH);
    });
  });
});

/** JSON texts of numbers that nothing real has, and of some that are fine. */
const NUMBER_TEXTS = [
  ...['0', '1', '-1', '0.5', '1.5', '-0.0001', '2147483648', '9007199254740991'],
  ...['9007199254740993', '1e15', '1e18', '1e300', '-1e300', '1e400', '-1e400', '1e306'],
  '9'.repeat(400),
  `0.${'9'.repeat(400)}`,
];

const STEP_FIELDS = [
  ...['count', 'cpu', 'mem_mb', 'gpu', 'estimate_ms', 'max_per_server', 'target_ms', 'may_miss'],
] as const;

const numberTexts = fc.constantFrom(...NUMBER_TEXTS);

function formatFields(fields: Readonly<Record<string, string>>): string {
  return Object.entries(fields)
    .map(([field, text]) => `${JSON.stringify(field)}:${text}`)
    .join(',');
}

const jobTexts = fc
  .record({
    step: fc.dictionary(fc.constantFrom(...STEP_FIELDS), numberTexts, { maxKeys: 3 }),
    job: fc.dictionary(
      fc.constantFrom('repeat_count', 'first_run_ms', 'interval_ms'),
      numberTexts,
      { maxKeys: 2 },
    ),
  })
  .map(({ step, job }) => {
    const steps = `"steps":[{${formatFields({ count: '1', ...step })}}]`;
    return `{${[steps, formatFields(job)].filter((text) => text !== '').join(',')}}`;
  });

// Guards against an accepted job that no later home can read, so that nobody knows it any more.
it('accepts only jobs that the next home can read', () => {
  fc.assert(
    fc.property(jobTexts, (text) => {
      const read = (): unknown => decodeJob(Buffer.from(text), JOB_ORIGIN);
      if (findReason(read) !== '') return;
      const spec = decodeJob(Buffer.from(text), JOB_ORIGIN);
      expect(decodeJobRecord(encodeJobSpec(spec))).toMatchObject({ type: 'spec', spec });
    }),
    { numRuns: RUN_COUNT, seed: SEED },
  );
});

const routeTexts = fc.dictionary(
  fc.constantFrom('priority', 'max_attempts', 'stretch', 'target_duration_ms'),
  numberTexts,
  { minKeys: 1, maxKeys: 2 },
);

// Guards against the jobs of a whole queue that no later home can read.
it('takes only terms with which the jobs of a queue can be read again', () => {
  fc.assert(
    fc.property(routeTexts, (fields) => {
      const route = `${JSON.stringify(ROUTE).slice(0, -1)},${formatFields(fields)}}`;
      const value = withText(CONFIGURATION, 'routes', `[${route}]`);
      if (findReason(() => decodeConfiguration(value)) !== '') return;
      const { needsAdvice, ...terms } = decodeConfiguration(value).queues[0]!.terms;
      expect(needsAdvice).toBe(false);
      const spec = decodeJob(Buffer.from(JSON.stringify(JOB)), { ...JOB_ORIGIN, terms });
      expect(decodeJobRecord(encodeJobSpec(spec))).toMatchObject({ type: 'spec', spec });
    }),
    { numRuns: RUN_COUNT, seed: SEED },
  );
});

// Guards against a wave that the next home takes for one that nobody has begun.
it.each(['wave', 'duration_s', 'maximum'])(
  'takes no wave whose progress cannot be read again, whatever its %s',
  (field) => {
    NUMBER_TEXTS.forEach((text) => {
      const value = withText(WAVE, field, text);
      const order = decodeWaveOrder({ key: 'wave/3', value }, new MemoryEventLog());
      if (order === undefined) return;
      const { wave, withinMs } = order;
      const record = { wave, deadlineAtMs: 1 + withinMs, doneVms: [], status: 'running' } as const;
      expect(decodeWaveRecord(encodeWaveRecord(record))).toEqual(record);
    });
  },
);

const UNCALLABLE_ADDRESSES = [
  ...['10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:70000', `10.0.0.1:${'9'.repeat(400)}`],
  ...['a b:80', ' :80', 'a/b:80', 'user@a:80', 'a\u0000:80', 'a\nb:80', 'a?b:80', 'a#b:80'],
  ...['[::1]:80', `${'a'.repeat(5_000)}:80`, 'a%20b:80', 'ä:80', '..:80', ':80', '10.0.0.1:'],
];

describe('a target that nobody can call', () => {
  it('counts as none, whatever is odd of its port and its host', () => {
    const read = UNCALLABLE_ADDRESSES.filter((address) => {
      const value = Buffer.from(JSON.stringify({ ...TARGET_REPORT, address }));
      return findReason(() => readTarget(value)) === '';
    });
    expect(read).toEqual([]);
  });

  it.each(['10.0.0.1:1', 'a-1.example_x.org:65535', 'localhost:8080'])(
    'is none of those with a host and a port, such as %s',
    (address) => {
      const value = Buffer.from(JSON.stringify({ ...TARGET_REPORT, address }));
      expect(`${decodeTargetEntry({ key: 'i-1', value }).port}`).toBe(address.split(':')[1]);
    },
  );
});

// Guards against one entry that is the room of its whole pool, and against sums without precision.
it.each(['cpu', 'mem_mb', 'gpu'])(
  'counts an entry with more %s than any VM has as none',
  (field) => {
    NUMBER_TEXTS.filter((text) => Number(text) < 0 || Number(text) >= 1e15).forEach((text) => {
      const capacity = withText({ cpu: 1, mem_mb: 1, gpu: 0 }, field, text).toString();
      const value = withText(TARGET_REPORT, 'free_capacity', capacity);
      expect(() => decodeTargetEntry({ key: 'i-1', value })).toThrow();
    });
  },
);

// Guards against a version after which no later one can come.
it('reads no configuration whose version has no successor', () => {
  NUMBER_TEXTS.filter((text) => !Number.isSafeInteger(Number(text) + 1)).forEach((text) =>
    expect(() => decodeConfiguration(withText(CONFIGURATION, 'version', text))).toThrow(),
  );
});
