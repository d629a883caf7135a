import { parseArgs } from 'node:util';
import { readConfigFile } from '../platform/index.js';
import { TargetStandIn, targetsConfigSchema } from './index.js';

const { values } = parseArgs({ options: { config: { type: 'string' } } });
const config =
  values.config === undefined ? {} : readConfigFile(values.config, targetsConfigSchema);
const targets = new TargetStandIn(config);
const { port } = await targets.start();

process.once('SIGTERM', () => {
  void targets.stop().then(() => process.exit(0));
});
console.log(`listening ${port}`);
