import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { createGateways } from './gateways.mjs';
import { Store } from './store.mjs';

/** Exit codes of a script; `run.sh` turns 91 into 1, with which Node.js itself ends after an error. */
export const Verdict = { Held: 0, Broken: 91, NotRun: 2 };

const LIMIT_MS = 115_000;

const MAX_NETWORK = 200;

/**
 * Runs one case: starts the store, calls `play` and ends with its verdict. `play` gets the store, a function that
 * creates gateways, a function that records an event, and whether the disruption is to happen.
 */
export async function runCase(folder, play) {
  const lines = [];
  const startedAt = performance.now();
  const record = (event, fields = {}) => {
    lines.push(JSON.stringify({ ms: Math.round(performance.now() - startedAt), event, ...fields }));
  };
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const network = 1 + (process.pid % MAX_NETWORK);
  const store = new Store();
  const gateways = [];
  const closers = [];
  const cleanUp = () => {
    for (const gateway of gateways) gateway.kill('SIGCONT');
    for (const gateway of gateways) gateway.kill('SIGKILL');
    for (const close of closers) close();
    store.stop();
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    rmSync(directory, { recursive: true, force: true });
  };
  const finish = (code) => {
    cleanUp();
    process.exit(code);
  };
  setTimeout(() => {
    record('verdict', { verdict: 'not run', reason: 'time limit' });
    finish(Verdict.NotRun);
  }, LIMIT_MS).unref();
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => finish(Verdict.NotRun));
  try {
    await store.start();
    const { broken, detail } = await play({
      store,
      record,
      trouble: process.env.TROUBLE !== '0',
      onEnd: (close) => closers.push(close),
      gateways: async (zones) => {
        const created = await createGateways(zones, {
          network, store: store.address, directory, record,
        });
        gateways.push(...created);
        return created;
      },
    });
    record('verdict', { verdict: broken ? 'broken' : 'held', ...detail });
    process.stdout.write(`${lines.at(-1)}\n`);
    finish(broken ? Verdict.Broken : Verdict.Held);
  } catch (err) {
    record('verdict', { verdict: 'not run', reason: String(err?.stack ?? err) });
    process.stdout.write(`${lines.at(-1)}\n`);
    finish(Verdict.NotRun);
  }
}
