import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { sendCall } from '../src/emulator/sendcall.js';
import { sendNotExecuted, ServerStandIn, sendSignedResponse } from '../src/emulator/backend.js';
import { EndlessServer } from '../src/emulator/endlessserver.js';
import type { EndlessOptions } from '../src/emulator/endlessserver.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

/** Timeout in ms of the routes that are called. */
const ROUTE_TIMEOUT_MS = 600;

/** Time in ms within which a call is answered and its connection closed: the timeout of the route and 500 ms. */
const FINAL_MS = 1_100;

/** Largest number of bytes that may be accepted of an endless answer, with the buffers of the operating system. */
const MOST_BYTES = 8_000_000;

const OK = 'HTTP/1.1 200 OK\r\n';

function signedHead(callId: string): string {
  return `${OK}Catkinscale-Request-Id: ${callId}\r\nCatkinscale-Server-Signature: s1\r\n`;
}

function refusalHead(callId: string): string {
  return 'HTTP/1.1 503 Service Unavailable\r\nCatkinscale-Not-Executed: 1\r\n'
    + `Catkinscale-Request-Id: ${callId}\r\n`;
}

let store: StoreStandIn;
let gateway: RunningGateway;
let running: { stop(): void }[];
let port = 21_600;

/** Starts a server that sends bytes without end. */
async function startEndlessServer(begin: (callId: string) => string, opts?: EndlessOptions): Promise<EndlessServer> {
  const server = new EndlessServer(begin, opts);
  await server.start();
  running.push(server);
  return server;
}

/** Starts a server that answers properly. */
async function startServer(id: string, answer: ConstructorParameters<typeof ServerStandIn>[1]): Promise<ServerStandIn> {
  const server = new ServerStandIn(id, answer);
  await server.start();
  running.push(server);
  return server;
}

/** Registers the servers and starts a gateway that uses them. */
async function startGatewayWith(servers: Record<string, string>): Promise<void> {
  for (const [id, entry] of Object.entries(servers)) store.put(`servers/${id}`, entry);
  store.put('op/config', configuration());
  port += 10;
  gateway = await startGateway(store, port);
  await waitUntil(() => {
    const { list } = gateway.gateway.dump().servers as { list: readonly unknown[] };
    return list.length === Object.keys(servers).length && gateway.gateway.ready();
  });
}

function connectionsTo(id: string): number {
  const { list } = gateway.gateway.dump().servers as { list: readonly { id: string; connections: number }[] };
  return list.find((server) => server.id === id)?.connections ?? 0;
}

beforeEach(async () => {
  running = [];
  store = new StoreStandIn();
  await store.start();
});

afterEach(async () => {
  await gateway.stop();
  for (const server of running) server.stop();
  store.stop();
});

describe('an endless answer of a backend server', () => {
  it.each([
    ['in its status line', () => 'HTTP/1.1 200 ', 'x'],
    ['in one header', () => `${OK}X-Long: `, 'x'],
    ['in an endless number of headers', () => OK, 'X-More: and more\r\n'],
    ['in an endless number of interim answers', () => '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
    ['that is not HTTP', () => '', '\u0000\u0001'],
  ])('%s is aborted with its call', async (_where, begin, piece) => {
    const server = await startEndlessServer(begin, { repeatedText: piece });
    await startGatewayWith({ 'i-1': server.serverRecord('ledger') });
    const startedAt = performance.now();
    const { status } = await sendCall(gateway.callers, '/order/x', { method: 'POST', body: 'x' });
    expect([502, 504]).toContain(status);
    await waitUntil(() => server.openConnections === 0);
    expect(performance.now() - startedAt).toBeLessThan(FINAL_MS);
    expect(server.writtenBytes).toBeLessThan(MOST_BYTES);
  });

  // Guards against a head without end that is read until the timeout of the route.
  it('in interim answers is given up long before the timeout of the route', async () => {
    const server = await startEndlessServer(() => '', { repeatedText: 'HTTP/1.1 103 Early Hints\r\n\r\n' });
    await startGatewayWith({ 'i-1': server.serverRecord('ledger') });
    const { status, tookMs } = await sendCall(gateway.callers, '/order/x', { method: 'POST', body: 'x' });
    expect(status).toBe(502);
    expect(tookMs).toBeLessThan(ROUTE_TIMEOUT_MS - 150);
  });

  it.each([
    ['without length', (id: string) => `${signedHead(id)}\r\n`],
    ['in chunks', (id: string) => `${signedHead(id)}Transfer-Encoding: chunked\r\n\r\nffffffff\r\n`],
  ])('in a body %s never looks complete, and is aborted at the timeout of the route', async (_how, begin) => {
    // The client library of the test treats a reset that arrives together with data as the end of the answer.
    const server = await startEndlessServer(begin, { periodMs: 40 });
    await startGatewayWith({ 'i-1': server.serverRecord('ledger') });
    const startedAt = performance.now();
    const { status, broken } = await sendCall(gateway.callers, '/order/x', { method: 'POST', body: 'x' });
    expect(status !== 200 || broken).toBe(true);
    await waitUntil(() => server.openConnections === 0);
    expect(performance.now() - startedAt).toBeLessThan(FINAL_MS);
  });

  it('after a complete answer does not reach the caller, and is soon aborted', async () => {
    const server = await startEndlessServer((id) => `${signedHead(id)}Content-Length: 4\r\n\r\ndone`);
    await startGatewayWith({ 'i-1': server.serverRecord('ledger') });
    expect(await sendCall(gateway.callers, '/order/x', { method: 'POST', body: 'x' })).toMatchObject({
      status: 200, body: 'done', broken: false,
    });
    await waitUntil(() => server.openConnections === 0);
    expect(server.writtenBytes).toBeLessThan(MOST_BYTES);
  });

  // Guards against a connection, a slot and memory that are never released, because the refusal's body is not read.
  it.each([
    ['without length', (id: string) => `${refusalHead(id)}\r\n`],
    ['in chunks', (id: string) => `${refusalHead(id)}Transfer-Encoding: chunked\r\n\r\nffffffff\r\n`],
    ['with a huge length', (id: string) => `${refusalHead(id)}Content-Length: 99999999999\r\n\r\n`],
  ])('in the body of a refusal %s is aborted soon after another server has answered', async (_how, begin) => {
    const server = await startEndlessServer(begin);
    const working = await startServer('i-2', (res) => sendSignedResponse(res, 'done'));
    await startGatewayWith({ 'i-1': server.serverRecord('ledger'), 'i-2': working.serverRecord('ledger') });
    for (let calls = 0; calls < 20 && server.writtenBytes === 0; calls += 1) {
      expect((await sendCall(gateway.callers, '/order/x', { method: 'POST', body: 'x' })).status).toBe(200);
    }
    expect(server.writtenBytes).toBeGreaterThan(0);
    await pause(FINAL_MS);
    expect([server.openConnections, connectionsTo('i-1')]).toEqual([0, 0]);
    expect(server.writtenBytes).toBeLessThan(MOST_BYTES);
  });

  // Guards against a connection of a control request that is never released.
  it('to the request that frees a KV cache is soon aborted', async () => {
    const server = await startEndlessServer((id) => (id === ''
      ? `${OK}\r\n`
      : `${signedHead(id)}Content-Length: 43\r\nConnection: close\r\n\r\n{"kv-handle":"h","tokens":9000,"version":1}`), { repeatedText: ' ' });
    const decoder = await startServer('d1', (res) => sendNotExecuted(res));
    await startGatewayWith({
      p1: server.serverRecord('engine', { stage: 'prefill' }), d1: decoder.serverRecord('engine', { stage: 'decode' }),
    });
    const { status } = await sendCall(gateway.callers, '/long/x', {
      method: 'POST',
      body: 'x',
      headers: { 'catkinscale-token-count': '60300,2', 'catkinscale-prompt-prefix': 'a1:25000,b2:35000,c3:300' },
    });
    expect(status).toBe(503);
    expect(server.writtenBytes).toBeGreaterThan(0);
    await pause(FINAL_MS);
    expect(server.openConnections).toBe(0);
    expect(server.writtenBytes).toBeLessThan(MOST_BYTES);
  });
});
