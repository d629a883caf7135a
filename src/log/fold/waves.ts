import type { RecordBodyOf } from '../../records/index.js';
import type { FleetTables, RecordVerdict, WaveStepRow } from '../../tables/index.js';
import { findHomeMismatch } from './homes.js';
import { ACCEPTED, reject } from './verdicts.js';
import { finishWaveIfDone, isWaveFinished } from './waveProgress.js';

/**
 * Applies the start of a wave.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
export function applyWaveStarted(
  tables: FleetTables,
  body: RecordBodyOf<'wave-started'>,
  offset: number,
): RecordVerdict {
  const { wave, pools, author } = body;
  if (tables.waves.has(wave)) return reject(`Wave ${wave} has been started before.`);
  if (pools.length === 0) return reject(`Wave ${wave} names no pool.`);
  const unknown = pools.find((pool) => !tables.homes.has(pool));
  if (unknown !== undefined) return reject(`There is no pool ${unknown}.`);
  const other = tables.waves
    .list()
    .find((row) => !isWaveFinished(row) && row.pools.some((pool) => pools.includes(pool)));
  if (other !== undefined) {
    const shared = other.pools.find((pool) => pools.includes(pool));
    return reject(`Pool ${shared} is in wave ${other.wave}, which is not finished.`);
  }
  const state = 'running';
  const row = { wave, pools, state, reason: '', author, startedOffset: offset } as const;
  tables.waves.put(row);
  finishWaveIfDone(tables, row, offset);
  return ACCEPTED;
}

/**
 * Applies the pause of a wave.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyWavePaused(
  tables: FleetTables,
  body: RecordBodyOf<'wave-paused'>,
): RecordVerdict {
  const row = tables.waves.get(body.wave);
  if (row === undefined) return reject(`There is no wave ${body.wave}.`);
  if (isWaveFinished(row)) return reject(`Wave ${body.wave} is finished.`);
  if (row.state === 'paused') return reject(`Wave ${body.wave} is paused: ${row.reason}`);
  tables.waves.put({ ...row, state: 'paused', reason: body.reason });
  return ACCEPTED;
}

/**
 * Applies the resumption of a paused wave.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyWaveResumed(
  tables: FleetTables,
  body: RecordBodyOf<'wave-resumed'>,
): RecordVerdict {
  const row = tables.waves.get(body.wave);
  if (row === undefined) return reject(`There is no wave ${body.wave}.`);
  if (isWaveFinished(row)) return reject(`Wave ${body.wave} is finished.`);
  if (row.state === 'running') return reject(`Wave ${body.wave} is not paused.`);
  tables.waves.put({ ...row, state: 'running', reason: '' });
  return ACCEPTED;
}

/**
 * Finds the reason why a step may not begin; does not check the writer of the record.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The reason, or undefined if the step may begin.
 */
function findStepRejection(
  tables: FleetTables,
  body: RecordBodyOf<'step-intended'>,
): string | undefined {
  const wave = tables.waves.get(body.wave);
  if (wave === undefined) return `There is no wave ${body.wave}.`;
  if (isWaveFinished(wave)) return `Wave ${body.wave} is finished.`;
  if (wave.state === 'paused') return `Wave ${body.wave} is paused: ${wave.reason}`;
  if (!wave.pools.includes(body.pool)) return `Pool ${body.pool} is not in wave ${body.wave}.`;
  if (tables.assignments.get(body.vm)?.pool !== body.pool) {
    return `VM ${body.vm} does not belong to pool ${body.pool}.`;
  }
  return undefined;
}

/**
 * Checks whether the recorded step of a VM prevents a new step in the same wave.
 * @param step - The recorded step.
 * @param body - The requested step.
 * @returns Whether the recorded step is done, or the same pool recorded it in this or a later term.
 */
function isBlockingStep(step: WaveStepRow, body: RecordBodyOf<'step-intended'>): boolean {
  if (step.state !== 'intended') return true;
  return step.pool === body.pool && step.term >= body.term;
}

/**
 * Applies a home's intention to maintain a VM.
 *
 * If a home dies after it has recorded the intention, it is unknown whether the VM was rebooted.
 * Its successor repeats the step and keeps the boot id from before the first attempt. If the VM
 * reports a later boot, the reboot took place and is not repeated.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyStepIntended(
  tables: FleetTables,
  body: RecordBodyOf<'step-intended'>,
): RecordVerdict {
  const { wave, pool, vm, term } = body;
  const fault = findHomeMismatch(tables, body) ?? findStepRejection(tables, body);
  if (fault !== undefined) return reject(fault);
  const former = tables.waveSteps.get(`${wave}/${vm}`);
  if (former !== undefined && isBlockingStep(former, body)) {
    return reject(`The step of VM ${vm} in wave ${wave} is ${former.state} already.`);
  }
  const bootId = former?.bootId ?? body.bootId;
  tables.waveSteps.put({ wave, pool, vm, term, bootId, state: 'intended' });
  return ACCEPTED;
}

/**
 * Applies the end of a VM's step.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
export function applyStepFinished(
  tables: FleetTables,
  body: RecordBodyOf<'step-finished'>,
  offset: number,
): RecordVerdict {
  const { wave, pool, vm, result } = body;
  const fault = findHomeMismatch(tables, body);
  if (fault !== undefined) return reject(fault);
  const step = tables.waveSteps.get(`${wave}/${vm}`);
  if (step?.pool !== pool) return reject(`VM ${vm} of pool ${pool} has no step in wave ${wave}.`);
  if (step.state !== 'intended') {
    return reject(`The step of VM ${vm} in wave ${wave} is ${step.state} already.`);
  }
  tables.waveSteps.put({ ...step, state: result });
  finishWaveIfDone(tables, tables.waves.getOrThrow(wave), offset);
  return ACCEPTED;
}
