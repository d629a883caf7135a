import { randomUUID } from 'node:crypto';
import type { ParsedArgs } from 'citty';
import type { JobState } from '../../callers/index.js';
import { EXIT_CODES, RattanliftError } from '../../errors/index.js';
import type { Urgency } from '../../settings/index.js';
import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import type { JobRequest } from '../JobClient.js';
import { parseWholeNumberOrThrow } from '../parseWholeNumberOrThrow.js';
import { pollUntil } from '../pollUntil.js';
import { UsageError } from '../UsageError.js';
import { answerOf, exitCodeOfJob, formatJob } from './jobStates.js';

const MS_PER_S = 1000;
const DEFAULT_DEADLINE_S = 60;
/** Time after its deadline in which a job's end still comes to be known. */
const GRACE_MS = 15_000;
const POOL_PATTERN = /^[^/\s]+\/[^/\s]+$/;

const SUBMIT_ARGS = {
  pool: { type: 'positional', description: 'Pool as TEAM/POOL', required: true },
  kind: {
    type: 'string',
    description: 'Kind of job, as the settings of the pool name it',
    required: true,
  },
  body: { type: 'string', valueHint: 'FILE', description: 'File with the job, - for the input' },
  'content-type': {
    type: 'string',
    default: 'application/octet-stream',
    description: "The body's media type",
  },
  'request-id': { type: 'string', description: 'Id to repeat a request under; made by default' },
  team: { type: 'string', description: "Team whose quota is used; the pool's by default" },
  urgency: {
    type: 'enum',
    options: ['urgent', 'normal', 'overnight'] as Urgency[],
    description: "How soon it has to start; the kind's by default",
  },
  'non-idempotent': { type: 'boolean', description: 'Run at most once, whatever the settings say' },
  'deadline-s': {
    type: 'string',
    default: String(DEFAULT_DEADLINE_S),
    description: 'Seconds from now after which the answer is of no use',
  },
  wait: { type: 'boolean', description: 'Show progress, then write the answer' },
} as const;

/** Reads the job out of the arguments. */
async function createRequest(
  context: CommandContext,
  args: ParsedArgs<typeof SUBMIT_ARGS>,
): Promise<JobRequest> {
  if (!POOL_PATTERN.test(args.pool)) {
    throw new UsageError(`A pool is TEAM/POOL, and not "${args.pool}".`);
  }
  const waitS = parseWholeNumberOrThrow('deadline-s', args['deadline-s']);
  const { clock, readFile } = context.io;
  return {
    pool: args.pool,
    requestId: args['request-id'] ?? randomUUID(),
    team: args.team ?? args.pool.split('/')[0],
    jobKind: args.kind,
    urgency: args.urgency,
    isNonIdempotent: args['non-idempotent'] ?? false,
    deadlineAtMs: Math.round(clock.wallMs()) + waitS * MS_PER_S,
    contentType: args['content-type'],
    body: args.body === undefined ? Buffer.alloc(0) : await readFile(args.body),
  };
}

/** Shows a job's progress until it has ended, then writes the target's answer. */
async function followJob(
  context: CommandContext,
  submitted: JobState,
  deadlineAtMs: number,
): Promise<number> {
  const jobs = context.getJobsOrThrow();
  const { clock } = context.io;
  let shown = '';
  const job = await pollUntil({
    io: context.io,
    poll: () => jobs.getJob(submitted.jobId),
    isDone: ({ phase }) => phase === 'finished',
    onValue: (value) => {
      const line = formatJob(value);
      if (line !== shown) context.printProgress(line);
      shown = line;
    },
    deadlineMs: clock.monotonicMs() + (deadlineAtMs - clock.wallMs()) + GRACE_MS,
  });
  if (!job) {
    context.printProgress(`Nothing is known of the end of ${submitted.jobId}.`);
    return EXIT_CODES.unknownOutcome;
  }
  if (context.flags.isJson) context.print(job, formatJob);
  else context.io.stdout(answerOf(job));
  return exitCodeOfJob(job);
}

/**
 * Creates `jobs submit`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createJobsSubmitCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'submit',
    description: 'Submit a job to a pool',
    example: 'rattanlift jobs submit wiki-core/page-saves --kind page-save --body page.json --wait',
    args: SUBMIT_ARGS,
    run: async (args) => {
      const request = await createRequest(context, args);
      const { deadlineAtMs, requestId } = request;
      try {
        const job = await context.getJobsOrThrow().submit(request);
        if (args.wait) return await followJob(context, job, deadlineAtMs);
        context.print(job, formatJob);
        return exitCodeOfJob(job);
      } catch (error) {
        if (error instanceof RattanliftError && error.kind === 'outcome-unknown') {
          const advice = `Submit it again with --request-id ${requestId} to learn its outcome.`;
          context.printProgress(advice);
        }
        throw error;
      }
    },
  });
}
