import { ExitCode } from './outcome.js';

const args = process.argv.slice(2);

/** A gateway that was killed must be back at once, so its command loads nothing of the others. */
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
  // Kept connections to backend servers would hold the process for seconds after everything has stopped.
  process.exit(await runCommand());
})();
