import { parseArgs } from 'node:util';
import { PlatformStandIn, platformConfigSchema, readConfigFile } from './index.js';

const { values } = parseArgs({ options: { config: { type: 'string' } } });
const config =
  values.config === undefined ? {} : readConfigFile(values.config, platformConfigSchema);
const platform = new PlatformStandIn(config);
const { port } = await platform.start();

process.once('SIGTERM', () => {
  void platform.stop().then(() => process.exit(0));
});
console.log(`listening ${port}`);
