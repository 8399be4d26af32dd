import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runSoak } from './run.js';

const MS_PER_S = 1_000;

const root = fileURLToPath(new URL('../..', import.meta.url));

const args = await yargs(hideBin(process.argv)).scriptName('npm run soak --')
  .usage('Disturbs gateways that run as processes, and checks what callers and backend servers see.')
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('runs', { type: 'number', default: 1, describe: 'seeds that are played one after the other' })
  .option('seconds', { type: 'number', default: 20, describe: 'time of disturbances in a run' })
  .option('gateways', { type: 'number', default: 4, describe: 'gateways in a run' })
  .option('network', { type: 'number', default: 40, describe: 'second number of the loopback addresses' })
  .option('log', { type: 'boolean', default: false, describe: 'tell each disturbance' })
  .strict()
  .parse();

const INTERRUPTED = 130;

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(INTERRUPTED));

let broken = 0;
for (let { seed } = args; seed < args.seed + args.runs; seed += 1) {
  const report = await runSoak({
    root,
    directory: join(root, 'dist', 'soak', String(seed)),
    seed,
    durationMs: args.seconds * MS_PER_S,
    gateways: args.gateways,
    network: args.network,
    say: (text) => {
      if (args.log) process.stderr.write(`${text}\n`);
    },
  });
  process.stdout.write(`${JSON.stringify(report)}\n`);
  if (report.violations.length > 0) broken += 1;
}
process.exit(broken === 0 ? 0 : 1);
