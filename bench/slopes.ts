import { mkdirSync, writeFileSync } from 'node:fs';
import { measureRoles } from './slopes/measureRoles.js';
import { printSlope } from './slopes/printSlope.js';

const REPORT_DIRECTORY = 'reports';

const slopes = measureRoles();
mkdirSync(REPORT_DIRECTORY, { recursive: true });
writeFileSync(`${REPORT_DIRECTORY}/slopes.json`, `${JSON.stringify(slopes, null, 2)}\n`);
console.log(slopes.flatMap(printSlope).join('\n'));
