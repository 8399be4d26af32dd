import { readFileSync, writeFileSync } from 'node:fs';
import { runSessions } from './sessions.js';

// Compares the transcripts with their golden files, or rewrites these files with `--update`.
const update = process.argv.includes('--update');
let differs = false;
for (const [name, text] of await runSessions()) {
  const file = new URL(`./${name}.golden`, import.meta.url);
  if (update) writeFileSync(file, text);
  else if (readFileSync(file, 'utf8') !== text) {
    differs = true;
    process.stderr.write(`${name} differs from its golden file\n`);
  }
}
// Exits explicitly, because the stand-ins keep timers for leases with a lifetime of a day.
process.exit(differs ? 1 : 0);
