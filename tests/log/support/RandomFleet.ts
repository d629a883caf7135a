import fc from 'fast-check';
import type { RecordBody } from '../../../src/records/index.js';
import { Folder, join, publication } from './Folder.js';

const TEAMS = ['wiki', 'food'];
const POOL_NAMES = ['one', 'two'];
const INSTANCES = ['a', 'b', 'c', 'd', 'e'];
const VMS = ['vm-1', 'vm-2', 'vm-3'];
const WAVES = ['w-1', 'w-2'];
const REQUEST_IDS = ['save-1', 'save-2', 'save-3'];
const STALE_COUNT = 4;

/** Every type of record. */
export const RECORD_TYPES: readonly RecordBody['type'][] = [
  'settings-published',
  'instance-joined',
  'instance-renewed',
  'instance-left',
  'instance-lapsed',
  'home-claimed',
  'home-released',
  'vm-adopted',
  'vm-released',
  'vm-drain-ordered',
  'vm-drain-cancelled',
  'wave-started',
  'wave-paused',
  'wave-resumed',
  'step-intended',
  'step-finished',
  'requests-claimed',
  'requests-settled',
];

/** Types that end a membership or a home which other records need; generated less often. */
const ENDING_TYPES = ['instance-left', 'instance-lapsed', 'home-released'];
const FREQUENT_TYPES = RECORD_TYPES.filter((type) => !ENDING_TYPES.includes(type));

/** Generates an append: its writer, its record, and whether the writer saw the latest state. */
const appendArbitrary = fc.record({
  type: fc.constantFrom(...RECORD_TYPES, ...FREQUENT_TYPES, ...FREQUENT_TYPES),
  team: fc.constantFrom(...TEAMS),
  poolName: fc.constantFrom(...POOL_NAMES),
  instance: fc.constantFrom(...INSTANCES),
  vm: fc.constantFrom(...VMS),
  wave: fc.constantFrom(...WAVES),
  requestId: fc.constantFrom(...REQUEST_IDS),
  isFresh: fc.nat(3).map((draw) => draw > 0),
  stale: fc.nat(STALE_COUNT),
  isRepeated: fc.boolean(),
});

type RandomAppend = typeof appendArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Generates randomly interleaved appends of several writers. */
export const appendsArbitrary = fc.array(appendArbitrary, { minLength: 60, maxLength: 160 });

/** Creates the record of a random append from the state that its writer saw. */
function toBody(randomAppend: RandomAppend, { tables }: Folder): RecordBody {
  const { instance: name, isFresh, stale, team, vm, wave, requestId } = randomAppend;
  const poolOfVm = isFresh ? tables.assignments.get(vm)?.pool : undefined;
  const pool = poolOfVm ?? `${team}/${randomAppend.poolName}`;
  const home = tables.homes.get(pool);
  const instance = (isFresh ? home?.instance : undefined) ?? name;
  const term = isFresh ? (home?.term ?? 0) : stale;
  const acting = { pool, instance, term };
  const version = (fresh: number | undefined): number => (isFresh ? (fresh ?? 0) : stale);
  const runningWave = tables.waves
    .list()
    .find((row) => row.finishedOffset === undefined && row.pools.includes(pool));
  const waveId = (isFresh ? runningWave?.wave : undefined) ?? `${wave}-${stale}`;
  const vmVersion = version(tables.assignments.get(vm)?.version);
  switch (randomAppend.type) {
    case 'settings-published': {
      const poolNames = stale === 0 ? [randomAppend.poolName] : POOL_NAMES;
      return publication(team, poolNames, version(tables.settings.get(team)?.version));
    }
    case 'instance-joined':
      return join(name);
    case 'instance-renewed':
    case 'instance-left':
      return { type: randomAppend.type, instance: name };
    case 'instance-lapsed': {
      const observedRenewalOffset = version(tables.instances.get(name)?.renewalOffset);
      return { type: 'instance-lapsed', instance: name, observedRenewalOffset, by: 'z' };
    }
    case 'home-claimed':
      return { type: 'home-claimed', pool, instance: name, expectedTerm: term };
    case 'home-released':
      return { type: 'home-released', ...acting };
    case 'vm-adopted':
    case 'vm-released':
      return { type: randomAppend.type, vm, ...acting, expectedVersion: vmVersion };
    case 'vm-drain-ordered':
    case 'vm-drain-cancelled':
      return { type: randomAppend.type, vm, author: name };
    case 'wave-started':
      return {
        type: 'wave-started',
        wave: `${wave}-${tables.nextOffset}`,
        pools: [pool],
        author: name,
      };
    case 'wave-paused':
      return { type: 'wave-paused', wave: waveId, reason: 'a VM failed' };
    case 'wave-resumed':
      return { type: 'wave-resumed', wave: waveId, author: name };
    case 'step-intended':
      return { type: 'step-intended', wave: waveId, vm, ...acting, bootId: 'boot' };
    case 'step-finished':
      return { type: randomAppend.type, wave: waveId, vm, ...acting, result: 'maintained' };
    case 'requests-claimed': {
      const claim = { requestId, entry: 'e', keepUntilMs: 1, fingerprint: 'f' };
      return { type: 'requests-claimed', ...acting, claims: [claim] };
    }
    case 'requests-settled':
      return { type: randomAppend.type, ...acting, settlements: [{ requestId, outcome: 'run' }] };
    default:
      throw new Error(`There is no move for ${String(randomAppend.type)}.`);
  }
}

/** An appended record and its verdict. */
export interface AppendedRecord {
  readonly payload: unknown;
  readonly body: RecordBody;
  readonly verdict: ReturnType<Folder['apply']>;
}

/** Initial records of every run: two teams, and instances that are homes of their pools. */
const INITIAL_RECORDS: readonly RecordBody[] = [
  ...TEAMS.map((team) => publication(team, POOL_NAMES)),
  ...INSTANCES.slice(0, -1).map(join),
  ...TEAMS.map((team, index): RecordBody => ({
    type: 'home-claimed',
    pool: `${team}/${POOL_NAMES[0]}`,
    instance: INSTANCES[index]!,
    expectedTerm: 0,
  })),
];

/** Makes random appends one by one, some of them twice as after a lost response. */
export function appendRecords(appends: readonly RandomAppend[]): readonly AppendedRecord[] {
  const folder = new Folder();
  const append = (body: RecordBody, times: number): readonly AppendedRecord[] => {
    const recordId = `r-${folder.tables.nextOffset}`;
    const payload = { formatVersion: 1, recordId, writer: 'w', body };
    return Array.from({ length: times }, () => ({
      payload,
      body,
      verdict: folder.applyPayload(payload),
    }));
  };
  const opening = INITIAL_RECORDS.flatMap((body) => append(body, 1));
  const played = appends.flatMap((move) => append(toBody(move, folder), move.isRepeated ? 2 : 1));
  return [...opening, ...played];
}
