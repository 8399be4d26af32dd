import { mkdtempSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as wait } from 'node:timers/promises';
import {
  afterEach, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import { bundleProgram } from '../src/demo/bundle.js';
import { sendSignedResponse, ServerStandIn } from '../src/emulator/backend.js';
import { EndlessServer } from '../src/emulator/endlessserver.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { GatewayProcess } from '../src/soak/processes.js';
import { ENDLESS_ANSWERS } from './support/endlessanswers.js';
import { configuration } from './support/gateway.js';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Memory in bytes that the users' machines give a gateway. */
const MEMORY_BYTES = 350_000_000;

const CALLS = 40;

let directory: string;
let program: string;
let store: StoreStandIn;
let sound: ServerStandIn;
let gateway: GatewayProcess;

/** Sends a call and never reads its answer. */
function callWithoutReading(path: string, id: string): () => void {
  const [host, port] = gateway.callerAddress.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => {});
  socket.pause();
  socket.write(`POST ${path} HTTP/1.1\r\nHost: shop.example\r\nCatkinscale-Request-Id: ${id}\r\n`
    + 'Catkinscale-Token-Count: 100,90\r\nContent-Length: 1\r\n\r\nx');
  return () => socket.destroy();
}

beforeAll(async () => {
  directory = mkdtempSync(join(tmpdir(), 'catkinscale-endless-'));
  program = await bundleProgram(root, directory);
}, 60_000);

beforeEach(async () => {
  store = new StoreStandIn();
  await store.start();
  sound = new ServerStandIn('i-sound', (res) => sendSignedResponse(res, 'done'));
  await sound.start();
});

afterEach(() => {
  gateway.dispose();
  sound.stop();
  store.stop();
});

describe('a backend server that sends bytes without end at full speed', () => {
  // Guards against a gateway that keeps all bytes of a faulty server until its memory is used up.
  it.each(ENDLESS_ANSWERS)('%s uses up no memory and ends no gateway', async (_where, begin, piece) => {
    const faulty = new EndlessServer(begin, { repeatedText: piece, periodMs: 0 });
    await faulty.start();
    for (const service of ['ledger', 'engine']) {
      store.put(`servers/i-${service}`, faulty.serverRecord(service, { slots: 200 }));
    }
    store.put('servers/i-sound', sound.serverRecord('sound'));
    const base = JSON.parse(configuration()) as { routes: object[]; services: object[] };
    const [safe, ...others] = base.routes;
    const services = [...base.services.map((service) => ({ ...service, 'max-connections': 200 })), { name: 'sound' }];
    const routes = [{ ...safe, 'path-prefix': '/sound/', service: 'sound' }, safe, ...others];
    store.put('op/config', JSON.stringify({ ...base, routes, services }));
    gateway = new GatewayProcess('127.0.43.1', {
      program, directory, store: store.address, seeds: [],
    });
    await gateway.start();
    const closes = Array.from({ length: CALLS }, (_, index) => callWithoutReading('/long/x', `u${index}`));
    const answers = Promise.all(Array.from({ length: CALLS }, (_, index) => (
      sendCall(gateway.callerAddress, index % 2 === 0 ? '/order/x' : '/talk/x', { method: 'POST', body: 'x' })
    )));
    await wait(300);
    expect(await sendCall(gateway.callerAddress, '/sound/x')).toMatchObject({ status: 200, body: 'done' });
    await answers;
    expect(gateway.peakMemoryBytes()).toBeLessThan(MEMORY_BYTES);
    for (const close of closes) close();
    faulty.stop();
  }, 30_000);
});
