import {
  addResources,
  type DurableJobRow,
  RESOURCE_NAMES,
  type Resources,
  type StepSpec,
} from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { getShareKey, sumUsedResources } from './OrganisationUse.js';

/** Gets what an organisation may have in use in a pool; undefined if it has no limit. */
export type GetOrganisationPart = (pool: string, organisation: string) => Resources | undefined;

interface Room {
  readonly part: Resources;
  used: Resources;
}

function isWithin(amounts: Resources, part: Resources): boolean {
  return RESOURCE_NAMES.every((name) => amounts[name] <= part[name]);
}

/** What the organisations may still take into use in their pools, during a round of placement. */
export class OrganisationRooms {
  private readonly rooms = new Map<string, Room | undefined>();

  private readonly rows: readonly DurableJobRow[];

  /** Made once a limit is asked for: most rounds have none. */
  private rowsByShare: ReadonlyMap<string, readonly DurableJobRow[]> | undefined;

  private readonly getPart: GetOrganisationPart;

  private readonly withheldRows = new Set<DurableJobRow>();

  /**
   * Counts nothing until an organisation is asked about.
   * @param rows - Every job with tasks on targets.
   * @param getPart - What each organisation may have in use.
   */
  constructor(rows: readonly DurableJobRow[], getPart: GetOrganisationPart) {
    this.rows = rows;
    this.getPart = getPart;
  }

  /** Jobs of which a task was withheld during the round. */
  get withheld(): readonly DurableJobRow[] {
    return [...this.withheldRows];
  }

  /**
   * Tells whether the limit of a job's organisation leaves room for one more task.
   * @param row - The job.
   * @param step - Step of the task.
   * @returns Whether the task may start; if not, the job counts as withheld.
   */
  fits(row: DurableJobRow, step: StepSpec): boolean {
    const room = this.getRoom(row);
    if (room === undefined) return true;
    const isFitting = isWithin(addResources(room.used, step.demand), room.part);
    if (!isFitting) this.withheldRows.add(row);
    return isFitting;
  }

  /**
   * Counts a task that was placed.
   * @param row - Its job.
   * @param step - Its step.
   */
  allocate(row: DurableJobRow, step: StepSpec): void {
    const room = this.getRoom(row);
    if (room !== undefined) room.used = addResources(room.used, step.demand);
  }

  /**
   * Gives back what a task took whose placement was dropped.
   * @param row - Its job.
   * @param step - Its step.
   */
  release(row: DurableJobRow, step: StepSpec): void {
    const room = this.getRoom(row);
    if (room !== undefined) room.used = addResources(room.used, step.demand, -1);
  }

  private getRoom(row: DurableJobRow): Room | undefined {
    if (row.spec.organisation === undefined) return undefined;
    const key = getShareKey(row);
    if (!this.rooms.has(key)) this.rooms.set(key, this.createRoom(row));
    return this.rooms.get(key);
  }

  private createRoom(row: DurableJobRow): Room | undefined {
    const { organisation, terms } = row.spec;
    const part = this.getPart(terms.pool, organisation!);
    if (part === undefined) return undefined;
    this.rowsByShare ??= groupBy(this.rows, getShareKey);
    return { part, used: sumUsedResources(this.rowsByShare.get(getShareKey(row)) ?? []) };
  }
}
