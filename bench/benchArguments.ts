import { parseArgs } from 'node:util';
import { throwError } from '../src/errors/index.js';
import type { DeploymentName, TraceSubject } from './traces/index.js';

const DEPLOYMENTS: readonly DeploymentName[] = ['trentvale', 'association'];
const SUBJECTS: readonly TraceSubject[] = ['placement', 'waves', 'buffers', 'overload'];

/** What a run of the bench measures. */
export interface BenchArguments {
  readonly deployments: readonly DeploymentName[];
  readonly subjects: readonly TraceSubject[];
  readonly seed: number;
  /** Whether the tables go to standard output as JSON instead of text. */
  readonly json: boolean;
}

/** Reads one of some values, or the word for all of them. */
function choose<Value extends string>(
  flag: string,
  text: string,
  all: string,
  values: readonly Value[],
): readonly Value[] {
  if (text === all) return values;
  const chosen = values.find((value) => value === text);
  if (chosen !== undefined) return [chosen];
  const expected = [...values, all].join(', ');
  return throwError('bad-request', `--${flag} is "${text}"; expected one of ${expected}.`, {
    field: flag,
  });
}

/**
 * Reads the arguments of the bench.
 * @param args - Arguments after the program's name.
 * @returns What to measure.
 * @throws RattanliftError Of kind `bad-request`, naming the flag.
 */
export function parseBenchArguments(args: readonly string[]): BenchArguments {
  const { values } = parseArgs({
    args: [...args],
    options: {
      deployment: { type: 'string', default: 'both' },
      subject: { type: 'string', default: 'all' },
      seed: { type: 'string', default: '1' },
      json: { type: 'boolean', default: false },
    },
  });
  const seed = Number(values.seed);
  if (!Number.isInteger(seed)) {
    throwError('bad-request', `--seed is "${values.seed}"; expected a whole number.`, {
      field: 'seed',
    });
  }
  return {
    deployments: choose('deployment', values.deployment, 'both', DEPLOYMENTS),
    subjects: choose('subject', values.subject, 'all', SUBJECTS),
    seed,
    json: values.json,
  };
}
