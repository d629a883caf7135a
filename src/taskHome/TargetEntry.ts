import type { Resources } from '../jobs/index.js';

/** A target as it reports itself to the platform. */
export interface TargetEntry {
  /** Id of the target's lifetime. */
  readonly targetId: string;
  readonly pool: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly rack: string | undefined;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly isDraining: boolean;
}

/** Targets that the platform knows, by id. */
export type TargetEntries = ReadonlyMap<string, TargetEntry>;
