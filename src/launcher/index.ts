export { type BundledProgram, ProgramBundle } from './ProgramBundle.js';
