import { SystemClock } from '../../src/utils/index.js';
import { measureFold } from './measureFold.js';

/** Today's sizes of both users together, with room. */
const SIZE = { teamCount: 350, poolCount: 65, vmCount: 2_000, instanceCount: 8 };

const figures = measureFold({
  size: SIZE,
  renewalCount: 20_000,
  claimRecordCount: 5_000,
  clock: new SystemClock(),
});
console.log(JSON.stringify({ ...SIZE, ...figures }, undefined, 2));
