import type { DeploymentName, TraceSubject } from '../traces/index.js';

/** A figure that every policy of a table is measured by. */
export interface BenchColumn {
  readonly key: string;
  readonly label: string;
  readonly unit: string;
  readonly better: 'lower' | 'higher';
  /** Best value that any policy could reach, where one is known. */
  readonly bound?: number;
}

/** What one policy reached. */
export interface BenchRow {
  readonly policy: string;
  readonly figures: Readonly<Record<string, number>>;
  readonly brokenPromiseCount: number;
  /** Some of the broken promises, in words. */
  readonly brokenPromises: readonly string[];
}

/** One subject measured on one deployment. */
export interface BenchTable {
  readonly subject: TraceSubject;
  readonly deployment: DeploymentName;
  readonly seed: number;
  readonly title: string;
  readonly columns: readonly BenchColumn[];
  /** Policies; those of the product come first. */
  readonly rows: readonly BenchRow[];
}
