import type { BenchColumn, BenchTable } from './BenchTable.js';
import { formatFigure } from './formatFigure.js';
import { ratioToBound } from './ratioToBound.js';

const BAR_HEIGHT_PX = 16;
const BAR_GAP_PX = 6;
const LABEL_WIDTH_PX = 170;
const CHART_WIDTH_PX = 460;
const FIGURE_WIDTH_PX = 80;

const STYLE = [
  'body{font:14px/1.4 sans-serif;margin:24px;max-width:1500px}',
  'section{margin-bottom:36px}',
  '.charts{display:flex;flex-wrap:wrap;gap:20px}',
  'figure{margin:0;padding:10px;border:1px solid #ccc}',
  'figcaption{font-weight:bold;margin-bottom:6px}',
  'table{border-collapse:collapse;margin:10px 0}',
  'td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}',
  'td:first-child,th:first-child{text-align:left}',
  '.broken{background:#fbb}',
].join('');

/** Escapes text for HTML. */
function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}

/** Draws one column as bars, with its bound as a line. */
function renderChart(table: BenchTable, column: BenchColumn): string {
  const { rows } = table;
  const figures = rows.map((row) => row.figures[column.key] ?? NaN);
  const known = [...figures, column.bound ?? 0].filter((value) => !Number.isNaN(value));
  const largest = Math.max(...known, Number.EPSILON);
  const barWidthPx = CHART_WIDTH_PX - LABEL_WIDTH_PX - FIGURE_WIDTH_PX;
  const widthOf = (value: number): number => (value / largest) * barWidthPx;
  const bars = rows.map((row, index) => {
    const y = index * (BAR_HEIGHT_PX + BAR_GAP_PX);
    const textY = y + BAR_HEIGHT_PX - 4;
    const value = figures[index]!;
    const width = Number.isNaN(value) ? 0 : widthOf(value);
    const colour = row.policy.startsWith('rattanlift') ? '#2a6f97' : '#b0b0b0';
    return [
      `<text x="0" y="${textY}" font-size="12">${escapeHtml(row.policy)}</text>`,
      `<rect x="${LABEL_WIDTH_PX}" y="${y}" width="${width.toFixed(1)}" height="${BAR_HEIGHT_PX}" fill="${colour}"/>`,
      `<text x="${(LABEL_WIDTH_PX + width + 4).toFixed(1)}" y="${textY}" font-size="12">${formatFigure(value)}</text>`,
    ].join('');
  });
  const height = rows.length * (BAR_HEIGHT_PX + BAR_GAP_PX);
  const boundX = LABEL_WIDTH_PX + widthOf(column.bound ?? 0);
  const bound =
    column.bound === undefined
      ? ''
      : `<line x1="${boundX}" y1="0" x2="${boundX}" y2="${height}" stroke="#c1121f" stroke-width="2"/>`;
  const caption = `${column.label} ${column.unit} (${column.better} is better)`;
  return `<figure><figcaption>${escapeHtml(caption)}</figcaption><svg width="${CHART_WIDTH_PX}" height="${height}" role="img">${bars.join('')}${bound}</svg></figure>`;
}

/** Writes cells of a row. */
function renderCells(tag: 'td' | 'th', cells: readonly string[]): string {
  return cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('');
}

/** Writes the figures of a table. */
function renderFigures(table: BenchTable): string {
  const { columns, rows } = table;
  const header = ['policy', ...columns.map(({ label, unit }) => `${label} ${unit}`), 'broken'];
  const body = rows.map((row) => {
    const figures = columns.map(({ key }) => formatFigure(row.figures[key]));
    const cells = [row.policy, ...figures, String(row.brokenPromiseCount)];
    const mark = row.brokenPromiseCount > 0 ? ' class="broken"' : '';
    return `<tr${mark}>${renderCells('td', cells)}</tr>`;
  });
  const bounds = columns.map(({ bound }) => formatFigure(bound));
  const [ours] = rows;
  const ratios = columns.map((column) =>
    formatFigure(ratioToBound(column, ours!.figures[column.key]!)),
  );
  return [
    `<table><tr>${renderCells('th', header)}</tr>`,
    ...body,
    `<tr>${renderCells('td', ['bound', ...bounds, '0'])}</tr>`,
    `<tr>${renderCells('td', [`ratio of ${ours!.policy}`, ...ratios, ''])}</tr></table>`,
  ].join('');
}

/** Writes one table with its charts. */
function renderSection(table: BenchTable): string {
  const title = `${table.subject}, ${table.deployment}, seed ${table.seed}: ${table.title}`;
  const charts = table.columns.map((column) => renderChart(table, column));
  return `<section><h2>${escapeHtml(title)}</h2>${renderFigures(table)}<div class="charts">${charts.join('')}</div></section>`;
}

/**
 * Writes a report that a browser shows without anything else.
 * @param tables - Tables in the order in which they appear.
 * @returns An HTML page with bars as inline SVG; a red line marks the bound.
 */
export function renderHtml(tables: readonly BenchTable[]): string {
  return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>rattanlift bench</title><style>${STYLE}</style></head><body><h1>rattanlift bench</h1><p>Blue: rattanlift; grey: baselines; red line: best possible.</p>${tables.map(renderSection).join('')}</body></html>\n`;
}
