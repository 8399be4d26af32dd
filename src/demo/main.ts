import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as wait } from 'node:timers/promises';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { drain } from '../cli/commands.js';
import { ExitCode } from '../cli/outcome.js';
import { bundleProgram } from './bundle.js';
import { Deployment } from './deployment.js';
import { runGatewayDemo } from './gateways.js';
import { GALINHEIRO_LOAD, HALVORSEN_LOAD, LoadClient } from './load.js';
import { computeClassFigures, computeDemoFigures, formatFigures } from './report.js';

const LOAD_MS = 32_000;

const KILL_AT_MS = 9_000;

const DRAIN_AT_MS = 15_000;

const PROGRESS_MS = 4_000;

const DRAIN_TIMEOUT_MS = 30_000;

const KILLED_ENTRY = 1;

const DRAINED_ENTRY = 2;

const root = fileURLToPath(new URL('../..', import.meta.url));
const logs = join(root, 'dist', 'demo');
const started = performance.now();

function printProgress(text: string): void {
  process.stdout.write(`${((performance.now() - started) / 1_000).toFixed(1).padStart(5)} s  ${text}\n`);
}

/** Kills one entry and later drains another; resolves with whether the drained one stopped as planned. */
async function killAndDrainEntries(deployment: Deployment): Promise<boolean> {
  await wait(KILL_AT_MS);
  const killed = deployment.entries[KILLED_ENTRY]!;
  killed.child.kill('SIGKILL');
  printProgress(`killed ${killed.name}`);
  await wait(DRAIN_AT_MS - KILL_AT_MS);
  const drained = deployment.entries[DRAINED_ENTRY]!;
  const { settings, secrets } = drained.loaded;
  printProgress(`draining ${drained.name}`);
  const outcome = await drain({ at: settings.listen.operators, token: secrets.operatorToken }, DRAIN_TIMEOUT_MS);
  const code = await drained.exited;
  printProgress(`${drained.name} ${outcome.text}; exit ${code}`);
  return outcome.exitCode === ExitCode.Done && code === 0;
}

function printCurlCommands(deployment: Deployment, model: string): void {
  const { settings, secrets } = deployment.entries[0]!.loaded;
  const callers = `http://${settings.listen.callers}`;
  const operators = `http://${settings.listen.operators}`;
  const token = `-H 'Authorization: Bearer ${secrets.operatorToken.reveal()}'`;
  const body = JSON.stringify({ model, prompt: '[answer-tokens=20] Is the hen well?', stream: true });
  const service = deployment.fleet.services[0]!;
  process.stdout.write([
    '',
    `# ${deployment.fleet.name}`,
    `curl ${callers}/address`,
    `curl -N ${callers}/v1/completions -d '${body}'`,
    `curl ${callers}/v1/call/${service.name}/${service.nonIdempotent[0]} -H 'Idempotency-Key: order-1' -d '{"item":"coop"}'`,
    `curl ${callers}/v1/call/${service.name}/${service.idempotent[0]} -d '{"item":"coop"}'`,
    `curl ${token} ${operators}/show`,
    `curl ${token} ${operators}/dump`,
    `curl ${token} ${operators}/metrics`,
    `curl ${token} --data-binary @${deployment.fleetFile} ${operators}/apply`,
    '',
  ].join('\n'));
}

async function keepRunning(deployments: readonly Deployment[]): Promise<void> {
  printCurlCommands(deployments[0]!, HALVORSEN_LOAD.model);
  printCurlCommands(deployments[1]!, GALINHEIRO_LOAD.model);
  process.stdout.write('\nCtrl-C stops everything.\n');
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
  await Promise.all(deployments.map((deployment) => deployment.stop()));
}

async function runLoad(deployments: readonly Deployment[], seed: number): Promise<boolean> {
  const loads = [HALVORSEN_LOAD, GALINHEIRO_LOAD];
  const clients = deployments.map((deployment, index) => new LoadClient(loads[index]!, deployment, seed + index));
  const progress = setInterval(() => {
    printProgress(clients.map((client, index) => (
      `${loads[index]!.user}: ${client.records.length} ended, ${client.pendingRequests} open`
    )).join('; '));
  }, PROGRESS_MS);
  const begin = performance.now();
  const disturbed = Promise.all(deployments.map(killAndDrainEntries));
  await Promise.all(clients.map((client) => client.run(LOAD_MS)));
  const durationMs = performance.now() - begin;
  clearInterval(progress);
  const drained = (await disturbed).every(Boolean);
  printProgress('stopping all entries');
  const codes = (await Promise.all(deployments.map((deployment) => deployment.stop()))).flat();
  const unexpected = codes.filter((code, index) => code !== (index % 6 === KILLED_ENTRY ? null : 0));
  if (!drained || unexpected.length > 0) printProgress(`entries ended with ${codes.join(', ')}`);
  const records = clients.flatMap((client) => client.records);
  const classes = clients.flatMap(
    (client, index) => computeClassFigures(loads[index]!.user, client.records, durationMs),
  );
  const runTwice = clients.reduce((sum, client) => sum + client.runTwice, 0);
  const figures = computeDemoFigures(classes, records, runTwice);
  for (const { ending } of records) if (ending.type === 'cut') printProgress(`cut: ${ending.message}`);
  process.stdout.write(`\n${formatFigures(figures)}\n${JSON.stringify(figures)}\n`);
  return figures.cut === 0 && figures.run_twice === 0 && figures.wrong_answer === 0;
}

async function demonstrateGateways(program: string): Promise<number> {
  const figures = await runGatewayDemo(program, logs, printProgress);
  process.stdout.write(`${JSON.stringify(figures)}\n`);
  return figures.streamWhole && figures.ranTwice === 0 && figures.stoppedWith === 0 ? 0 : 1;
}

async function main(): Promise<number> {
  const args = await yargs(hideBin(process.argv)).scriptName('npm run demo --')
    .usage('Runs both users on this machine: stand-ins, twelve entries and a shifting load.')
    .option('keep', { type: 'boolean', default: false, describe: 'send no load, and leave everything running' })
    .option('gateways', {
      type: 'boolean', default: false, describe: "play three gateways over stand-ins of the users' platform",
    })
    .option('seed', { type: 'number', default: 1, describe: 'seed of the load' })
    .strict()
    .parse();
  const program = await bundleProgram(root, logs);
  if (args.gateways) return demonstrateGateways(program);
  const deployments = await Promise.all(['halvorsen', 'galinheiro'].map((user) => (
    Deployment.start(join(root, 'examples', user), program, logs)
  )));
  printProgress('twelve entries are ready');
  if (args.keep) {
    await keepRunning(deployments);
    return 0;
  }
  return await runLoad(deployments, args.seed) ? 0 : 1;
}

process.exit(await main());
