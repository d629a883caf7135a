import type { SettingsProblem } from './SettingsProblem.js';

/**
 * Writes a problem as one line, in the form that editors turn into a link.
 * @param problem - The problem.
 * @returns `file:line:column path: expected … but found …`.
 */
export function formatProblem(problem: SettingsProblem): string {
  const place = `${problem.file}:${problem.line}:${problem.column}`;
  const subject = problem.path === '' ? place : `${place} ${problem.path}`;
  const warning = problem.severity === 'warning' ? 'warning: ' : '';
  return `${subject}: ${warning}expected ${problem.expected} but found ${problem.found}`;
}
