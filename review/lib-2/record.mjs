// Record of one run, with the verdict by which the script exits.
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

export const Exit = { Held: 0, Broken: 1, NotRun: 2 };

export class Record {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.startedAt = Date.now();
    this.lines = [];
  }

  add(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3).padStart(7);
    this.lines.push(`${seconds} s  ${text}`);
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}
