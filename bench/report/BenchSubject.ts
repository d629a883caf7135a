import type { DeploymentName } from '../traces/index.js';
import type { BenchTable } from './BenchTable.js';

/** What a subject is measured on. */
export interface BenchSubjectOptions {
  readonly deployment: DeploymentName;
  readonly seed: number;
}

/** Measures one subject. */
export type BenchSubject = (options: BenchSubjectOptions) => readonly BenchTable[];
