import { hideBin } from 'yargs/helpers';
import { run } from './program.js';
import type { StartEntry } from './serve.js';
import { openLog } from '../daemon/logs.js';
import { startEntryProcess } from '../daemon/process.js';

const start: StartEntry = async ({ settings, secrets }) => (
  startEntryProcess(settings, secrets, await openLog({ entry: settings.entry.name }))
);

void (async () => {
  // Kept connections to backend servers would hold the process for seconds after everything has stopped.
  process.exit(await run(hideBin(process.argv), start));
})();
