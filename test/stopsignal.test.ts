import { spawn } from 'node:child_process';
import { copyFileSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as wait } from 'node:timers/promises';
import {
  beforeAll, describe, expect, it,
} from 'vitest';
import { bundleProgram } from '../src/demo/bundle.js';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Times in ms from the first listener for the signal to the signal; a start takes about 300 ms beside other work. */
const MOMENTS_MS = [0, 20, 40, 80, 120, 180, 250, 350, 500, 800];

const settingsOf = (ip: string): string => `
[gateway]
name = g
failure-domain = regina
[listen]
callers = ${ip}:24901
readiness = ${ip}:24902
peers = ${ip}:24903
directory = ${ip}:24904
metrics = ${ip}:24905
exchange = ${ip}:24906
[store]
address = ${ip}:24907
[drain]
grace = 1 s
`;

/** Time in ms between two signals. */
const SIGNAL_GAP_MS = 30;

let launcher: string;
let directory: string;

beforeAll(async () => {
  directory = mkdtempSync(join(tmpdir(), 'catkinscale-stop-'));
  copyFileSync(await bundleProgram(root, directory), join(directory, 'program.js'));
  launcher = join(directory, 'launcher.cjs');
  copyFileSync(join(root, 'scripts/launcher.cjs'), launcher);
});

/** Exit code and output of a gateway that gets signals one after another, the first one some time after its start. */
async function signalAfter(
  delayMs: number,
  index: number,
  signals: readonly NodeJS.Signals[],
): Promise<{ readonly code: number | null; readonly output: string }> {
  const settings = join(directory, `gateway-${index}.ini`);
  writeFileSync(settings, settingsOf(`127.0.0.${100 + index}`));
  const child = spawn(process.execPath, [
    '--require', join(root, 'test/support/announcestart.cjs'), launcher, 'gateway', settings,
  ], { stdio: ['ignore', 'pipe', 'inherit'] });
  let output = '';
  const exited = new Promise<number | null>((resolve) => {
    child.once('close', (code) => resolve(code));
  });
  await new Promise<void>((resolve) => {
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      resolve();
    });
  });
  await wait(delayMs);
  for (const signal of signals) {
    child.kill(signal);
    await wait(SIGNAL_GAP_MS);
  }
  return { code: await exited, output };
}

describe('a stop signal while a gateway starts', () => {
  // Guards against a process that a signal ends without a log line, because it has no listener for it yet.
  it('ends the process in order at any moment', async () => {
    const stopped = await Promise.all(MOMENTS_MS.map((delayMs, index) => signalAfter(delayMs, index, ['SIGTERM'])));
    expect(stopped.map(({ code }) => code)).toEqual(MOMENTS_MS.map(() => 0));
    for (const { output } of stopped) expect(output).toMatch(/"message":"stopped"/);
  }, 60_000);
});

describe('a signal for changed settings while a gateway starts', () => {
  // Guards against a process that ends by itself because the settings file has changed while it started.
  it('does not end the process at any moment', async () => {
    const signals = ['SIGHUP', 'SIGHUP', 'SIGTERM'] as const;
    const stopped = await Promise.all(MOMENTS_MS.map((delayMs, index) => signalAfter(delayMs, 20 + index, signals)));
    expect(stopped.map(({ code }) => code)).toEqual(MOMENTS_MS.map(() => 0));
  }, 60_000);
});
