import { readFileSync, writeFileSync } from 'node:fs';
import { runSessions } from './sessions.js';

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
// The stand-ins keep timers of leases that live for a day.
process.exit(differs ? 1 : 0);
