import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdirSync, openSync, writeFileSync } from 'node:fs';
import type { ServerResponse } from 'node:http';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { sendCall } from '../emulator/sendcall.js';
import type { Answer } from '../emulator/sendcall.js';
import { sendNotExecuted, ServerStandIn, sendSignedResponse } from '../emulator/backend.js';
import type { ReceivedCall } from '../emulator/backend.js';
import { StoreStandIn } from '../emulator/platformstore.js';

/** Each gateway has its own loopback address, so that all use the same ports, as on separate hosts. */
const GATEWAY_ADDRESSES = ['127.0.0.2', '127.0.0.3', '127.0.0.4'];

const PORTS = {
  callers: 24_801, readiness: 24_802, peers: 24_803, directory: 24_804, metrics: 24_805, exchange: 24_806,
} as const;

const EVENT_COUNT = 12;

const EVENT_PERIOD_MS = 40;

const START_TIMEOUT_MS = 10_000;

const ORDER_COUNT = 60;

const ORDER_PERIOD_MS = 25;

const GRACE_S = 2;

/** Results of the gateway demo. */
export interface GatewayFigures {
  readonly orders: number;
  /** Number of orders by HTTP status; 0 stands for a failed connection. */
  readonly byStatus: Readonly<Record<string, number>>;
  /** Number of runs in excess of one per order. */
  readonly ranTwice: number;
  /** Whether the stream whose engine was stopped arrived complete and in order. */
  readonly streamWhole: boolean;
  /** Number of engines that received a call of this stream. */
  readonly streamEngines: number;
  /** HTTP status of the call with a long prompt, which has a prefill stage. */
  readonly longPromptStatus: number;
  /** Exit code of the gateway that was stopped under load. */
  readonly stoppedWith: number | null;
}

interface GatewayProcess {
  readonly ip: string;
  readonly child: ChildProcess;
  readonly exited: Promise<number | null>;
}

function createConfiguration(): string {
  const route = {
    host: 'shop.example', 'timeout-ms': 3_000, 'target-latency-ms': 200, priority: 0, 'max-attempts': 2,
  };
  return JSON.stringify({
    version: 1,
    routes: [
      {
        ...route, name: 'order', 'path-prefix': '/order/', kind: 'non_idempotent', service: 'orders',
      },
      {
        ...route, name: 'talk', 'path-prefix': '/talk/', kind: 'streaming', resumable: true, service: 'model',
      },
    ],
    services: [
      { name: 'orders', 'max-connections': 50 }, { name: 'model', 'max-connections': 50, engine: { slots: 8 } },
    ],
    limits: {
      'max-header-bytes': 16_384, 'max-body-bytes': 65_536, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000,
    },
  });
}

function createSettings(ip: string, store: string): string {
  const at = (port: number): string => `${ip}:${port}`;
  return [
    '[gateway]', `name = ${ip}`, 'failure-domain = demo',
    '[listen]', ...Object.entries(PORTS).map(([name, port]) => `${name} = ${at(port)}`),
    '[peers]', `seeds = ${GATEWAY_ADDRESSES.map((seed) => `${seed}:${PORTS.peers}`).join(',')}`,
    '[store]', `address = ${store}`,
    '[directory]', 'keep = 100 ms',
    '[drain]', `grace = ${GRACE_S} s`,
    '',
  ].join('\n');
}

/** Streams numbered events, starting after the last event that the caller has received. */
function streamEvents(res: ServerResponse, call: ReceivedCall): void {
  res.writeHead(200, { 'Catkinscale-Server-Signature': 'demo', 'Content-Type': 'text/event-stream' });
  let id = Number(call.headers['last-event-id'] ?? 0);
  const timer = setInterval(() => {
    id += 1;
    res.write(`id: ${id}\ndata: piece ${id}\n\n`);
    if (id < EVENT_COUNT) return;
    clearInterval(timer);
    res.end();
  }, EVENT_PERIOD_MS);
  res.on('close', () => clearInterval(timer));
}

function createEngineHandler(name: string) {
  return (res: ServerResponse, call: ReceivedCall): void => {
    if (call.headers['catkinscale-stage'] === 'prefill') sendSignedResponse(res, `{"kv-handle":"${name}","tokens":9000,"version":1}`);
    else if (call.method === 'POST' && call.url.startsWith('/talk/')) streamEvents(res, call);
    else sendNotExecuted(res);
  };
}

function callGateway(ip: string, path: string, headers: Readonly<Record<string, string>>): Promise<Answer> {
  return sendCall(`${ip}:${PORTS.callers}`, path, { method: 'POST', headers, body: '{}' });
}

async function isReady(ip: string): Promise<boolean> {
  try {
    return (await fetch(`http://${ip}:${PORTS.readiness}/ready`)).status === 200;
  } catch {
    // The process does not listen yet.
    return false;
  }
}

function startGateway(program: string, ip: string, store: string, logs: string): GatewayProcess {
  const file = join(logs, `${ip}.ini`);
  writeFileSync(file, createSettings(ip, store));
  const child = spawn(process.execPath, [program, 'gateway', file], {
    stdio: ['ignore', openSync(join(logs, `${ip}.log`), 'w'), 'inherit'],
  });
  return {
    ip,
    child,
    exited: new Promise((resolve) => {
      child.once('exit', resolve);
    }),
  };
}

/** Sends orders at a fixed interval, in turn to each gateway except the stopped one, and returns all answers. */
async function sendOrders(
  running: readonly GatewayProcess[],
  stopped: () => GatewayProcess | null,
): Promise<readonly Answer[]> {
  const answers: Promise<Answer>[] = [];
  for (let index = 0; index < ORDER_COUNT; index += 1) {
    const open = running.filter((gateway) => gateway !== stopped());
    const { ip } = open[index % open.length]!;
    answers.push(callGateway(ip, '/order/new', { 'catkinscale-request-id': `order-${index}` }));
    await wait(ORDER_PERIOD_MS);
  }
  return Promise.all(answers);
}

/**
 * Runs three gateway processes with stand-ins for the platform. Sends orders while one gateway is stopped, and a stream
 * whose engine is stopped midway. Rejects if a gateway is not ready in time.
 */
export async function runGatewayDemo(
  program: string,
  logs: string,
  printProgress: (text: string) => void,
): Promise<GatewayFigures> {
  mkdirSync(logs, { recursive: true });
  const store = new StoreStandIn();
  await store.start();
  store.put('op/config', createConfiguration());
  const engines = ['p1', 'd1', 'd2', 'd3'].map((name) => new ServerStandIn(name, createEngineHandler(name)));
  const servers = ['o1', 'o2'].map((name) => new ServerStandIn(name, (res) => sendSignedResponse(res, 'done')));
  for (const engine of engines) {
    await engine.start();
    store.put(`servers/${engine.id}`, engine.serverRecord('model', { stage: engine.id === 'p1' ? 'prefill' : 'decode' }));
  }
  for (const server of servers) {
    await server.start();
    store.put(`servers/${server.id}`, server.serverRecord('orders'));
  }
  const running = GATEWAY_ADDRESSES.map((ip) => startGateway(program, ip, store.address, logs));
  try {
    const until = Date.now() + START_TIMEOUT_MS;
    for (const { ip } of running) {
      while (!await isReady(ip)) {
        if (Date.now() > until) throw new Error(`${ip} is not ready after ${START_TIMEOUT_MS} ms; see ${logs}`);
        await wait(20);
      }
    }
    printProgress(`${running.length} gateways are ready`);

    const talk = callGateway(GATEWAY_ADDRESSES[0]!, '/talk/x', { 'catkinscale-request-id': 'talk', 'catkinscale-token-count': '100,90' });
    const findStreamEngines = () => engines.filter(({ received }) => (
      received.some(({ headers }) => headers['catkinscale-request-id'] === 'talk')
    ));
    // Just after a start, a gateway first learns from the others which prompts it must not send.
    while (findStreamEngines().length === 0 && Date.now() < until) await wait(5);
    await wait((EVENT_COUNT / 2) * EVENT_PERIOD_MS);
    const first = findStreamEngines()[0];
    store.remove(`servers/${first?.id}`);
    first?.stop();
    printProgress(`stopped ${first?.id} in the middle of a stream`);
    const streamed = await talk;
    const ids = [...streamed.body.matchAll(/^id: (\d+)/gm)].map(([, id]) => Number(id));
    printProgress(`the stream came ${streamed.broken ? 'in part' : 'whole'}, from ${findStreamEngines().length} engines`);

    const long = await callGateway(GATEWAY_ADDRESSES[1]!, '/talk/long', {
      'catkinscale-request-id': 'long',
      'catkinscale-token-count': '60300,2',
      'catkinscale-prompt-prefix': 'a1:25000,b2:35000,c3:300',
    });

    let stopped: GatewayProcess | null = null;
    const orders = sendOrders(running, () => stopped);
    await wait((ORDER_COUNT / 2) * ORDER_PERIOD_MS);
    // Callers stop using this gateway 200 ms later, so it still receives calls during its stop.
    running[2]!.child.kill('SIGTERM');
    await wait(200);
    [, , stopped = null] = running;
    printProgress(`stopping ${GATEWAY_ADDRESSES[2]}`);
    const answers = await orders;
    const runs = servers.flatMap(({ received }) => received.map(({ headers }) => headers['catkinscale-request-id']));
    const byStatus: Record<string, number> = {};
    for (const { status } of answers) byStatus[status] = (byStatus[status] ?? 0) + 1;
    const stoppedWith = await running[2]!.exited;
    printProgress(`${answers.length} orders: ${JSON.stringify(byStatus)}; ${GATEWAY_ADDRESSES[2]} exit ${stoppedWith}`);
    return {
      orders: answers.length,
      byStatus,
      ranTwice: runs.length - new Set(runs).size,
      streamWhole: !streamed.broken
        && ids.join() === Array.from({ length: EVENT_COUNT }, (_, index) => index + 1).join(),
      streamEngines: findStreamEngines().length,
      longPromptStatus: long.status,
      stoppedWith,
    };
  } finally {
    for (const { child } of running) child.kill('SIGTERM');
    await Promise.all(running.map(({ exited }) => exited));
    for (const standIn of [...engines, ...servers, store]) standIn.stop();
  }
}
