import type { RecordBodyOf } from '../../records/index.js';
import type { FleetTables, InstanceRow, RecordVerdict } from '../../tables/index.js';
import { freeHomes } from './homes.js';
import { ACCEPTED, reject } from './verdicts.js';

const MAX_KEPT_ENDED_INSTANCE_COUNT = 200;

/**
 * Marks an instance as ended, frees its homes and deletes the oldest ended instance beyond the
 * maximum number kept.
 * @param tables - Tables of the replicated state.
 * @param row - The instance.
 * @param state - Whether it left or lapsed.
 */
function endInstance(tables: FleetTables, row: InstanceRow, state: 'left' | 'lapsed'): void {
  tables.instances.put({ ...row, state });
  tables.writerClocks.remove(row.instance);
  freeHomes(tables, row.instance);
  const ended = tables.instances.list().filter((other) => other.state !== 'joined');
  if (ended.length > MAX_KEPT_ENDED_INSTANCE_COUNT) tables.instances.remove(ended[0]!.instance);
}

/**
 * Applies the join of an instance. An instance that was paused past its lease joins again.
 *
 * Another instance with the same address stays joined: its process may be frozen and may still act
 * on its leases after it resumes, so only its own lapse frees them.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
export function applyInstanceJoined(
  tables: FleetTables,
  body: RecordBodyOf<'instance-joined'>,
  offset: number,
): RecordVerdict {
  const { instance, host, peerPort, callerPort, dataCentre } = body;
  if (tables.instances.get(instance)?.state === 'joined') {
    return reject(`Instance ${instance} has joined before.`);
  }
  const state = 'joined';
  const renewalOffset = offset;
  tables.instances.put({ instance, host, peerPort, callerPort, dataCentre, renewalOffset, state });
  return ACCEPTED;
}

/**
 * Applies the renewal of an instance's lease.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
export function applyInstanceRenewed(
  tables: FleetTables,
  body: RecordBodyOf<'instance-renewed'>,
  offset: number,
): RecordVerdict {
  const row = tables.instances.get(body.instance);
  if (row?.state !== 'joined') return reject(`Instance ${body.instance} is not joined.`);
  tables.instances.put({ ...row, renewalOffset: offset });
  return ACCEPTED;
}

/**
 * Applies the orderly leave of an instance.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyInstanceLeft(
  tables: FleetTables,
  body: RecordBodyOf<'instance-left'>,
): RecordVerdict {
  const row = tables.instances.get(body.instance);
  if (row?.state !== 'joined') return reject(`Instance ${body.instance} is not joined.`);
  endInstance(tables, row, 'left');
  return ACCEPTED;
}

/**
 * Applies the lapse of an instance, which another instance declares when it sees no renewal.
 *
 * The lapse races with the renewal: a slow instance may append its renewal while its observer
 * appends the lapse. The record carries the observed offset, so the first of the two on the log
 * wins in every instance, and the fold needs no clock.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyInstanceLapsed(
  tables: FleetTables,
  body: RecordBodyOf<'instance-lapsed'>,
): RecordVerdict {
  const { instance, observedRenewalOffset, by } = body;
  const row = tables.instances.get(instance);
  if (row?.state !== 'joined') return reject(`Instance ${instance} is not joined.`);
  if (by === instance) return reject(`Instance ${instance} cannot declare itself lapsed.`);
  if (row.renewalOffset !== observedRenewalOffset) {
    return reject(
      `Instance ${instance} renewed at offset ${row.renewalOffset}, after offset ${observedRenewalOffset}.`,
    );
  }
  endInstance(tables, row, 'lapsed');
  return ACCEPTED;
}
