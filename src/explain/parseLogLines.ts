import { z } from 'zod';
import { EVENT_CATALOGUE, type EventName } from '../logging/index.js';
import type { FieldValue, LogLine } from './LogLine.js';

/** Collected lines, and how many others stood between them. */
export interface ParsedLines {
  readonly lines: readonly LogLine[];
  /** Lines that are none of a daemon's, or of an event that this version does not know. */
  readonly skippedCount: number;
}

/** Fields that every line has; all others are the event's own. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'at',
  'number',
  'event',
  'level',
  'instance',
  'text',
]);

const lineSchema = z
  .looseObject({
    at: z.iso.datetime({ offset: true }),
    event: z.string(),
    instance: z.string(),
    text: z.string(),
  })
  .readonly();

function isKnownEvent(event: string): event is EventName {
  return Object.hasOwn(EVENT_CATALOGUE, event);
}

/** Collectors put their own words before a line, so it begins at its first brace. */
function parseLine(raw: string): LogLine | undefined {
  const start = raw.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = lineSchema.safeParse(JSON.parse(raw.slice(start)));
    if (!parsed.success || !isKnownEvent(parsed.data.event)) return undefined;
    const { at, event, instance, text } = parsed.data;
    const own = Object.entries(parsed.data).filter(([name]) => !COMMON_FIELDS.has(name));
    return {
      atMs: Date.parse(at),
      instance,
      event,
      text,
      fields: Object.fromEntries(own) as Readonly<Record<string, FieldValue>>,
    };
  } catch {
    // Not JSON: the first part of a line that a collector has cut, or another program's line.
    return undefined;
  }
}

/**
 * Parses the collected log of one or several daemons.
 * @param text - Lines in any order, each with or without a collector's prefix.
 * @returns The lines that daemons wrote, in their order in the text.
 */
export function parseLogLines(text: string): ParsedLines {
  const raws = text.split('\n').filter((raw) => raw.trim() !== '');
  const lines = raws.map(parseLine).filter((line) => line !== undefined);
  return { lines, skippedCount: raws.length - lines.length };
}
