import { execFileSync, spawn } from 'node:child_process';
import {
  existsSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sendEntryRequest } from '../cli/client.js';
import {
  CALLER_PORT, Child, ENTRY_SETTINGS, SECRET_ENVIRONMENT,
} from './children.js';
import type { Experiment, ExperimentResult } from './experiment.js';
import { prepareEntry } from './overhead.js';

const ENGINES = 10;
const STARTS = 5;
const MAX_START_MS = 1_000;
const POLL_MS = 5;
/** A start that takes longer is reported with this time. */
const TIMEOUT_MS = 20_000;

const root = fileURLToPath(new URL('../..', import.meta.url));
const binary = join(root, 'dist', 'catkinscale');

const BODY = JSON.stringify({ model: 'bench', prompt: 'Is the hen well?', max_tokens: 1 });

/** Time in ms from the start of the process to its first complete answer; `TIMEOUT_MS` when it gives none. */
async function measureColdStart(settings: string): Promise<number> {
  const started = performance.now();
  const child = spawn(binary, ['serve', settings], {
    env: { ...process.env, ...SECRET_ENVIRONMENT }, stdio: 'ignore',
  });
  try {
    while (performance.now() - started < TIMEOUT_MS) {
      const reply = await sendEntryRequest({
        address: `127.0.0.1:${CALLER_PORT}`, method: 'POST', path: '/v1/completions', body: BODY, timeoutMs: 5_000,
      });
      if (reply.success && reply.data.status === 200) return performance.now() - started;
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
    return TIMEOUT_MS;
  } finally {
    const exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    await exited;
  }
}

/** Measures the cold start of the binary until it has served its first request. */
export const start: Experiment = {
  name: 'start',
  shows: 'time from starting the binary, with the fleet file in the key-value service, to the first whole answer',
  target: 'under 1 s',
  variants: ['binary'],
  async run(opts): Promise<ExperimentResult> {
    if (!existsSync(binary)) execFileSync('npm', ['run', 'build'], { cwd: root, stdio: 'ignore' });
    const directory = mkdtempSync(join(tmpdir(), 'catkinscale-'));
    const settings = join(directory, 'entry.ini');
    writeFileSync(settings, ENTRY_SETTINGS);
    const upstream = await Child.start({
      role: 'upstream', engines: ENGINES, upstream: { tokens: 1, spacingMs: 1 },
    });
    try {
      const first = await Child.start({ role: 'entry' });
      await prepareEntry(ENGINES);
      await first.stop();
      let slowest = 0;
      for (let { seed } = opts; seed < opts.seed + STARTS; seed += 1) {
        const startMs = Math.round(await measureColdStart(settings));
        slowest = Math.max(slowest, startMs);
        opts.emit({ variant: `start-${seed}`, start_ms: startMs });
      }
      return { pass: slowest < MAX_START_MS, figure: { slowest_ms: slowest } };
    } finally {
      await upstream.stop();
      rmSync(directory, { recursive: true });
    }
  },
};
