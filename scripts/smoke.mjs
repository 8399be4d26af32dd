// Smoke test: runs three entries of the built binary against stand-ins, and pauses, kills and stops real processes.
import { spawn, spawnSync } from 'node:child_process';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { request } from 'undici';

const root = fileURLToPath(new URL('..', import.meta.url));
const binary = join(root, 'dist/catkinscale');
const example = (name) => join(root, 'examples/halvorsen', name);
const children = [];
const TIMEOUT_MS = 60_000;

function check(condition, message) {
  if (!condition) throw new Error(message);
  process.stdout.write(`ok: ${message}\n`);
}

function start(command, args) {
  const child = spawn(command, args, { cwd: root, stdio: ['ignore', 'ignore', 'inherit'] });
  children.push(child);
  return child;
}

async function waitUntil(condition, message) {
  for (let attempt = 0; attempt < 150; attempt += 1) {
    if (await condition()) {
      process.stdout.write(`ok: ${message}\n`);
      return;
    }
    await sleep(100);
  }
  throw new Error(`timed out: ${message}`);
}

function callerUrl(entry) {
  return `http://127.0.0.1:2110${entry}`;
}

async function isReady(entry) {
  try {
    const res = await request(`${callerUrl(entry)}/ready`);
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}

async function requestCompletion(entry, headers = {}) {
  const res = await request(`${callerUrl(entry)}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify({
      model: 'catalogue', prompt: 'smoke [answer-tokens=40]', max_tokens: 100, stream: true,
    }),
  });
  return { status: res.statusCode, text: await res.body.text() };
}

async function callLedger(entry) {
  const res = await request(`${callerUrl(entry)}/v1/call/ledger/order`, {
    method: 'POST', headers: { 'idempotency-key': 'smoke-1' }, body: '{"crates":1}',
  });
  return { status: res.statusCode, text: await res.body.text() };
}

async function run() {
  start(process.execPath, [
    join(root, 'node_modules/tsx/dist/cli.mjs'), 'src/emulator/main.ts', '--fleet', example('fleet.ini'),
    '--key-value', '127.0.0.1:21001', '--host-list', '127.0.0.1:21002',
  ]);
  const entries = [1, 2, 3].map((entry) => start(binary, ['serve', example(`entry-${entry}.ini`)]));
  await waitUntil(() => {
    const applied = spawnSync(binary, ['apply', example('fleet.ini'), '--settings', example('entry-1.ini')]);
    return applied.status === 0;
  }, 'a fleet file is applied');
  for (const entry of [1, 2, 3]) await waitUntil(() => isReady(entry), `entry ${entry} is ready`);
  await waitUntil(async () => (await requestCompletion(1)).status === 200, 'an answer is streamed');
  const first = await requestCompletion(1);
  const lines = first.text.split('\n');
  const eventId = lines.filter((line) => line.startsWith('id: '))[4].slice(4);
  check((await callLedger(1)).status === 200, 'a booking is made');
  entries[0].kill('SIGSTOP');
  const resumed = await requestCompletion(2, { 'last-event-id': eventId });
  const rest = lines.slice(lines.indexOf(`id: ${eventId}`) + 3).filter((line) => line.startsWith('data: {'));
  const texts = (data) => data.map((line) => JSON.parse(line.slice(6)).choices[0].text).join('');
  const again = resumed.text.split('\n').filter((line) => line.startsWith('data: {'));
  check(texts(again) === texts(rest), 'a stream resumes at another entry while the first is paused');
  check((await callLedger(2)).text.includes('"run":1'), 'a retry at another entry returns the stored outcome');
  entries[0].kill('SIGCONT');
  await waitUntil(() => isReady(1), 'the paused entry serves again');
  entries[1].kill('SIGKILL');
  check((await requestCompletion(3)).status === 200, 'another entry serves after a kill');
  const stopped = new Promise((resolve) => {
    entries[2].once('exit', resolve);
  });
  entries[2].kill('SIGTERM');
  check(await stopped === 0, 'a planned stop ends with exit code 0');
}

const watchdog = setTimeout(() => {
  process.stderr.write('the smoke test timed out\n');
  for (const child of children) child.kill('SIGKILL');
  process.exit(1);
}, TIMEOUT_MS);

try {
  await run();
} finally {
  clearTimeout(watchdog);
  for (const child of children) child.kill('SIGKILL');
}
