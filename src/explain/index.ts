export { formatJobStory } from './formatJobStory.js';
export type { JobStory, StoryGap, StoryLine, StoryRole } from './JobStory.js';
export type { FieldValue, LogLine } from './LogLine.js';
export { parseLogLines, type ParsedLines } from './parseLogLines.js';
export { tellJobStory } from './tellJobStory.js';
