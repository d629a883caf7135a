import { EXIT_CODES } from '../../errors/index.js';
import type { OperatorClient, WaveView } from '../../operators/index.js';
import type { CommandContext } from '../CommandContext.js';
import { pollUntil } from '../pollUntil.js';
import { formatWaves } from './formatWaves.js';

const MS_PER_S = 1000;

/** Longest time that a wave is followed by default. */
export const DEFAULT_WAVE_LIMIT_S = 12 * 60 * 60;

/** A wave with what holds it up. */
interface FollowedWave {
  readonly view: WaveView;
  /** Why pools wait, asked for only while nothing is in maintenance. */
  readonly waits: readonly string[];
}

/** Asks how far a wave is, and why it waits where nothing happens. */
async function askWave(operators: OperatorClient, waveId: string): Promise<FollowedWave> {
  const view = await operators.getWave(waveId);
  const isWaiting = view.state === 'running' && view.stepsInProgress.length === 0;
  return { view, waits: isWaiting ? await operators.explain(waveId) : [] };
}

/** Writes a wave's progress as one line. */
function formatProgress({ view: wave, waits }: FollowedWave): string {
  const doing = wave.stepsInProgress.length > 0 ? `, now ${wave.stepsInProgress.join(' ')}` : '';
  const counts = `${wave.maintainedVmCount} of ${wave.vmCount} VMs maintained`;
  const reasons = [wave.reason, ...waits].filter((text) => text !== '').join('; ');
  const reason = reasons && ` (${reasons})`;
  return `${wave.wave} ${wave.state}: ${counts}, ${wave.failedVmCount} failed${doing}${reason}`;
}

/** Exit code of a wave that has come to an end or a stop. */
function exitCodeOf(wave: WaveView): number {
  const isDone = wave.state === 'finished' && wave.failedVmCount === 0;
  return isDone ? EXIT_CODES.ok : EXIT_CODES.jobFailed;
}

/**
 * Shows a wave's progress until it is finished or paused.
 * @param context - Input, output and daemons.
 * @param waveId - Id of the wave.
 * @param limitS - Longest time to follow it, in seconds.
 * @returns The exit code: whether every VM was maintained.
 */
export async function followWave(
  context: CommandContext,
  waveId: string,
  limitS: number,
): Promise<number> {
  const operators = context.getOperatorsOrThrow();
  let shown = '';
  const followed = await pollUntil({
    io: context.io,
    poll: () => askWave(operators, waveId),
    isDone: ({ view }) => view.state !== 'running',
    onValue: (value) => {
      const line = formatProgress(value);
      if (line !== shown) context.printProgress(line);
      shown = line;
    },
    deadlineMs: context.io.clock.monotonicMs() + limitS * MS_PER_S,
  });
  if (!followed) {
    context.printProgress(`Gave up after ${limitS} s; ${waveId} goes on.`);
    return EXIT_CODES.unknownOutcome;
  }
  context.print(followed.view, (row) => formatWaves([row]));
  return exitCodeOf(followed.view);
}
