export type { EntryPort, JobAnswer, JobState, JobSubmission } from './EntryPort.js';
