import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { Experiment } from './experiment.js';
import { EXPERIMENTS } from './registry.js';

function print(line: Record<string, unknown>): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function runExperiment(experiment: Experiment, seed: number, variant: string | undefined): Promise<boolean> {
  const verdict = await experiment.run({
    seed,
    ...(variant === undefined ? {} : { variant }),
    emit: (line) => print({ experiment: experiment.name, seed, ...line }),
  });
  print({
    experiment: experiment.name,
    seed,
    verdict: verdict.pass ? 'pass' : 'fail',
    target: experiment.target,
    figure: verdict.figure,
  });
  return verdict.pass;
}

async function main(): Promise<number> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run bench --')
    .usage('$0 NAME --seed N [--variant V]')
    .option('seed', { type: 'number', default: 1, describe: 'first seed' })
    .option('variant', { type: 'string', describe: 'run one variant only' })
    .option('list', { type: 'boolean', default: false, describe: 'name the experiments' })
    .strictOptions()
    .parse();
  if (args.list) {
    for (const { name, shows, target } of EXPERIMENTS) print({ name, shows, target });
    return 0;
  }
  const name = String(args._[0] ?? 'all');
  const chosen = EXPERIMENTS.filter((experiment) => name === 'all' || experiment.name === name);
  if (chosen.length === 0) {
    process.stderr.write(`unknown experiment ${name}; --list names them\n`);
    return 2;
  }
  let passed = true;
  for (const experiment of chosen) passed = (await runExperiment(experiment, args.seed, args.variant)) && passed;
  return passed ? 0 : 1;
}

process.exitCode = await main();
