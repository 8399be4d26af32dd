import { ExitCode } from './outcome.js';

const args = process.argv.slice(2);

/** Runs the command. A killed gateway must restart quickly, so its command does not load the code of the others. */
async function runCommand(): Promise<ExitCode> {
  if (args[0] === 'gateway' && args[1] !== undefined && !args[1].startsWith('-') && args.length === 2) {
    const { runGateway } = await import('./gateway.js');
    const outcome = await runGateway(args[1]);
    const text = JSON.stringify(outcome.json);
    (outcome.exitCode === ExitCode.Done ? process.stdout : process.stderr).write(`${text}\n`);
    return outcome.exitCode;
  }
  const { run } = await import('./program.js');
  const { startEntry } = await import('./entry.js');
  return run(args, startEntry);
}

void (async () => {
  // Persistent connections to backend servers would keep the process alive for seconds after the command has ended.
  process.exit(await runCommand());
})();
