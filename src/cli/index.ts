export type { CliIo } from './CliIo.js';
export { runCli } from './runCli.js';
