import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { EXPERIMENTS } from '../../src/bench/registry.js';
import { safeParseSettings } from '../../src/core/configuration/settings.js';

const ROOT = path.resolve(import.meta.dirname, '../..');
const DIRECTORIES = ['docs', 'src', 'platform', 'deploy', 'test', 'examples', 'scripts', '.ci'];
const FILE_NAME = /^[\w.*/-]+\.(?:ts|md|mjs|cjs|json|ini|toml|txt|scenario|golden)$/;
const METRIC_PREFIX = 'catkinscale_';
/** Arguments that the bench command accepts instead of the name of an experiment. */
const BENCH_WORDS = ['all', 'report'];
/** Files that pages may name although they do not always exist: KNOWN-RED.txt exists while a fault is open. */
const OCCASIONAL_FILES: ReadonlySet<string> = new Set(['KNOWN-RED.txt']);

/** Everything in the repository that pages may refer to by name. */
export interface Repository {
  /** Paths of files and directories, relative to the root. */
  readonly files: readonly string[];
  readonly scripts: ReadonlySet<string>;
  readonly experiments: ReadonlySet<string>;
  /** Names as shown by `GET /metrics`, without the common prefix. */
  readonly metrics: ReadonlySet<string>;
  readonly hasSetting: (section: string, key: string) => boolean;
}

/** Name in backticks on a page. */
interface NameMention {
  readonly text: string;
  readonly line: number;
  /** Header of the first column if the name is in the first column of a table, otherwise `null`. */
  readonly column: string | null;
  /** Names that precede this one in the same cell. */
  readonly before: readonly string[];
}

function read(file: string): string {
  return readFileSync(path.join(ROOT, file), 'utf8');
}

function listFiles(): string[] {
  const below = DIRECTORIES.filter((directory) => existsSync(path.join(ROOT, directory))).flatMap((directory) => [
    directory,
    ...readdirSync(path.join(ROOT, directory), { recursive: true, encoding: 'utf8' })
      .map((file) => path.posix.join(directory, file.split(path.sep).join('/'))),
  ]);
  const top = readdirSync(ROOT, { withFileTypes: true }).filter((file) => file.isFile()).map(({ name }) => name);
  return [...top, ...below];
}

function listMetrics(files: readonly string[]): Set<string> {
  const sources = files.filter((file) => /^src\/(?:core|daemon|adapters|gateway)\/.*\.ts$/.test(file));
  return new Set(sources.flatMap((file) => (
    [...read(file).matchAll(/\bmeter\.(count|record|gauge)\(\s*'(\w+)'/g)].map(([, kind, name]) => (
      kind === 'count' && !name!.endsWith('_total') ? `${name}_total` : name!
    ))
  )));
}

function hasSetting(section: string, key: string): boolean {
  const parsed = safeParseSettings(`[${section}]\n${key} = x\n`, 'page.ini');
  return parsed.success || !parsed.error.some(({ code }) => code === 'unknown_key');
}

/** Collects the names that exist in this repository. */
export function readRepository(): Repository {
  const files = listFiles();
  const { scripts } = JSON.parse(read('package.json')) as { scripts: Record<string, string> };
  return {
    files,
    scripts: new Set(Object.keys(scripts)),
    experiments: new Set([...EXPERIMENTS.map(({ name }) => name), ...BENCH_WORDS]),
    metrics: listMetrics(files),
    hasSetting,
  };
}

/** JSON-RPC methods that the core and the daemon register, sorted; read from string literals or module constants. */
export function listMethods(): string[] {
  return listFiles().filter((file) => /^src\/(?:core|daemon)\/.*\.ts$/.test(file)).flatMap((file) => {
    const source = read(file);
    return [...source.matchAll(/\bserver\.register\((?:'([\w.]+)'|(\w+)),/g)].map(([, name, constant]) => (
      name ?? new RegExp(`const ${constant} = '([\\w.]+)'`).exec(source)?.[1] ?? `${file}: ${constant}`
    ));
  }).sort();
}

/** `<method> <path>` of all requests that the stand-ins serve. */
export function listRoutes(): string[] {
  return listFiles().filter((file) => /^src\/emulator\/\w+server\.ts$/.test(file))
    .flatMap((file) => [...read(file).matchAll(/'((?:GET|POST) \/[^']*)':/g)].map(([, route]) => route!));
}

/** README.md and all pages under docs, with their text. */
export function readPages(): Map<string, string> {
  const pages = listFiles().filter((file) => file === 'README.md' || /^docs\/.*\.md$/.test(file));
  return new Map(pages.map((file) => [file, read(file)]));
}

function readNames(text: string): NameMention[] {
  return [...text.matchAll(/`([^`]+)`/g)].map(([, span]) => span!.replace(/\s+/g, ' '))
    .map((span, index, all) => ({
      text: span, line: 0, column: null, before: all.slice(0, index),
    }));
}

function readTableNames(rows: readonly string[], firstLine: number): NameMention[] {
  const column = rows[0]!.split('|')[1]!.trim();
  return rows.flatMap((row, index) => {
    // A cell may contain `a | b`, so only a bar outside of backticks ends it.
    const first = /^\|((?:`[^`]*`|[^`|])*)\|/.exec(row)?.[0] ?? '';
    const line = firstLine + index;
    return [
      ...readNames(first).map((span) => ({ ...span, line, column })),
      ...readNames(row.slice(first.length)).map((span) => ({ ...span, line })),
    ];
  });
}

function readTextNames(part: string, firstLine: number): NameMention[] {
  return [...part.matchAll(/`[^`]+`/g)].flatMap((match) => {
    const line = firstLine + part.slice(0, match.index).split('\n').length - 1;
    return readNames(match[0]).map((span) => ({ ...span, line }));
  });
}

/** Names in backticks on a page, except in code blocks; a name may continue on the next line. */
function readNameMentions(page: string): NameMention[] {
  const withoutBlocks = page.replace(/^```[\s\S]*?^```/gm, (block) => block.replace(/[^\n]/g, ''));
  const spans: NameMention[] = [];
  let line = 1;
  for (const part of withoutBlocks.split(/(\n(?:[ \t]*\n)+)/)) {
    spans.push(...(part.startsWith('|') ? readTableNames(part.split('\n'), line) : readTextNames(part, line)));
    line += part.split('\n').length - 1;
  }
  return spans;
}

function looksLikeFile(name: string, files: readonly string[]): boolean {
  if (FILE_NAME.test(name)) return true;
  if (!/^[\w.*-]+\/[\w.*/-]*$/.test(name)) return false;
  const directory = name.split('/')[0]!;
  return DIRECTORIES.includes(directory) || files.includes(`src/${directory}`);
}

function hasFile(name: string, files: readonly string[]): boolean {
  const wanted = name.replace(/\/$/, '').replace(/[.+^${}()|[\]\\]/g, '\\$&').replace(/\*/g, '[^/]+');
  // Pages may omit `src/`, and give only the file name once the text has named the directory.
  const pattern = new RegExp(name.includes('/') ? `^(?:src/)?${wanted}$` : `(?:^|/)${wanted}$`);
  return OCCASIONAL_FILES.has(name) || files.some((file) => pattern.test(file));
}

function findMissingFile(name: string, { files }: Repository): string[] {
  return looksLikeFile(name, files) && !hasFile(name, files) ? [`no file ${name}`] : [];
}

function findMissingInCommand(command: string, repository: Repository): string[] {
  const { experiments, scripts } = repository;
  const [tool, verb, ...rest] = command.split(' ');
  const words = tool === 'npm' && verb === 'run' ? rest : [];
  const script = words[0] ?? '';
  const main = tool === 'npx' && verb === 'tsx' ? rest[0] ?? '' : '';
  const isBench = (script === 'bench' && words[1] === '--') || main === 'src/bench/main.ts';
  const bench = (script === 'bench' ? words[2] : rest[1]) ?? '';
  return [
    ...(script !== '' && !scripts.has(script) ? [`no script ${script} in package.json`] : []),
    ...(main === '' ? [] : findMissingFile(main, repository)),
    ...(isBench && /^[a-z]/.test(bench) && !experiments.has(bench) ? [`no experiment ${bench}`] : []),
  ];
}

function findMissingSetting({ text, column, before }: NameMention, { hasSetting: has }: Repository): string[] {
  const full = /^\[([a-z-]+)\] ([a-z-]+)$/.exec(text);
  if (full !== null) return has(full[1]!, full[2]!) ? [] : [`no key ${full[2]} in section [${full[1]}] of the settings`];
  // A row of the settings table names the section only for its first key: `[listen] callers`, `operators`.
  const section = /^\[([a-z-]+)\] /.exec(before[0] ?? '')?.[1];
  if (column !== 'section, key' || section === undefined || has(section, text)) return [];
  return [`no key ${text} in section [${section}] of the settings`];
}

function findMissingMetric({ text, column }: NameMention, { metrics }: Repository): string[] {
  const name = /^(\w+)(?:\{[\w,]*\})?$/.exec(text)?.[1]?.replace(new RegExp(`^${METRIC_PREFIX}`), '');
  if (name === undefined || name === '') return [];
  const isMetric = column === 'metric' || name.endsWith('_total') || text.startsWith(METRIC_PREFIX);
  return isMetric && !metrics.has(name) ? [`no metric ${name}`] : [];
}

function findMissingExperiment({ text, column }: NameMention, { experiments }: Repository): string[] {
  return column === 'name' && !experiments.has(text) ? [`no experiment ${text}`] : [];
}

/** Returns a message with page and line for each name on a page that does not exist in the repository. */
export function checkPage(page: string, text: string, repository: Repository): string[] {
  return readNameMentions(text).flatMap((span) => [
    ...findMissingFile(span.text, repository),
    ...findMissingInCommand(span.text, repository),
    ...findMissingSetting(span, repository),
    ...findMissingMetric(span, repository),
    ...findMissingExperiment(span, repository),
  ].map((missing) => `${page}:${span.line}: \`${span.text}\`: ${missing}`));
}
