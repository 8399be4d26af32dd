import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdirSync, openSync, writeFileSync } from 'node:fs';
import type { ServerResponse } from 'node:http';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { askAt } from '../emulator/asking.js';
import type { Answer } from '../emulator/asking.js';
import { notExecuted, ServerStandIn, signed } from '../emulator/backend.js';
import type { Received } from '../emulator/backend.js';
import { StoreStandIn } from '../emulator/platformstore.js';

/** Gateways share their ports, as on hosts of their own, so each has a loopback address. */
const GATEWAYS = ['127.0.0.2', '127.0.0.3', '127.0.0.4'];

const PORTS = {
  callers: 24_801, readiness: 24_802, peers: 24_803, directory: 24_804, metrics: 24_805, exchange: 24_806,
} as const;

const EVENTS = 12;

const EVENT_PERIOD_MS = 40;

const START_TIMEOUT_MS = 10_000;

const CALLS = 60;

const CALL_PERIOD_MS = 25;

const GRACE_S = 2;

/** What the callers of the demo got. */
export interface GatewayFigures {
  readonly orders: number;
  /** Orders by the status of their answer. */
  readonly byStatus: Readonly<Record<string, number>>;
  /** Orders that a server ran more than once. */
  readonly ranTwice: number;
  /** Whether the stream whose engine was stopped came whole and in order. */
  readonly streamWhole: boolean;
  /** Engines that worked on it. */
  readonly streamEngines: number;
  readonly longPromptStatus: number;
  /** Exit code of the gateway that was stopped under load. */
  readonly stoppedWith: number | null;
}

interface Running {
  readonly ip: string;
  readonly child: ChildProcess;
  readonly exited: Promise<number | null>;
}

function configuration(): string {
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

function settingsOf(ip: string, store: string): string {
  const at = (port: number): string => `${ip}:${port}`;
  return [
    '[gateway]', `name = ${ip}`, 'failure-domain = demo',
    '[listen]', ...Object.entries(PORTS).map(([name, port]) => `${name} = ${at(port)}`),
    '[peers]', `seeds = ${GATEWAYS.map((seed) => `${seed}:${PORTS.peers}`).join(',')}`,
    '[store]', `address = ${store}`,
    '[directory]', 'keep = 100 ms',
    '[drain]', `grace = ${GRACE_S} s`,
    '',
  ].join('\n');
}

/** Streams numbered events from the one after the last that the caller has. */
function stream(res: ServerResponse, call: Received): void {
  res.writeHead(200, { 'Catkinscale-Server-Signature': 'demo', 'Content-Type': 'text/event-stream' });
  let id = Number(call.headers['last-event-id'] ?? 0);
  const timer = setInterval(() => {
    id += 1;
    res.write(`id: ${id}\ndata: piece ${id}\n\n`);
    if (id < EVENTS) return;
    clearInterval(timer);
    res.end();
  }, EVENT_PERIOD_MS);
  res.on('close', () => clearInterval(timer));
}

function engineAnswer(name: string) {
  return (res: ServerResponse, call: Received): void => {
    if (call.headers['catkinscale-stage'] === 'prefill') signed(res, `{"kv-handle":"${name}","tokens":9000,"version":1}`);
    else if (call.method === 'POST' && call.url.startsWith('/talk/')) stream(res, call);
    else notExecuted(res);
  };
}

function ask(ip: string, path: string, headers: Readonly<Record<string, string>>): Promise<Answer> {
  return askAt(`${ip}:${PORTS.callers}`, path, { method: 'POST', headers, body: '{}' });
}

async function isReady(ip: string): Promise<boolean> {
  try {
    return (await fetch(`http://${ip}:${PORTS.readiness}/ready`)).status === 200;
  } catch {
    // The process has not opened its listener yet.
    return false;
  }
}

function start(program: string, ip: string, store: string, logs: string): Running {
  const file = join(logs, `${ip}.ini`);
  writeFileSync(file, settingsOf(ip, store));
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

/** Sends orders at a fixed period to the gateways that still take calls. */
async function order(running: readonly Running[], stopped: () => Running | null): Promise<readonly Answer[]> {
  const answers: Promise<Answer>[] = [];
  for (let index = 0; index < CALLS; index += 1) {
    const open = running.filter((gateway) => gateway !== stopped());
    const { ip } = open[index % open.length]!;
    answers.push(ask(ip, '/order/new', { 'catkinscale-request-id': `order-${index}` }));
    await wait(CALL_PERIOD_MS);
  }
  return Promise.all(answers);
}

/**
 * Plays three gateways as processes over stand-ins of the platform: orders while one gateway is stopped, and a stream
 * whose engine is stopped in the middle.
 */
export async function playGateways(
  program: string,
  logs: string,
  say: (text: string) => void,
): Promise<GatewayFigures> {
  mkdirSync(logs, { recursive: true });
  const store = new StoreStandIn();
  await store.start();
  store.put('op/config', configuration());
  const engines = ['p1', 'd1', 'd2', 'd3'].map((name) => new ServerStandIn(name, engineAnswer(name)));
  const servers = ['o1', 'o2'].map((name) => new ServerStandIn(name, (res) => signed(res, 'done')));
  for (const engine of engines) {
    await engine.start();
    store.put(`servers/${engine.id}`, engine.entry('model', { stage: engine.id === 'p1' ? 'prefill' : 'decode' }));
  }
  for (const server of servers) {
    await server.start();
    store.put(`servers/${server.id}`, server.entry('orders'));
  }
  const running = GATEWAYS.map((ip) => start(program, ip, store.address, logs));
  try {
    const until = Date.now() + START_TIMEOUT_MS;
    for (const { ip } of running) {
      while (!await isReady(ip)) {
        if (Date.now() > until) throw new Error(`${ip} is not ready after ${START_TIMEOUT_MS} ms; see ${logs}`);
        await wait(20);
      }
    }
    say(`${running.length} gateways are ready`);

    const talk = ask(GATEWAYS[0]!, '/talk/x', { 'catkinscale-request-id': 'talk', 'catkinscale-token-count': '100,90' });
    await wait((EVENTS / 2) * EVENT_PERIOD_MS);
    const ofTalk = () => engines.filter(({ received }) => (
      received.some(({ headers }) => headers['catkinscale-request-id'] === 'talk')
    ));
    const first = ofTalk()[0];
    store.remove(`servers/${first?.id}`);
    first?.stop();
    say(`stopped ${first?.id} in the middle of a stream`);
    const streamed = await talk;
    const ids = [...streamed.body.matchAll(/^id: (\d+)/gm)].map(([, id]) => Number(id));
    say(`the stream came ${streamed.broken ? 'in part' : 'whole'}, from ${ofTalk().length} engines`);

    const long = await ask(GATEWAYS[1]!, '/talk/long', {
      'catkinscale-request-id': 'long',
      'catkinscale-token-count': '9000,2',
      'catkinscale-prompt-prefix': 'a1:2500,b2:3500,c3:3000',
    });

    let stopped: Running | null = null;
    const orders = order(running, () => stopped);
    await wait((CALLS / 2) * CALL_PERIOD_MS);
    // Callers learn of it a moment later.
    running[2]!.child.kill('SIGTERM');
    await wait(200);
    [, , stopped = null] = running;
    say(`stopping ${GATEWAYS[2]}`);
    const answers = await orders;
    const runs = servers.flatMap(({ received }) => received.map(({ headers }) => headers['catkinscale-request-id']));
    const byStatus: Record<string, number> = {};
    for (const { status } of answers) byStatus[status] = (byStatus[status] ?? 0) + 1;
    const stoppedWith = await running[2]!.exited;
    say(`${answers.length} orders: ${JSON.stringify(byStatus)}; ${GATEWAYS[2]} exit ${stoppedWith}`);
    return {
      orders: answers.length,
      byStatus,
      ranTwice: runs.length - new Set(runs).size,
      streamWhole: !streamed.broken && ids.join() === Array.from({ length: EVENTS }, (_, index) => index + 1).join(),
      streamEngines: ofTalk().length,
      longPromptStatus: long.status,
      stoppedWith,
    };
  } finally {
    for (const { child } of running) child.kill('SIGTERM');
    await Promise.all(running.map(({ exited }) => exited));
    for (const standIn of [...engines, ...servers, store]) standIn.stop();
  }
}
