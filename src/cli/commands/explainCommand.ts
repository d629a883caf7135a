import { gunzipSync } from 'node:zlib';
import { EXIT_CODES } from '../../errors/index.js';
import { formatJobStory, parseLogLines, tellJobStory } from '../../explain/index.js';
import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';

const GZIP_MAGIC = Buffer.from([0x1f, 0x8b]);

async function readLog(context: CommandContext, file: string): Promise<string> {
  const content = await context.io.readFile(file);
  const isGzip = content.subarray(0, GZIP_MAGIC.length).equals(GZIP_MAGIC);
  return (isGzip ? gunzipSync(content) : content).toString('utf8');
}

async function explainFromLogs(
  context: CommandContext,
  subject: string,
  files: readonly string[],
): Promise<number> {
  const texts = await Promise.all(files.map((file) => readLog(context, file)));
  const parsed = texts.map(parseLogLines);
  parsed.forEach(({ skippedCount }, place) => {
    if (skippedCount === 0) return;
    context.printProgress(`${files[place]}: ${skippedCount} lines that no daemon wrote`);
  });
  const story = tellJobStory(
    parsed.flatMap(({ lines }) => lines),
    subject,
  );
  if (story === undefined) {
    context.printProgress(`No line is about ${subject}.`);
    return EXIT_CODES.notFound;
  }
  context.print(story, formatJobStory);
  return EXIT_CODES.ok;
}

/**
 * Creates `explain`: with log files it tells a job's story from them, without any daemon.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createExplainCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'explain',
    description: 'Tell why a job was placed or refused, or why a wave waits',
    example: 'rattanlift explain 5c0e7a21d94b36f8 entry-*.log.gz',
    isVariadic: true,
    args: {
      subject: {
        type: 'positional',
        description: 'Request id, job id, wave or pool',
        required: true,
      },
      log: {
        type: 'positional',
        description: 'Collected logs of daemons, gzip too; - is the standard input',
        required: false,
      },
    },
    run: async ({ subject, _: positionals }) => {
      const files = positionals.slice(1);
      if (files.length > 0) return explainFromLogs(context, subject, files);
      const lines = await context.getOperatorsOrThrow().explain(subject);
      context.print(lines, (rows) => rows.join('\n') || 'nothing is known');
      return EXIT_CODES.ok;
    },
  });
}
