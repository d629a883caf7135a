import type { BenchTable } from './BenchTable.js';
import { formatFigure } from './formatFigure.js';
import { ratioToBound } from './ratioToBound.js';

/** Pads cells so that columns line up. */
function layOut(lines: readonly (readonly string[])[]): readonly string[] {
  const widths = lines[0]!.map((ignored, index) =>
    Math.max(...lines.map((cells) => cells[index]!.length)),
  );
  return lines.map((cells) =>
    cells
      .map((cell, index) => (index === 0 ? cell.padEnd(widths[0]!) : cell.padStart(widths[index]!)))
      .join('  '),
  );
}

/**
 * Writes a table as text: policies, the lower bound, and the ratio of the first policy to it.
 * @param table - The table.
 * @returns Lines for a terminal.
 */
export function printTable(table: BenchTable): readonly string[] {
  const { columns, rows } = table;
  const [ours] = rows;
  const header = [
    'policy',
    ...columns.map(({ label, unit }) => `${label} ${unit}`.trim()),
    'broken',
  ];
  const policyLines = rows.map((row) => [
    row.policy,
    ...columns.map(({ key }) => formatFigure(row.figures[key])),
    String(row.brokenPromiseCount),
  ]);
  const boundLine = ['bound', ...columns.map(({ bound }) => formatFigure(bound)), '0'];
  const ratioLine = [
    `ratio of ${ours!.policy}`,
    ...columns.map((column) => formatFigure(ratioToBound(column, ours!.figures[column.key]!))),
    '',
  ];
  return [
    `${table.subject} / ${table.deployment} / seed ${table.seed}: ${table.title}`,
    ...layOut([header, ...policyLines, boundLine, ratioLine]),
    ...rows.flatMap((row) =>
      row.brokenPromises.slice(0, 3).map((text) => `  ${row.policy}: ${text}`),
    ),
    '',
  ];
}
