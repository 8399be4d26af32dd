import { mkdtempSync } from 'node:fs';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as wait } from 'node:timers/promises';
import {
  afterEach, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import { bundleProgram } from '../../src/demo/bundle.js';
import { sendSignedResponse, ServerStandIn } from '../../src/emulator/backend.js';
import { EndlessServer } from '../../src/emulator/endlessserver.js';
import { StoreStandIn } from '../../src/emulator/platformstore.js';
import { sendCall } from '../../src/emulator/sendcall.js';
import { GatewayProcess } from '../../src/soak/processes.js';
import { ENDLESS_ANSWERS } from '../support/endlessanswers.js';
import { configuration } from '../support/gateway.js';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Calls to the faulty server at a time, as many as a small server runs. */
const FAULTY_CALLS = 12;

/** Calls to the sound server meanwhile. */
const SOUND_CALLS = 24;

const SOUND_CALL_PERIOD_MS = 50;

/** Timeout in ms of the routes. */
const ROUTE_TIMEOUT_MS = 600;

let directory: string;
let program: string;
let store: StoreStandIn;
let sound: ServerStandIn;
let gateway: GatewayProcess;
let callers: Socket[];

/** Sends a call, and reads its answer without keeping it. */
function callAndDiscard(path: string, id: string): void {
  const [host, port] = gateway.callerAddress.split(':');
  const socket = connect(Number(port), host);
  callers.push(socket);
  socket.on('error', () => {});
  socket.resume();
  socket.write(`POST ${path} HTTP/1.1\r\nHost: shop.example\r\nCatkinscale-Request-Id: ${id}\r\n`
    + 'Catkinscale-Token-Count: 100,90\r\nContent-Length: 1\r\n\r\nx');
}

beforeAll(async () => {
  directory = mkdtempSync(join(tmpdir(), 'catkinscale-endless-'));
  program = await bundleProgram(root, directory);
}, 60_000);

beforeEach(async () => {
  callers = [];
  store = new StoreStandIn();
  await store.start();
  sound = new ServerStandIn('i-sound', (res) => sendSignedResponse(res, 'done'));
  await sound.start();
});

afterEach(() => {
  for (const socket of callers) socket.destroy();
  gateway.dispose();
  sound.stop();
  store.stop();
});

describe('a backend server that sends bytes without end at full speed', () => {
  // Guards against a gateway that answers nobody for seconds while it reads the connections of one faulty server.
  it.each(ENDLESS_ANSWERS)('%s delays no call at other servers beyond its timeout', async (_where, begin, piece) => {
    const faulty = new EndlessServer(begin, { repeatedText: piece, periodMs: 0 });
    await faulty.start();
    store.put('servers/i-ledger', faulty.serverRecord('ledger', { slots: FAULTY_CALLS }));
    store.put('servers/i-sound', sound.serverRecord('sound'));
    const base = JSON.parse(configuration()) as { routes: object[]; services: object[] };
    const [safe, ...others] = base.routes;
    const routes = [{ ...safe, 'path-prefix': '/sound/', service: 'sound' }, ...others];
    store.put('op/config', JSON.stringify({ ...base, routes, services: [...base.services, { name: 'sound' }] }));
    gateway = new GatewayProcess('127.0.44.1', {
      program, directory, store: store.address, seeds: [],
    });
    await gateway.start();
    for (let index = 0; index < FAULTY_CALLS; index += 1) callAndDiscard('/order/x', `u${index}`);
    const answers = await Promise.all(Array.from({ length: SOUND_CALLS }, async (_, index) => {
      await wait(index * SOUND_CALL_PERIOD_MS);
      return sendCall(gateway.callerAddress, '/sound/x');
    }));
    faulty.stop();
    expect(answers.filter(({ body }) => body === 'done')).toHaveLength(SOUND_CALLS);
    expect(Math.max(...answers.map(({ tookMs }) => tookMs))).toBeLessThan(ROUTE_TIMEOUT_MS);
  });
});
