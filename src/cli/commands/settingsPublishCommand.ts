import { type ErrorKind, RattanliftError, throwError } from '../../errors/index.js';
import type { OperatorClient, PublicationView, SettingsView } from '../../operators/index.js';
import { checkTeamSettings, formatProblem } from '../../settings/index.js';
import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { diffLines } from '../diffLines.js';
import { parseWholeNumberOrThrow } from '../parseWholeNumberOrThrow.js';

/** Errors after which a publication may stand on the log all the same. */
const MAYBE_PUBLISHED_KINDS: readonly ErrorKind[] = ['log-unavailable', 'outcome-unknown'];

/** A file that is ready to be published. */
interface CheckedFile {
  readonly fileName: string;
  readonly document: string;
  readonly team: string;
}

/** What happened between the version that the operator saw and the one in force. */
interface ConflictReport {
  readonly baseVersion: number;
  readonly inForce: SettingsView | undefined;
  /** Publications accepted since the version that the operator saw. */
  readonly publications: readonly PublicationView[];
  readonly comparedWith: 'the version that you saw' | 'your file';
  /** Lines that went and came from the compared text to the one in force. */
  readonly changes: readonly string[];
}

/** Reads and checks the file; warnings go to the operator. */
async function readFileOrThrow(context: CommandContext, fileName: string): Promise<CheckedFile> {
  const content = await context.io.readFile(fileName);
  const document = content.toString('utf8');
  const result = checkTeamSettings(document, fileName);
  if (result.type === 'invalid') {
    return throwError('settings-invalid', result.problems.map(formatProblem).join('\n'));
  }
  result.warnings.forEach((warning) => context.printProgress(formatProblem(warning)));
  return { fileName, document, team: result.value.team };
}

/** Finds out what changed since the version that the operator saw. */
async function describeConflict(
  operators: OperatorClient,
  file: CheckedFile,
  seen: SettingsView | undefined,
  baseVersion: number,
): Promise<ConflictReport> {
  const inForce = await operators.getSettings(file.team);
  const publications = await operators.listPublications(file.team);
  const isSeenKnown = (seen?.version ?? 0) === baseVersion;
  return {
    baseVersion,
    inForce,
    publications: publications.filter(
      ({ offset, verdict }) => offset >= baseVersion && verdict === 'accepted',
    ),
    comparedWith: isSeenKnown ? 'the version that you saw' : 'your file',
    changes: diffLines(
      isSeenKnown ? (seen?.document ?? '') : file.document,
      inForce?.document ?? '',
    ),
  };
}

/** Formats a conflict for people. */
function formatConflict(report: ConflictReport): string {
  const { inForce } = report;
  return [
    `You saw version ${report.baseVersion}; in force is version ${inForce?.version ?? 0}` +
      ` by ${inForce?.author ?? 'nobody'}.`,
    'Published since then:',
    ...report.publications.map(({ offset, author }) => `  version ${offset + 1} by ${author}`),
    `Changes from ${report.comparedWith} to the version in force:`,
    ...report.changes.map((line) => `  ${line}`),
    'Nothing was published. Take these changes over and publish again.',
  ].join('\n');
}

/** Publishes a file; a conflict is explained before it is thrown. */
async function publish(
  context: CommandContext,
  fileName: string,
  typedBaseVersion: string | undefined,
): Promise<SettingsView> {
  const operators = context.getOperatorsOrThrow();
  const file = await readFileOrThrow(context, fileName);
  const seen = await operators.getSettings(file.team);
  const baseVersion =
    typedBaseVersion === undefined
      ? (seen?.version ?? 0)
      : parseWholeNumberOrThrow('base-version', typedBaseVersion);
  const { author } = context.flags;
  try {
    const { document } = file;
    return await operators.publishSettings(file.team, { document, baseVersion, author, fileName });
  } catch (error) {
    if (error instanceof RattanliftError && error.kind === 'settings-conflict') {
      const report = await describeConflict(operators, file, seen, baseVersion);
      context.print(report, formatConflict);
    }
    if (error instanceof RattanliftError && MAYBE_PUBLISHED_KINDS.includes(error.kind)) {
      const command = `rattanlift settings history ${file.team}`;
      context.printProgress(`It may still come into force: look at ${command}.`);
    }
    throw error;
  }
}

/**
 * Creates `settings publish`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createSettingsPublishCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'publish',
    description: "Publish a team's settings and wait until they are in force",
    example: 'rattanlift settings publish wiki-core.team.jsonc --base-version 17',
    args: {
      file: { type: 'positional', description: 'File to publish', required: true },
      'base-version': {
        type: 'string',
        valueHint: 'N',
        description: 'Version that you edited; by default the one in force when the file is read',
      },
    },
    run: async (args) => {
      const view = await publish(context, args.file, args['base-version']);
      context.print(view, ({ team, version }) => `${team}: version ${version} is in force`);
    },
  });
}
