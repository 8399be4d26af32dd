import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { request } from 'undici';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type { HttpListener } from '../src/daemon/http.js';
import { HttpPeerClient, PeerListener } from '../src/daemon/peers.js';
import { fail, ok } from '../src/core/result.js';
import { Secret } from '../src/core/configuration/settings.js';
import { quietLog, quietMeter } from './support/fakes.js';

const SEED = 20_261_204;

const OPTS = { token: new Secret('peer-token-of-the-test'), log: quietLog, meter: quietMeter };

let server: PeerListener;
let listener: HttpListener;
let caller: HttpPeerClient;

beforeEach(async () => {
  server = new PeerListener(OPTS);
  const result = await server.listen('127.0.0.1:0');
  if (!result.success) throw new Error(result.error.message);
  listener = result.data;
  caller = new HttpPeerClient(OPTS);
});

afterEach(async () => {
  await caller.close();
  listener.destroy();
});

function call(method: string, params: unknown, timeoutMs = 2_000): ReturnType<HttpPeerClient['call']> {
  return caller.call(listener.address, method, params, { timeoutMs });
}

/** The bytes that the caller sends for one request. */
async function captureRequest(method: string): Promise<string> {
  let received = '';
  const spy = createServer((socket) => {
    socket.on('data', (chunk) => {
      received += chunk.toString();
      socket.destroy();
    });
  });
  await new Promise<void>((resolve) => {
    spy.listen(0, '127.0.0.1', () => resolve());
  });
  await caller.call(`127.0.0.1:${(spy.address() as AddressInfo).port}`, method, {}, { timeoutMs: 2_000 });
  spy.close();
  return received;
}

/** First chunk of the answer to raw bytes. */
function replay(bytes: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(Number(listener.address.split(':')[1]), '127.0.0.1', () => socket.write(bytes));
    socket.once('data', (chunk) => {
      resolve(chunk.toString());
      socket.destroy();
    });
  });
}

describe('a message of almost the largest size', () => {
  // Guards against a limit on memory that lets no large message through on a small machine.
  it('is received by a listener with the least memory', async () => {
    server.register('echo', async (params) => ok((params as { text: string }).text.length));
    const small = await server.listen('127.0.0.1:0', { memory: 1, connections: 4 });
    if (!small.success) throw new Error(small.error.message);
    const params = { text: 'x'.repeat(3_900_000) };
    expect(await caller.call(small.data.address, 'echo', params, { timeoutMs: 10_000 })).toEqual(ok(3_900_000));
    small.data.destroy();
  });
});

describe('calls that wait', () => {
  // Guards against a peer that is suspected because a probe waited for a connection behind calls that wait for changes.
  it('do not delay a probe', async () => {
    server.register('changes', () => new Promise((resolve) => {
      setTimeout(() => resolve(ok(null)), 1_000);
    }));
    server.register('probe', async () => ok('alive'));
    const waiting = [call('changes', {}), call('changes', {})];
    expect(await call('probe', {}, 400)).toEqual(ok('alive'));
    await Promise.all(waiting);
  });
});

describe('messages between entries', () => {
  it('transfer parameters and results', async () => {
    server.register('probe', (params) => Promise.resolve(ok({ echo: params })));
    expect(await call('probe', { revision: 3 })).toEqual(ok({ echo: { revision: 3 } }));
  });

  it('transfer a fleet file of maximum size with every character escaped', async () => {
    server.register('pushRevision', (params) => Promise.resolve(ok((params as { file: string }).file.length)));
    expect(await call('pushRevision', { file: '"'.repeat(1_000_000) })).toEqual(ok(1_000_000));
  });

  it('are rejected when their handler rejects them or their method is unknown', async () => {
    server.register('abandon', () => Promise.resolve(fail({ code: 'rejected', message: 'still sending' })));
    expect(await call('abandon', {})).toEqual(fail({ code: 'rejected', message: 'still sending' }));
    expect(await call('__proto__', {})).toMatchObject({ error: { code: 'rejected' } });
    expect(await call('constructor', {})).toMatchObject({ error: { code: 'rejected' } });
  });

  it('are rejected after their method was disposed', async () => {
    server.register('probe', () => Promise.resolve(ok(1))).dispose();
    expect(await call('probe', {})).toMatchObject({ error: { code: 'rejected' } });
  });

  it('are rejected if they carry another token', async () => {
    server.register('probe', () => Promise.resolve(ok(1)));
    const stranger = new HttpPeerClient({ ...OPTS, token: new Secret('peer-token-of-another') });
    expect(await stranger.call(listener.address, 'probe', {}, { timeoutMs: 2_000 }))
      .toMatchObject({ error: { code: 'rejected', message: 'HTTP status 401' } });
    await stranger.close();
  });

  it('fail with `timeout` without an answer, and with `unreachable` without a listener', async () => {
    server.register('probe', () => new Promise(() => {}));
    expect(await call('probe', {}, 50)).toMatchObject({ error: { code: 'timeout' } });
    listener.destroy();
    expect(await call('probe', {})).toMatchObject({ error: { code: 'unreachable' } });
  });

  // Guards against control traffic over 4 KB/s per node; probes are its most frequent messages.
  it('take less than 400 bytes for an empty request and its answer', async () => {
    server.register('probe', () => Promise.resolve(ok(null)));
    const sent = await captureRequest('probe');
    const answer = await replay(sent);
    expect(answer).toMatch(/^HTTP\/1\.1 200 OK/);
    expect(sent.length + answer.length).toBeLessThan(400);
  });

  it('are always answered and never stop the listener, whatever they contain (fuzzed)', async () => {
    server.register('probe', () => Promise.resolve(ok(1)));
    const token = /authorization: (.*)\r/.exec(await captureRequest('probe'))?.[1] ?? '';
    const message = fc.record({
      jsonrpc: fc.oneof(fc.constant('2.0'), fc.jsonValue()),
      id: fc.jsonValue(),
      method: fc.oneof(fc.constantFrom('probe', '__proto__', 'toString'), fc.jsonValue()),
      params: fc.jsonValue(),
    }, { requiredKeys: [] });
    const body = fc.oneof(
      message.map((value) => JSON.stringify(value)),
      fc.array(message).map((value) => JSON.stringify(value)),
      fc.json(),
      fc.uint8Array({ maxLength: 100 }).map((bytes) => Buffer.from(bytes)),
    );
    await fc.assert(fc.asyncProperty(body, async (content) => {
      const res = await request(`http://${listener.address}/`, {
        method: 'POST', headers: { authorization: token }, body: content,
      });
      expect([200, 400]).toContain(res.statusCode);
      await res.body.dump();
    }), { seed: SEED, numRuns: 300 });
    expect(await call('probe', {})).toEqual(ok(1));
  });
});
