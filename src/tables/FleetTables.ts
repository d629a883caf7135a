import type {
  AssignmentRow,
  ClaimRow,
  DrainRow,
  HomeRow,
  InstanceRow,
  PublicationRow,
  SettingsRow,
  WaveRow,
  WaveStepRow,
} from './entities.js';
import { Table } from './Table.js';

/** State that every instance folds from the log, the same in all of them at the same offset. */
export class FleetTables {
  /** Offset of the next record to apply. */
  nextOffset = 0;

  readonly settings = new Table<string, SettingsRow>({
    entity: 'settings of team',
    keyOf: (row) => row.team,
  });

  readonly publications = new Table<number, PublicationRow>({
    entity: 'publication',
    keyOf: (row) => row.offset,
  });

  readonly instances = new Table<string, InstanceRow>({
    entity: 'instance',
    keyOf: (row) => row.instance,
  });

  readonly homes = new Table<string, HomeRow>({
    entity: 'home of pool',
    missingKind: 'unknown-pool',
    keyOf: (row) => row.pool,
  });

  readonly assignments = new Table<string, AssignmentRow>({
    entity: 'assignment of VM',
    missingKind: 'unknown-vm',
    keyOf: (row) => row.vm,
  });

  readonly drains = new Table<string, DrainRow>({
    entity: 'drain of VM',
    missingKind: 'unknown-vm',
    keyOf: (row) => row.vm,
  });

  readonly waves = new Table<string, WaveRow>({
    entity: 'wave',
    missingKind: 'unknown-wave',
    keyOf: (row) => row.wave,
  });

  readonly waveSteps = new Table<string, WaveStepRow>({
    entity: 'wave step',
    missingKind: 'unknown-wave',
    keyOf: (row) => `${row.wave}/${row.vm}`,
  });

  readonly claims = new Table<string, ClaimRow>({
    entity: 'claim of request',
    missingKind: 'unknown-job',
    keyOf: (row) => row.requestId,
  });
}
