import fc from 'fast-check';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
  CallerTestServer, COMPLETION, errorOf, LIMITS, waitUntil,
} from './support/callers.js';
import { FakeAnswer } from './support/fakes.js';

const SEED = 20_261_204;

let bench: CallerTestServer;

beforeEach(async () => {
  bench = await CallerTestServer.open();
});

afterEach(() => bench.close());

describe('invalid or hostile input from callers', () => {
  it('is answered with 400 for malformed JSON', async () => {
    const reply = await bench.post('/v1/completions', '{"model":');
    expect([reply.status, errorOf(reply).code]).toEqual([400, 'invalid_request']);
  });

  it('is answered with 413 for a large body, with a content-length or chunked', async () => {
    const large = 'x'.repeat(LIMITS.body + 1);
    expect((await bench.post('/v1/completions', large)).status).toBe(413);
    const chunk = `${(1_000).toString(16)}\r\n${'x'.repeat(1_000)}\r\n`;
    const reply = await bench.sendRaw(`POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(21)}0\r\n\r\n`);
    expect(reply).toMatch(/^HTTP\/1\.1 413 /);
  });

  it('is answered with 408 for slow headers, while other requests are served', async () => {
    const slow = bench.sendRaw('POST /v1/completions HTTP/1.1\r\nhost: x\r\n');
    expect((await bench.post('/v1/completions', COMPLETION)).status).toBe(200);
    expect(await slow).toMatch(/^HTTP\/1\.1 408 [\s\S]*request_timeout/);
  });

  it('is answered with 400 for bytes that are not HTTP and 431 for large headers', async () => {
    expect(await bench.sendRaw('GARBAGE\r\n\r\n')).toMatch(/^HTTP\/1\.1 400 [\s\S]*malformed_request/);
    expect(await bench.sendRaw(`GET / HTTP/1.1\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`)).toMatch(/^HTTP\/1\.1 431 /);
  });

  it('is answered with 503 above the connection limit, while open connections are served', async () => {
    const ping = 'GET /ready HTTP/1.1\r\nhost: x\r\n\r\n';
    const held = Array.from({ length: LIMITS.connections }, () => bench.connect());
    const alive = await Promise.all(held.map((socket) => new Promise<string>((resolve) => {
      socket.once('data', (chunk) => resolve(chunk.toString()));
      socket.write(ping);
    })));
    expect(alive.every((text) => text.startsWith('HTTP/1.1 200'))).toBe(true);
    expect(await bench.sendRaw(ping)).toMatch(/^HTTP\/1\.1 503 [\s\S]*overloaded/);
    for (const socket of held) socket.destroy();
  });

  // Guards against an error answer that the caller would take for the answer to its running request.
  it('gets no error answer on a connection on which a request is running', async () => {
    bench.entry.answer = new FakeAnswer([], true);
    const socket = bench.connect();
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
    socket.write(`POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${COMPLETION.length}\r\n\r\n${COMPLETION}`);
    await waitUntil(() => bench.entry.generated.length === 1);
    socket.write('GARBAGE\r\n\r\n');
    await waitUntil(() => bench.entry.answer?.closed === true);
    await waitUntil(() => socket.closed);
    expect(received).toBe('');
  });

  // Guards against running a request after its connection was answered with `ran: no`.
  it('prevents a request from running if its connection is refused first', async () => {
    const reply = await bench.sendRaw(`POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${COMPLETION.length}\r\n\r\n${COMPLETION}GARBAGE\r\n\r\n`);
    expect(reply).toMatch(/^HTTP\/1\.1 400 [\s\S]*"ran":"no"/);
    expect(bench.entry.generated).toEqual([]);
  });

  it('is always answered and never stops the listener, whatever the body (fuzzed)', async () => {
    const json = fc.record({
      model: fc.oneof(fc.string(), fc.jsonValue()),
      prompt: fc.oneof(fc.string(), fc.jsonValue()),
      messages: fc.jsonValue(),
      max_tokens: fc.oneof(fc.integer(), fc.jsonValue()),
      stream: fc.oneof(fc.boolean(), fc.jsonValue()),
    }, { requiredKeys: [] }).map((value) => JSON.stringify(value));
    const body = fc.oneof(json, fc.string(), fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)));
    const path = fc.constantFrom('/v1/completions', '/v1/chat/completions', '/v1/call/ledger/book', '/v1/models', '//');
    await fc.assert(fc.asyncProperty(path, body, async (target, content) => {
      const reply = await bench.post(target, content);
      expect([200, 400, 404, 405]).toContain(reply.status);
      if (reply.status !== 200) expect(errorOf(reply)).toMatchObject({ ran: 'no' });
    }), { seed: SEED, numRuns: 200 });
  });

  it('is always answered and never stops the listener, whatever the headers (fuzzed)', async () => {
    const name = fc.constantFrom('x-priority', 'x-deadline-ms', 'x-workspace', 'x-kind', 'idempotency-key', 'last-event-id');
    const value = fc.string({ unit: 'grapheme-ascii', maxLength: 80 });
    await fc.assert(fc.asyncProperty(fc.dictionary(name, value), async (headers) => {
      const reply = await bench.post('/v1/completions', COMPLETION, headers);
      expect([200, 400]).toContain(reply.status);
    }), { seed: SEED, numRuns: 200 });
  });
});
