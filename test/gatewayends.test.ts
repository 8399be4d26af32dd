import { mkdtempSync } from 'node:fs';
import { Agent } from 'node:http';
import type { ServerResponse } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as wait } from 'node:timers/promises';
import {
  afterAll, afterEach, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import { bundleProgram } from '../src/demo/bundle.js';
import { sendSignedResponse, ServerStandIn } from '../src/emulator/backend.js';
import type { ReceivedCall } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import type { Answer } from '../src/emulator/sendcall.js';
import { GatewayProcess, GRACE_MS } from '../src/soak/processes.js';
import { configuration } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

const root = fileURLToPath(new URL('..', import.meta.url));

const EVENT_PERIOD_MS = 20;

let directory: string;
let program: string;
let store: StoreStandIn;
let server: ServerStandIn;
let gateway: GatewayProcess;
let events = 0;
let respond: (res: ServerResponse, call: ReceivedCall) => void;

/** Streams events without length and without chunks, so that only the close of the connection ends them. */
function streamWithoutLength(res: ServerResponse): void {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
  res.writeHead(200, { 'Catkinscale-Server-Signature': 's1', 'Content-Type': 'text/event-stream' });
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    res.write(`id: ${event}\ndata: text\n\n`);
    if (event < events) return;
    clearInterval(timer);
    res.end();
  }, EVENT_PERIOD_MS);
  res.on('close', () => clearInterval(timer));
}

beforeAll(async () => {
  directory = mkdtempSync(join(tmpdir(), 'catkinscale-ends-'));
  program = await bundleProgram(root, directory);
  store = new StoreStandIn();
  await store.start();
  server = new ServerStandIn('i-1', (res, call) => respond(res, call));
  await server.start();
  store.put('servers/i-1', server.serverRecord('ledger', { slots: 64 }));
  for (const id of ['e-1', 'e-2']) store.put(`servers/${id}`, server.serverRecord('engine', { slots: 64, stage: 'decode' }));
  const base = JSON.parse(configuration()) as { routes: object[] };
  const routes = base.routes.map((route) => ({ ...route, 'timeout-ms': 20_000 }));
  store.put('op/config', JSON.stringify({ ...base, routes }));
}, 60_000);

afterAll(() => {
  server.stop();
  store.stop();
});

beforeEach(async () => {
  respond = streamWithoutLength;
  gateway = new GatewayProcess('127.0.42.1', {
    program, directory, store: store.address, seeds: [],
  });
  await gateway.start();
});

afterEach(() => gateway.dispose());

/** Time in ms that the server of the orders works on one of them. */
const WORK_MS = 86;

/** Time in ms for which callers send after the signal; the grace period is shorter. */
const SENDING_MS = 4_500;

/** Sends orders one after another on one connection, also until the gateway is gone, and returns those that ran. */
async function sendOrders(arrived: ReadonlySet<string>, name: string, deadlineMs: number): Promise<readonly string[]> {
  const cut: string[] = [];
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const endsAt = performance.now() + SENDING_MS;
  for (let sent = 0; performance.now() < endsAt; sent += 1) {
    const id = `${name}-${sent}`;
    const { status, broken } = await sendCall(gateway.callerAddress, '/order/x', {
      method: 'POST',
      body: 'x',
      agent,
      headers: { 'catkinscale-request-id': id, 'catkinscale-deadline-ms': String(deadlineMs) },
    });
    if (arrived.has(id) && (status === 0 || broken)) cut.push(id);
    if (status === 0) await wait(20);
  }
  agent.destroy();
  return cut;
}

/** Whether an answer looks complete to its caller although events are missing. */
function looksWhole({ status, body, broken }: Answer): boolean {
  return status === 200 && !broken && /\n\n$/.test(body) && !body.includes(`id: ${events}\n`);
}

describe.each(['/talk/x', '/long/x'])('a stream without length on %s', (path) => {
  const talk = (deadlineMs = 15_000) => sendCall(gateway.callerAddress, path, {
    method: 'POST',
    body: 'p',
    headers: {
      connection: 'close', 'catkinscale-token-count': '100,90', 'catkinscale-deadline-ms': String(deadlineMs),
    },
  });

  it('is passed on whole', async () => {
    events = 5;
    const answer = await talk();
    expect(answer).toMatchObject({ status: 200, broken: false });
    expect(answer.body.match(/id: /g)).toHaveLength(events);
  });

  // Guards against a stream that the end of the gateway cuts and that looks complete to its caller.
  it.each(['SIGKILL', 'SIGTERM'] as const)('does not look whole when %s ends the gateway before it', async (signal) => {
    events = 2_000;
    const answers = Array.from({ length: 20 }, () => talk());
    await wait(400);
    await gateway.terminate(signal);
    const whole = (await Promise.all(answers)).filter(looksWhole);
    expect(whole.map(({ body }) => body.length)).toEqual([]);
  }, 20_000);

  // Guards against a deadline or planned stop that is met late and closes a cut stream in the ordinary way.
  it.each([
    ['deadline', 500, 400, null], ['grace period', 15_000, GRACE_MS, 'SIGTERM'],
  ] as const)('does not look whole when the %s passes while the gateway stands still', async (_what, deadline, pauseMs, signal) => {
    events = 2_000;
    const answers = Array.from({ length: 20 }, () => talk(deadline));
    await wait(300);
    const stopped = signal === null ? null : gateway.terminate(signal);
    await gateway.pause(pauseMs);
    const whole = (await Promise.all(answers)).filter(looksWhole);
    expect(whole.map(({ body }) => body.length)).toEqual([]);
    await stopped;
  }, 20_000);
});

describe('a stream without length whose connection ends while the gateway stands still', () => {
  const STREAMS = 20;

  // Guards against resets that are read together with the bytes before them, and against closes that count as resets.
  it.each([
    ['is whole after an ordinary close', (res: ServerResponse) => res.end(), '', STREAMS],
    ['goes on after a reset, or breaks off where the retry budget is used up', (res: ServerResponse) => res.socket?.resetAndDestroy(), 'id: 3\n\n', 1],
  ])('%s', async (_what, end, rest, least) => {
    const open: ServerResponse[] = [];
    respond = (res, { headers }) => {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      res.writeHead(200, { 'Catkinscale-Server-Signature': 's1', 'Content-Type': 'text/event-stream' });
      if (headers['last-event-id'] === '2') res.end('id: 3\n\n');
      else {
        res.write('id: 1\n\n');
        open.push(res);
      }
    };
    const answers = Array.from({ length: STREAMS }, () => sendCall(gateway.callerAddress, '/long/x', {
      method: 'POST', body: 'p', headers: { connection: 'close', 'catkinscale-token-count': '100,90' },
    }));
    await waitUntil(() => open.length === STREAMS);
    await wait(50);
    const paused = gateway.pause(100);
    await wait(20);
    for (const res of open) res.write('id: 2\n\n', () => end(res));
    await paused;
    const whole = (await Promise.all(answers)).filter(({ broken, body }) => !broken && body.endsWith('\n\n'));
    expect(whole.filter(({ body }) => body !== `id: 1\n\nid: 2\n\n${rest}`).length).toBe(0);
    expect(whole.length).toBeGreaterThanOrEqual(least);
  }, 20_000);
});

describe('an order at a gateway that stops as planned', () => {
  // Guards against orders that are taken late in the grace period, passed on and cut at its end.
  it('gets its answer if it was passed on, whenever it was sent', async () => {
    const arrived = new Set<string>();
    respond = (res, { headers }) => {
      arrived.add(String(headers['catkinscale-request-id']));
      setTimeout(() => sendSignedResponse(res, 'done'), WORK_MS * (arrived.size % 10 === 0 ? 8 : 1));
    };
    const callers = Array.from({ length: 40 }, (_, index) => (
      sendOrders(arrived, `c${index}`, index % 4 === 0 ? 300 : 1_500)
    ));
    await wait(300);
    await gateway.terminate('SIGTERM');
    expect((await Promise.all(callers)).flat()).toEqual([]);
    expect(arrived.size).toBeGreaterThan(100);
  }, 20_000);
});
