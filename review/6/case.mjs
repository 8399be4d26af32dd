// One of six replicas sends answers without end, in chunks of one byte.
import { spawn } from 'node:child_process';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { call, requestText } from '../lib-2/clients.mjs';
import { HOST, SERVICE, startDeployment } from '../lib-2/deployment.mjs';
import { Exit, Record } from '../lib-2/record.mjs';
import { answerHeaders } from '../lib-2/servers.mjs';

const trouble = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('.', import.meta.url)));

const SOUND_SERVERS = 5;

const CLIENTS = 30;

const WORK_MS = 60;

const TIMEOUT_MS = 800;

const DEADLINE_MS = 1_500;

/** Time after the route's timeout within which the rule wants a final answer. */
const LATE_MS = 500;

/** The rules are broken by so many requests without an answer by then, if they are over half of those that last. */
const MAX_UNANSWERED = 8;

const MAX_SHARE = 1 / 2;

const BEFORE_MS = 2_000;

const FAULT_MS = 6_500;

const AFTER_MS = 3_000;

const THINK_MS = 200;

const HEARTBEAT_MS = 1_200;

let deployment;
try {
  deployment = await startDeployment({
    network: 61,
    gateways: 2,
    servers: SOUND_SERVERS,
    routes: [{
      name: 'book', 'path-prefix': '/book/', kind: 'non_idempotent', 'timeout-ms': TIMEOUT_MS,
    }],
    run: async (req, res) => {
      await sleep(WORK_MS);
      res.writeHead(200, { ...answerHeaders(req), 'content-length': 6 });
      res.end('booked');
    },
  });
} catch (err) {
  record.add(`could not run: ${err.message}`);
  process.exit(Exit.NotRun);
}
const { store, gateways } = deployment;
const faulty = spawn(process.execPath, [fileURLToPath(new URL('faulty.mjs', import.meta.url)), '127.61.2.99'], {
  stdio: ['ignore', 'pipe', 'inherit'],
});
process.once('exit', () => faulty.kill('SIGKILL'));
const atFaulty = new Set();
const port = await new Promise((resolve) => {
  faulty.stdout.on('data', (text) => {
    for (const line of String(text).trim().split('\n')) {
      if (line.length < 10) resolve(Number(line));
      else atFaulty.add(line);
    }
  });
});
let sequence = 0;
const register = () => {
  sequence += 1;
  store.put('servers/i-app-6', JSON.stringify({
    service: SERVICE,
    address: `127.61.2.99:${port}`,
    zone: 'zone-1',
    version: '1',
    slots: 6,
    state: 'ready',
    'cold-remaining-ms': 0,
    sequence,
    born: 1,
  }));
};

const answers = [];
let stopped = false;
let sent = 0;
const clients = Array.from({ length: CLIENTS }, async (_none, index) => {
  const gateway = gateways[index % gateways.length];
  await sleep(index * 20);
  while (!stopped) {
    sent += 1;
    const id = `c6${String(sent).padStart(14, '0')}`;
    const answer = await Promise.race([
      call(gateway.address, requestText({
        host: HOST, path: '/book/', id, deadlineMs: DEADLINE_MS, method: 'POST', headers: { 'content-length': 0 },
      })),
      sleep(DEADLINE_MS, { status: 0, end: 'none by the deadline', tookMs: DEADLINE_MS }),
    ]);
    answers.push({ id, ...answer });
    if (answer.tookMs > TIMEOUT_MS) record.add(`${id} at ${gateway.name}${atFaulty.has(id) ? ', at the faulty replica' : ''}: status ${answer.status}, ${answer.end} after ${answer.tookMs} ms`);
    await sleep(THINK_MS);
  }
});
await sleep(BEFORE_MS);
record.add(trouble ? 'a sixth replica registers, which is in trouble' : 'no sixth replica registers');
const memory = gateways.map(() => 0);
const watch = setInterval(() => gateways.forEach((gateway, index) => {
  memory[index] = Math.max(memory[index], gateway.memoryMb());
}), 100);
if (trouble) register();
const heartbeat = setInterval(() => trouble && register(), HEARTBEAT_MS);
await sleep(FAULT_MS);
clearInterval(heartbeat);
if (trouble) store.remove('servers/i-app-6');
await sleep(AFTER_MS);
stopped = true;
await Promise.all(clients);
clearInterval(watch);
record.add(gateways.map(({ name, ended }, index) => `${name} ${ended === null ? 'runs' : `has ended with ${ended}`}, took ${memory[index]} MB at most`).join('; '));
faulty.kill('SIGKILL');
await deployment.stop();
const others = answers.filter(({ id }) => !atFaulty.has(id));
const lasting = others.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
const unanswered = lasting.filter(({ tookMs }) => tookMs > TIMEOUT_MS + LATE_MS);
record.add(`${answers.length} requests, ${atFaulty.size} reached the faulty replica; of the others ${lasting.length} lasted longer than ${TIMEOUT_MS} ms, ${unanswered.length} had no answer ${LATE_MS} ms later`);
const isBroken = unanswered.length >= MAX_UNANSWERED && unanswered.length > lasting.length * MAX_SHARE;
process.exit(isBroken ? Exit.Broken : Exit.Held);
