import { hideBin } from 'yargs/helpers';
import { run } from './program.js';
import type { StartEntry } from './serve.js';
import { openLog } from '../daemon/logs.js';
import { startEntryProcess } from '../daemon/process.js';

const start: StartEntry = async ({ settings, secrets }) => (
  startEntryProcess(settings, secrets, await openLog({ entry: settings.entry.name }))
);

void (async () => {
  process.exitCode = await run(hideBin(process.argv), start);
})();
