import { writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { Experiment } from './experiment.js';
import { EXPERIMENTS } from './registry.js';
import { renderReport } from './report.js';
import type { ReportLine } from './report.js';

/** Prints one line of an experiment. */
type Print = (line: ReportLine) => void;

function print(line: ReportLine): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Runs one experiment, prints its lines and its verdict, and returns whether it passed. */
async function runExperiment(
  experiment: Experiment,
  seed: number,
  variant: string | undefined,
  emit: Print,
): Promise<boolean> {
  const verdict = await experiment.run({
    seed,
    ...(variant === undefined ? {} : { variant }),
    emit: (line) => emit({ experiment: experiment.name, seed, ...line }),
  });
  emit({
    experiment: experiment.name,
    seed,
    verdict: verdict.pass ? 'pass' : 'fail',
    target: experiment.target,
    figure: verdict.figure,
  });
  return verdict.pass;
}

/** Runs the chosen experiments; the exit code is 0 when all pass, 1 when one fails, 2 for an unknown name. */
async function main(): Promise<number> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run bench --')
    .usage('$0 NAME --seed N [--variant V]\n\nNAME is an experiment, `all`, or `report` (all, written as HTML)')
    .option('seed', { type: 'number', default: 1, describe: 'first seed' })
    .option('variant', { type: 'string', describe: 'run one variant only' })
    .option('list', { type: 'boolean', default: false, describe: 'name the experiments' })
    .option('out', { type: 'string', default: 'report.html', describe: 'file that `report` writes' })
    .option('only', { type: 'string', array: true, describe: 'experiments of `report`; absent means all' })
    .strictOptions()
    .parse();
  if (args.list) {
    for (const { name, shows, target } of EXPERIMENTS) print({ name, shows, target });
    return 0;
  }
  const name = String(args._[0] ?? 'all');
  const report = name === 'report';
  const chosen = EXPERIMENTS.filter((experiment) => (report
    ? args.only?.includes(experiment.name) ?? true
    : name === 'all' || experiment.name === name));
  if (chosen.length === 0) {
    process.stderr.write(`unknown experiment ${name}; --list names them\n`);
    return 2;
  }
  const lines: ReportLine[] = [];
  const emit: Print = (line) => {
    lines.push(line);
    print(line);
  };
  let passed = true;
  for (const experiment of chosen) {
    passed = (await runExperiment(experiment, args.seed, args.variant, emit)) && passed;
  }
  if (report) writeFileSync(args.out, renderReport(lines));
  return passed ? 0 : 1;
}

process.exitCode = await main();
