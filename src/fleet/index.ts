export { VmDirectory, type VmDirectoryOptions } from './VmDirectory.js';
