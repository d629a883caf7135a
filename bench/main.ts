import { mkdirSync, writeFileSync } from 'node:fs';
import { parseBenchArguments } from './benchArguments.js';
import type { BenchSubject } from './report/BenchSubject.js';
import type { BenchTable } from './report/BenchTable.js';
import { printTable } from './report/printTable.js';
import { renderHtml } from './report/renderHtml.js';
import {
  measureBuffers,
  measureOverload,
  measurePlacement,
  measureWaves,
} from './subjects/index.js';
import type { TraceSubject } from './traces/index.js';

const REPORT_DIRECTORY = 'reports';

const SUBJECTS: Readonly<Record<TraceSubject, BenchSubject>> = {
  placement: measurePlacement,
  waves: measureWaves,
  buffers: measureBuffers,
  overload: measureOverload,
};

/** Whether the product broke a promise in a table; what the baselines break is their own. */
function breaksPromise(table: BenchTable): boolean {
  return table.rows
    .filter((row) => row.policy.startsWith('rattanlift'))
    .some((row) => row.brokenPromiseCount > 0);
}

const options = parseBenchArguments(process.argv.slice(2));
const tables = options.subjects.flatMap((subject) =>
  options.deployments.flatMap((deployment) =>
    SUBJECTS[subject]({ deployment, seed: options.seed }),
  ),
);
mkdirSync(REPORT_DIRECTORY, { recursive: true });
writeFileSync(`${REPORT_DIRECTORY}/bench.json`, `${JSON.stringify(tables, null, 2)}\n`);
writeFileSync(`${REPORT_DIRECTORY}/bench.html`, renderHtml(tables));
if (options.json) console.log(JSON.stringify(tables));
else console.log(tables.flatMap(printTable).join('\n'));
if (tables.some(breaksPromise)) {
  console.error('The product broke a promise.');
  process.exitCode = 1;
}
