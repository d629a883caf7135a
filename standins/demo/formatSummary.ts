import type { BrokenPromises } from './checkPromises.js';
import type { DemoAnswer } from './sendJob.js';

/** What the demo measured. */
export interface DemoSummary {
  readonly answers: readonly DemoAnswer[];
  readonly broken: BrokenPromises;
  readonly waveRollOutMs: number | undefined;
  readonly waveVmCount: number;
  readonly configurationRollOutMs: number | undefined;
  readonly stoppedDaemonCount: number;
  readonly daemonCount: number;
}

const LABEL_WIDTH = 58;
const MAX_NAMED_COUNT = 5;

function formatRow(label: string, value: string | number): string {
  return `${label.padEnd(LABEL_WIDTH)} ${value}`;
}

function formatMs(valueMs: number | undefined): string {
  return valueMs === undefined ? 'not measured' : `${valueMs} ms`;
}

function countBy(keys: readonly string[]): readonly (readonly [string, number])[] {
  const counts = new Map<string, number>();
  keys.forEach((key) => counts.set(key, (counts.get(key) ?? 0) + 1));
  return [...counts].sort(([left], [right]) => left.localeCompare(right));
}

function formatBroken(requestIds: readonly string[]): string {
  if (requestIds.length === 0) return '0';
  return `${requestIds.length} (${requestIds.slice(0, MAX_NAMED_COUNT).join(', ')})`;
}

/** Counts the requests of which no answer tells whether they ran; a repeat alone may not. */
function countDoubtful(answers: readonly DemoAnswer[]): number {
  const settledIds = new Set(
    answers
      .filter(({ outcome }) => outcome === 'run' || outcome === 'not-run')
      .map(({ job }) => job.requestId),
  );
  const allIds = new Set(answers.map(({ job }) => job.requestId));
  return [...allIds].filter((id) => !settledIds.has(id)).length;
}

/**
 * Formats the summary of the demo as a table of two columns.
 * @param summary - What was measured.
 * @returns The lines.
 */
export function formatSummary(summary: DemoSummary): readonly string[] {
  const { answers, broken } = summary;
  const users = countBy(answers.map(({ job }) => job.user));
  const answerKeys = answers.map(({ outcome, detail }) => `${outcome} (${detail})`);
  return [
    formatRow('jobs', new Set(answers.map(({ job }) => job.requestId)).size),
    formatRow('answers, with those to repeats', answers.length),
    ...users.map(([user, count]) => formatRow(`  of ${user}`, count)),
    ...countBy(answerKeys).map(([key, count]) => formatRow(`  told ${key}`, count)),
    formatRow('jobs of doubtful result', countDoubtful(answers)),
    'promises broken:',
    ...Object.entries(broken).map(([promise, ids]) =>
      formatRow(`  ${promise}`, formatBroken(ids as readonly string[])),
    ),
    formatRow('wave roll-out time', formatMs(summary.waveRollOutMs)),
    formatRow('  VMs maintained in the wave', summary.waveVmCount),
    formatRow(
      'configuration roll-out time (slowest change)',
      formatMs(summary.configurationRollOutMs),
    ),
    formatRow(
      'daemons that stopped gracefully',
      `${summary.stoppedDaemonCount} of ${summary.daemonCount}`,
    ),
  ];
}
