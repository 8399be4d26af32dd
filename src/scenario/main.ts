import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { explore } from './explore.js';
import { scenarioIssueText } from './language.js';
import { runScenario } from './runner.js';

async function runFiles(files: readonly string[], seed: number): Promise<boolean> {
  let passed = true;
  for (const file of files) {
    const { issues } = await runScenario(readFileSync(file, 'utf8'), { file, seed });
    for (const issue of issues) process.stderr.write(`${scenarioIssueText(issue)}\n`);
    process.stdout.write(`${issues.length === 0 ? 'ok' : 'failed'} ${file}\n`);
    passed = passed && issues.length === 0;
  }
  return passed;
}

const args = await yargs(hideBin(process.argv))
  .usage('Runs scenario files, or random schedules of faults if no file is given.')
  .option('runs', { type: 'number', default: 100, describe: 'number of random schedules' })
  .option('seed', { type: 'number', default: 1, describe: 'seed of the simulation and of the random schedules' })
  .strictOptions()
  .parse();

const files = args._.map(String);
if (files.length > 0) process.exitCode = await runFiles(files, args.seed) ? 0 : 1;
else {
  const failure = await explore({ seed: args.seed, runs: args.runs });
  if (failure === null) process.stdout.write(`ok: ${args.runs} schedules, seed ${args.seed}\n`);
  else {
    process.stdout.write(failure.scenario);
    for (const issue of failure.issues) process.stderr.write(`${issue}\n`);
    process.exitCode = 1;
  }
}
