import { throwError } from '../errors/index.js';
import { CALLER_HEADERS } from './callerHeaders.js';
import type { JobSubmission } from './EntryPort.js';
import {
  parseBoolean,
  parseDeadline,
  parseName,
  parseRequestId,
  parseSize,
  parseUrgency,
} from './headerValues.js';
import { RequestHeaders } from './RequestHeaders.js';

const DEFAULT_DEADLINE_AHEAD_MS = 60_000;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/**
 * What {@link parseSubmission} reads.
 * @internal
 */
export interface SubmissionSource {
  readonly rawHeaders: readonly string[];
  /** Team and pool of the path. */
  readonly team: string;
  readonly pool: string;
  /** Id to use where the caller gave none. */
  readonly spareRequestId: string;
  /** Wall-clock time. */
  readonly nowMs: number;
}

/** Reads a header by a parser, or gives undefined where it is absent. */
function read<Value>(
  headers: RequestHeaders,
  name: string,
  parse: (field: string, value: string) => Value,
): Value | undefined {
  const value = headers.get(name);
  return value === undefined ? undefined : parse(name, value);
}

function checkEncoding(headers: RequestHeaders): void {
  const encoding = headers.get('Content-Encoding');
  if (encoding === undefined || encoding === 'identity') return;
  throwError('bad-request', 'Bodies are passed on as they come; no encoding is supported.', {
    field: 'Content-Encoding',
  });
}

/** A caller can only repeat a request safely under the id and the deadline that it chose. */
function findMissingHeader(
  requestId: string | undefined,
  deadlineAtMs: number | undefined,
): string | undefined {
  if (requestId === undefined) return CALLER_HEADERS.requestId;
  return deadlineAtMs === undefined ? CALLER_HEADERS.deadline : undefined;
}

function throwMissing(field: string, who: string): never {
  return throwError('bad-request', `${who} needs the header ${field}.`, { field });
}

/**
 * Reads path and headers of a submission.
 * @param source - Path, headers and what fills gaps.
 * @returns The submission but for its body and signal.
 * @throws RattanliftError Of kind `bad-request` or `deadline-past`, with the field at fault.
 * @internal
 */
export function parseSubmission(source: SubmissionSource): Omit<JobSubmission, 'body' | 'signal'> {
  const { nowMs } = source;
  const headers = new RequestHeaders(source.rawHeaders);
  headers.checkOwnNames();
  checkEncoding(headers);
  const team = parseName('team', source.team);
  const pool = parseName('pool', source.pool);
  const jobKind = read(headers, CALLER_HEADERS.kind, parseName);
  const requestId = read(headers, CALLER_HEADERS.requestId, parseRequestId);
  const deadlineAtMs = read(headers, CALLER_HEADERS.deadline, (field, value) =>
    parseDeadline(field, value, nowMs),
  );
  const nonIdempotent = read(headers, CALLER_HEADERS.nonIdempotent, parseBoolean);
  const missingHeader = findMissingHeader(requestId, deadlineAtMs);
  if (jobKind === undefined) return throwMissing(CALLER_HEADERS.kind, 'Every job');
  if (nonIdempotent && missingHeader) return throwMissing(missingHeader, 'A non-idempotent job');
  return {
    requestId: requestId ?? source.spareRequestId,
    pool: `${team}/${pool}`,
    team: read(headers, CALLER_HEADERS.team, parseName) ?? team,
    jobKind,
    idempotent: nonIdempotent === undefined ? undefined : !nonIdempotent,
    missingHeader,
    isRepeat: read(headers, CALLER_HEADERS.repeat, parseBoolean) ?? false,
    urgency: read(headers, CALLER_HEADERS.urgency, parseUrgency),
    coreCount: read(headers, CALLER_HEADERS.coreCount, parseSize),
    memoryMb: read(headers, CALLER_HEADERS.memory, parseSize),
    deadlineAtMs: deadlineAtMs ?? nowMs + DEFAULT_DEADLINE_AHEAD_MS,
    contentType: headers.get('Content-Type') ?? DEFAULT_CONTENT_TYPE,
  };
}
