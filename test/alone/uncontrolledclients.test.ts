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
import { StoreStandIn } from '../../src/emulator/platformstore.js';
import { sendCall } from '../../src/emulator/sendcall.js';
import { GatewayProcess } from '../../src/soak/processes.js';
import { configuration } from '../support/gateway.js';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Memory in bytes of the machine in the settings of these tests. */
const MEMORY_BYTES = 160_000_000;

/** Descriptors of the machine in the settings of these tests. */
const DESCRIPTORS = 400;

const BODY_LIMIT = 1_048_576;

/** Timeout in ms of the routes where a test does not need a longer one. */
const USUAL_TIMEOUT_MS = 600;

/** Longest time in ms that the clients of a crowd keep sending; the checks do not depend on it. */
const SENDING_MS = 8_000;

let directory: string;
let program: string;
let store: StoreStandIn;
let server: ServerStandIn;
let gateway: GatewayProcess;
let crowd: Socket[];

const head = (id: string, lines: readonly string[]): string => [
  'POST /order/x HTTP/1.1', 'Host: shop.example', `Catkinscale-Request-Id: ${id}`, ...lines, '', '',
].join('\r\n');

const chunked = (id: string): string => head(id, ['Transfer-Encoding: chunked']);

/** Chunks of `size` bytes that stop one chunk short of `total` bytes. */
function chunksBelow(total: number, size: number): string {
  return `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`.repeat(Math.ceil(total / size) - 1);
}

/** Connects and sends `text`, then keeps the connection open; reads what arrives only where `reads` is set. */
function sendAndStay(address: string, text: string, reads = true): Promise<void> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  crowd.push(socket);
  if (reads) socket.resume();
  return new Promise((resolve) => {
    socket.on('error', () => resolve());
    socket.on('close', () => resolve());
    socket.write(text, () => resolve());
  });
}

async function sendCrowd(
  clients: number,
  text: (index: number) => string,
  address: string,
  reads = true,
): Promise<void> {
  const sent = Promise.all(Array.from({ length: clients }, (_, index) => sendAndStay(address, text(index), reads)));
  await Promise.race([sent, wait(SENDING_MS)]);
  // What the kernel has accepted is read by the process.
  await wait(1_000);
}

async function expectSoundGateway(): Promise<void> {
  const call = { method: 'POST', body: 'an ordinary body' };
  expect(await sendCall(gateway.callerAddress, '/order/x', call)).toMatchObject({ status: 200, body: 'done' });
  expect(gateway.isRunning()).toBe(true);
  expect(gateway.peakMemoryBytes()).toBeLessThan(MEMORY_BYTES);
  expect(gateway.openDescriptors()).toBeLessThan(DESCRIPTORS);
}

beforeAll(async () => {
  directory = mkdtempSync(join(tmpdir(), 'catkinscale-clients-'));
  program = await bundleProgram(root, directory);
}, 60_000);

beforeEach(async () => {
  crowd = [];
  store = new StoreStandIn();
  await store.start();
  server = new ServerStandIn('i-sound', (res) => sendSignedResponse(res, 'done'));
  await server.start();
  store.put('servers/i-sound', server.serverRecord('ledger'));
  const { routes, ...rest } = JSON.parse(configuration()) as { routes: object[]; limits: object };
  store.put('op/config', JSON.stringify({
    ...rest,
    routes: routes.map((route) => ({ ...route, 'timeout-ms': 15_000 })),
    limits: { ...rest.limits, 'max-body-bytes': BODY_LIMIT },
  }));
  gateway = new GatewayProcess('127.0.47.1', {
    program,
    directory,
    store: store.address,
    seeds: [],
    settings: ['[machine]', `memory = ${MEMORY_BYTES / 1_000_000} MB`, `descriptors = ${DESCRIPTORS}`],
  });
  await gateway.start();
});

afterEach(() => {
  for (const socket of crowd) socket.destroy();
  gateway.dispose();
  server.stop();
  store.stop();
});

describe('clients that stop just short of the end of their bodies', () => {
  // Guards against a process that runs out of memory on bodies that never end.
  it.each([
    ['chunks of 64 KB', 120, 65_536, BODY_LIMIT],
    ['chunks of 300 bytes', 120, 300, BODY_LIMIT],
    ['chunks of 16 bytes', 40, 16, 262_144],
    ['chunks of one byte', 24, 1, 65_536],
  ])('in %s end no gateway', async (_name, clients, size, total) => {
    const body = chunksBelow(total, size);
    await sendCrowd(clients, (index) => chunked(`u${index}`) + body, gateway.callerAddress);
    await expectSoundGateway();
  }, 40_000);

  it('with a length end no gateway', async () => {
    const length = `Content-Length: ${BODY_LIMIT}`;
    const body = 'x'.repeat(BODY_LIMIT - 1);
    await sendCrowd(120, (index) => head(`u${index}`, [length]) + body, gateway.callerAddress);
    await expectSoundGateway();
  }, 40_000);

  it('at the address for other gateways end no gateway', async () => {
    const body = chunksBelow(BODY_LIMIT, 16);
    await sendCrowd(12, (index) => chunked(`u${index}`).replace('/order/x', '/rpc') + body, gateway.peerAddress);
    await expectSoundGateway();
  }, 40_000);
});

describe('clients that misuse connections', () => {
  // Guards against a process that runs out of memory or descriptors on connections that it does not bound.
  it.each<[string, number, (index: number) => string]>([
    ['send nothing', 600, () => ''],
    ['send heads that never end', 600, () => `GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nX-Long: ${'y'.repeat(60_000)}`],
    ['wait for 100 Continue', 600, (index) => head(`u${index}`, ['Expect: 100-continue', 'Content-Length: 4'])],
    ['send trailers without end', 60, (index) => (
      `${chunked(`u${index}`)}1\r\nx\r\n0\r\n${'X-More: and more\r\n'.repeat(60_000)}`
    )],
    ['send extensions of chunks without end', 60, (index) => `${chunked(`u${index}`)}1;${'y'.repeat(1_000_000)}`],
    ['go on sending after a refusal', 60, (index) => (
      `${chunked(`u${index}`)}${chunksBelow(8 * BODY_LIMIT, 65_536)}`
    )],
  ])('and %s end no gateway', async (_name, clients, text) => {
    await sendCrowd(clients, text, gateway.callerAddress);
    expect(gateway.openDescriptors()).toBeLessThan(DESCRIPTORS);
    for (const socket of crowd) socket.destroy();
    await wait(500);
    await expectSoundGateway();
  }, 40_000);

  it('and pipeline calls without reading the answers end no gateway', async () => {
    const calls = 'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nCatkinscale-Request-Id: p\r\n\r\n'.repeat(3_000);
    await sendCrowd(30, () => calls, gateway.callerAddress, false);
    await expectSoundGateway();
  }, 40_000);

  it.each([
    ['readiness', 0], ['peers', 1], ['directory', 2], ['metrics', 3],
  ])('at the address of %s end no gateway', async (_name, index) => {
    const {
      readinessAddress, peerAddress, directoryAddress, metricsAddress,
    } = gateway;
    const address = [readinessAddress, peerAddress, directoryAddress, metricsAddress][index]!;
    await sendCrowd(600, () => `GET /x HTTP/1.1\r\nX-Long: ${'y'.repeat(12_000)}`, address);
    await expectSoundGateway();
  }, 40_000);
});

describe('a single call of a client inside the limits', () => {
  // Guards against limits that refuse what the operators allow.
  it.each([[1_048_576, 65_536], [65_536, 1]])('of %i bytes in chunks of %i bytes is served', async (total, size) => {
    const body = `${chunksBelow(total, size)}${size.toString(16)}\r\n${'x'.repeat(size)}\r\n0\r\n\r\n`;
    const [host, port] = gateway.callerAddress.split(':');
    const socket = connect(Number(port), host);
    crowd.push(socket);
    const answer = new Promise<string>((resolve) => {
      socket.once('data', (data) => resolve(data.toString()));
    });
    socket.write(chunked('one') + body);
    expect(await answer).toMatch(/^HTTP\/1\.1 200 /);
    expect(server.received.at(-1)?.body.length).toBe(total);
  }, 40_000);

  // Guards against bytes that are lost or reordered when a connection begins and ceases to be paced.
  it('in chunks of one byte arrives unchanged, also behind another one on its connection', async () => {
    const bodies = ['0123456789', 'abcdefghij', 'ABCDEFGHIJ'].map((digits) => digits.repeat(3_000));
    const [host, port] = gateway.callerAddress.split(':');
    const socket = connect(Number(port), host);
    crowd.push(socket);
    for (const [index, body] of bodies.entries()) {
      const answer = new Promise<string>((resolve) => {
        socket.once('data', (data) => resolve(data.toString()));
      });
      socket.write(`${chunked(`one${index}`)}${[...body].map((byte) => `1\r\n${byte}\r\n`).join('')}0\r\n\r\n`);
      expect(await answer).toMatch(/^HTTP\/1\.1 200 /);
    }
    expect(server.received.map(({ body }) => body)).toEqual(bodies);
  }, 40_000);
});

describe('clients that send chunks of one byte', () => {
  // Guards against a gateway that answers nobody for seconds while it reads the bodies of a few clients.
  it('delay no call of other clients beyond 500 ms after the usual timeout', async () => {
    const body = chunksBelow(BODY_LIMIT, 1);
    for (let index = 0; index < 12; index += 1) void sendAndStay(gateway.callerAddress, chunked(`u${index}`) + body);
    const answers = await Promise.all(Array.from({ length: 24 }, async (_, index) => {
      await wait(index * 50);
      return sendCall(gateway.callerAddress, '/safe/x');
    }));
    expect(answers.filter(({ body: text }) => text === 'done')).toHaveLength(24);
    expect(Math.max(...answers.map(({ tookMs }) => tookMs))).toBeLessThan(USUAL_TIMEOUT_MS + 500);
  }, 40_000);
});
