import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runSoak } from './run.js';

const MS_PER_S = 1_000;

const root = fileURLToPath(new URL('../..', import.meta.url));

const args = await yargs(hideBin(process.argv)).scriptName('npm run soak --')
  .usage('Runs gateways as processes, injects faults, and checks what callers and backend servers see.')
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('runs', { type: 'number', default: 1, describe: 'number of runs, one after another with consecutive seeds' })
  .option('seconds', { type: 'number', default: 20, describe: 'duration of the disturbances in a run' })
  .option('gateways', { type: 'number', default: 4, describe: 'number of gateways in a run' })
  .option('network', { type: 'number', default: 40, describe: 'second octet of the loopback addresses' })
  .option('log', { type: 'boolean', default: false, describe: 'print each disturbance' })
  .strict()
  .parse();

/** Exit code after SIGINT or SIGTERM. */
const INTERRUPTED = 130;

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(INTERRUPTED));

let failedRuns = 0;
for (let { seed } = args; seed < args.seed + args.runs; seed += 1) {
  const report = await runSoak({
    root,
    directory: join(root, 'dist', 'soak', String(seed)),
    seed,
    durationMs: args.seconds * MS_PER_S,
    gateways: args.gateways,
    network: args.network,
    log: (text) => {
      if (args.log) process.stderr.write(`${text}\n`);
    },
  });
  process.stdout.write(`${JSON.stringify(report)}\n`);
  if (report.violations.length > 0) failedRuns += 1;
}
process.exit(failedRuns === 0 ? 0 : 1);
