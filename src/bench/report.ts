/** One JSON line that the bench prints. */
export type ReportLine = Readonly<Record<string, unknown>>;

/** One bar of a chart: the median of a figure and its range over the seeds. */
interface Bar {
  readonly label: string;
  readonly low: number;
  readonly value: number;
  readonly high: number;
}

const WIDTH = 640;
const LABEL_WIDTH = 260;
const ROW_HEIGHT = 22;
const VALUE_WIDTH = 70;

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Converts a number, or a spread with median, min and max, into a bar; null for any other value. */
function toBar(label: string, value: unknown): Bar | null {
  if (typeof value === 'number' && Number.isFinite(value)) {
    return {
      label, low: value, value, high: value,
    };
  }
  if (!isObject(value)) return null;
  const { median, min, max } = value;
  if (typeof median !== 'number' || typeof min !== 'number' || typeof max !== 'number') return null;
  return {
    label, low: min, value: median, high: max,
  };
}

/** Collects the numbers of a line into `barsByPath` by dotted path; a spread over seeds counts as one number. */
function collectBars(value: unknown, path: string, barsByPath: Map<string, Bar>, label: string): void {
  const bar = toBar(label, value);
  if (bar !== null) {
    barsByPath.set(path, bar);
    return;
  }
  if (!isObject(value)) return;
  for (const [key, inner] of Object.entries(value)) collectBars(inner, path === '' ? key : `${path}.${key}`, barsByPath, label);
}

/** Renders the bars of one figure, with the range over the seeds, as inline SVG. */
function renderChart(title: string, bars: readonly Bar[]): string {
  const maxValue = Math.max(...bars.map((bar) => bar.high), Number.MIN_VALUE);
  const scale = (value: number): number => (Math.max(0, value) / maxValue) * (WIDTH - LABEL_WIDTH - VALUE_WIDTH);
  const rows = bars.map((bar, index) => {
    const y = index * ROW_HEIGHT;
    const middle = y + ROW_HEIGHT / 2;
    const x = LABEL_WIDTH;
    return `<text x="${x - 8}" y="${middle + 4}" text-anchor="end">${escapeHtml(bar.label)}</text>`
      + `<rect x="${x}" y="${y + 4}" width="${scale(bar.value).toFixed(1)}" height="${ROW_HEIGHT - 8}"/>`
      + `<line x1="${(x + scale(bar.low)).toFixed(1)}" x2="${(x + scale(bar.high)).toFixed(1)}" y1="${middle}" y2="${middle}"/>`
      + `<text x="${(x + scale(bar.high) + 6).toFixed(1)}" y="${middle + 4}">${bar.value}</text>`;
  });
  const height = bars.length * ROW_HEIGHT;
  return `<figure><figcaption>${escapeHtml(title)}</figcaption><svg viewBox="0 0 ${WIDTH} ${height}" width="${WIDTH}" `
    + `height="${height}" role="img">${rows.join('')}</svg></figure>`;
}

/** Figures without a chart: the seed, the number of role changes, and those in the table of classes. */
const EXCLUDED_FROM_CHARTS = /^(seed|roleChanges)$|^classes\./;

/** Renders the verdict, the charts and the table of classes of one experiment. */
function renderSection(name: string, lines: readonly ReportLine[]): string {
  const figures = new Map<string, Bar[]>();
  for (const line of lines) {
    if (line.verdict !== undefined) continue;
    const barsOfLine = new Map<string, Bar>();
    collectBars(line, '', barsOfLine, String(line.variant ?? ''));
    for (const [path, bar] of barsOfLine) {
      if (!EXCLUDED_FROM_CHARTS.test(path)) figures.set(path, [...figures.get(path) ?? [], bar]);
    }
  }
  const charts = [...figures].map(([path, bars]) => renderChart(path, bars));
  const classes = lines.flatMap((line) => (isObject(line.classes) ? Object.entries(line.classes) : [])
    .map(([key, value]) => ({ variant: String(line.variant), key, value })));
  const columns = isObject(classes[0]?.value) ? Object.keys(classes[0].value) : [];
  const table = classes.length === 0
    ? ''
    : `<table><tr><th>variant</th><th>class</th>${columns.map((column) => `<th>${escapeHtml(column)}</th>`).join('')}</tr>${
      classes.map(({ variant, key, value }) => `<tr><td>${escapeHtml(variant)}</td><td>${escapeHtml(key)}</td>${
        columns.map((column) => `<td>${escapeHtml(String(isObject(value) ? value[column] : ''))}</td>`).join('')}</tr>`)
        .join('')}</table>`;
  const verdict = lines.find((line) => line.verdict !== undefined);
  const result = verdict === undefined
    ? 'no verdict'
    : `${String(verdict.verdict)}: target ${String(verdict.target)}; measured ${JSON.stringify(verdict.figure)}`;
  const style = verdict?.verdict === 'pass' ? 'pass' : 'fail';
  return `<section><h2>${escapeHtml(name)}</h2><p class="${style}">${escapeHtml(result)}</p>${charts.join('')}${table}</section>`;
}

/** Renders the lines of one run as a self-contained HTML report with a chart for each figure. */
export function renderReport(lines: readonly ReportLine[]): string {
  const names = [...new Set(lines.map((line) => String(line.experiment)))];
  const style = 'body{font:14px sans-serif;max-width:1000px;margin:2em auto}figure{margin:1em 0}'
    + 'svg text{font:12px sans-serif}svg rect{fill:#7aa6c2}svg line{stroke:#222;stroke-width:2}'
    + 'table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 6px;text-align:right}'
    + '.pass{color:#17692b}.fail{color:#a31515}';
  const sections = names.map((name) => renderSection(name, lines.filter((line) => line.experiment === name)));
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>catkinscale bench</title><style>${style}</style>`
    + `<h1>catkinscale bench</h1>${sections.join('')}</html>\n`;
}
