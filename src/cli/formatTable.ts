const COLUMN_GAP = '  ';

/** One column of a table. */
export interface Column<Row> {
  readonly title: string;
  readonly valueOf: (row: Row) => string | number;
}

/** Pads a cell; numbers stand at the right, so that their digits line up. */
function padCell(cell: string | number, width: number): string {
  return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
}

/**
 * Lays rows out for people.
 * @param columns - Columns from left to right.
 * @param rows - The rows.
 * @returns Lines with a line of titles; a note where there is no row.
 */
export function formatTable<Row>(columns: readonly Column<Row>[], rows: readonly Row[]): string {
  if (rows.length === 0) return 'none';
  const titles = columns.map(({ title }) => title);
  const cells = rows.map((row) => columns.map(({ valueOf }) => valueOf(row)));
  const widths = columns.map((_, index) =>
    Math.max(...[titles, ...cells].map((line) => String(line[index]).length)),
  );
  return [titles, ...cells]
    .map((line) => line.map((cell, index) => padCell(cell, widths[index]!)))
    .map((line) => line.join(COLUMN_GAP).trimEnd())
    .join('\n');
}
