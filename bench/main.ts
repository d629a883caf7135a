import { printTable } from './report/printTable.js';
import { measureWaves } from './subjects/measureWaves.js';

(['trentvale', 'association'] as const).forEach((deployment) =>
  [1, 2].forEach((seed) =>
    measureWaves({ deployment, seed }).forEach((t) => console.log(printTable(t).join('\n'))),
  ),
);
