import { openLog } from '../daemon/logs.js';
import { startEntryProcess } from '../daemon/process.js';
import type { StartEntry } from './serve.js';

/** Starts an entry with its log on standard output. */
export const startEntry: StartEntry = async ({ settings, secrets }) => (
  startEntryProcess(settings, secrets, await openLog({ entry: settings.entry.name }))
);
