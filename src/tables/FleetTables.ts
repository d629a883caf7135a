import type {
  AssignmentRow,
  ClaimRow,
  DrainRow,
  FrozenRow,
  HomeRow,
  InstanceRow,
  PublicationRow,
  RetiredHomeRow,
  SettingsRow,
  VerdictRow,
  WriterClockRow,
} from './entities.js';
import { Table } from './Table.js';
import { createWaveStepTable, createWaveTable } from './waveTables.js';

/** Key of the row of `frozen` that covers every team. */
const EVERY_SUBTREE = '*';

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

  readonly waves = createWaveTable();

  readonly waveSteps = createWaveStepTable();

  readonly claims = new Table<string, ClaimRow>({
    entity: 'claim of request',
    missingKind: 'unknown-job',
    keyOf: (row) => row.requestId,
  });

  /** Verdicts on the latest records by their ids, oldest first. */
  readonly verdicts = new Table<string, VerdictRow>({
    entity: 'verdict on record',
    keyOf: (row) => row.recordId,
  });

  /** Subtrees with records of a newer format, on which nothing may be decided. */
  readonly frozen = new Table<string, FrozenRow>({
    entity: 'frozen subtree',
    keyOf: (row) => row.subtree,
  });

  readonly retiredHomes = new Table<string, RetiredHomeRow>({
    entity: 'retired home of pool',
    keyOf: (row) => row.pool,
  });

  readonly writerClocks = new Table<string, WriterClockRow>({
    entity: 'clock of instance',
    keyOf: (row) => row.instance,
  });

  /** Wall-clock time up to which expired claims have been forgotten. */
  claimsForgottenUpToMs = 0;

  /**
   * Tells whether this program must not decide for a team.
   * @param team - The team.
   * @returns Whether a record that it cannot read concerns the team.
   */
  isFrozen(team: string): boolean {
    return this.frozen.has(EVERY_SUBTREE) || this.frozen.has(team);
  }
}
