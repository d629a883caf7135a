import type { RecordBody } from '../../records/index.js';
import type { FleetTables, RecordVerdict } from '../../tables/index.js';
import { assertNever } from '../../utils/index.js';
import { applyVmAdopted, applyVmReleased } from './assignments.js';
import { applyRequestsClaimed, applyRequestsSettled } from './claims.js';
import { applyVmDrainCancelled, applyVmDrainOrdered } from './drains.js';
import { applyHomeClaimed, applyHomeReleased } from './homes.js';
import {
  applyInstanceJoined,
  applyInstanceLapsed,
  applyInstanceLeft,
  applyInstanceRenewed,
} from './membership.js';
import { applySettingsPublished } from './settings.js';
import {
  applyStepFinished,
  applyStepIntended,
  applyWavePaused,
  applyWaveResumed,
  applyWaveStarted,
} from './waves.js';

/**
 * Applies a record body to the tables with the handler for its type, which may reject it.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
export function applyBody(tables: FleetTables, body: RecordBody, offset: number): RecordVerdict {
  switch (body.type) {
    case 'settings-published':
      return applySettingsPublished(tables, body, offset);
    case 'instance-joined':
      return applyInstanceJoined(tables, body, offset);
    case 'instance-renewed':
      return applyInstanceRenewed(tables, body, offset);
    case 'instance-left':
      return applyInstanceLeft(tables, body);
    case 'instance-lapsed':
      return applyInstanceLapsed(tables, body);
    case 'home-claimed':
      return applyHomeClaimed(tables, body);
    case 'home-released':
      return applyHomeReleased(tables, body);
    case 'vm-adopted':
      return applyVmAdopted(tables, body, offset);
    case 'vm-released':
      return applyVmReleased(tables, body, offset);
    case 'vm-drain-ordered':
      return applyVmDrainOrdered(tables, body);
    case 'vm-drain-cancelled':
      return applyVmDrainCancelled(tables, body);
    case 'wave-started':
      return applyWaveStarted(tables, body, offset);
    case 'wave-paused':
      return applyWavePaused(tables, body);
    case 'wave-resumed':
      return applyWaveResumed(tables, body);
    case 'step-intended':
      return applyStepIntended(tables, body);
    case 'step-finished':
      return applyStepFinished(tables, body, offset);
    case 'requests-claimed':
      return applyRequestsClaimed(tables, body, offset);
    case 'requests-settled':
      return applyRequestsSettled(tables, body);
    default:
      return assertNever(body);
  }
}
