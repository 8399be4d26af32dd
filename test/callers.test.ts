import { connect } from 'node:net';
import fc from 'fast-check';
import OpenAI from 'openai';
import { request } from 'undici';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { SystemClock } from '../src/adapters/system.js';
import type { CallerOptions } from '../src/daemon/callers.js';
import { listenCallers } from '../src/daemon/callers.js';
import type { HttpListener } from '../src/daemon/http.js';
import { Ran } from '../src/core/refusals.js';
import {
  FakeAnswer, FakeEntry, quietLog, quietMeter, wordEvents,
} from './support/fakes.js';

const SEED = 20_261_204;

const LIMITS = { body: 20_000, connections: 40, headerTimeout: 300 };

let entry: FakeEntry;
let listener: HttpListener;
let base: string;

async function open(opts: Partial<CallerOptions> = {}): Promise<void> {
  const result = await listenCallers(entry, {
    address: '127.0.0.1:0',
    limits: LIMITS,
    buffer: 4_096,
    stall: 5_000,
    clock: new SystemClock(),
    log: quietLog,
    meter: quietMeter,
    ...opts,
  });
  if (!result.success) throw new Error(result.error.message);
  listener = result.data;
  base = `http://${listener.address}`;
}

interface Reply {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly text: string;
}

async function post(path: string, body: string | Buffer, headers: Record<string, string> = {}): Promise<Reply> {
  const res = await request(`${base}${path}`, { method: 'POST', headers, body });
  return { status: res.statusCode, headers: res.headers, text: await res.body.text() };
}

function errorOf(reply: Reply): Record<string, unknown> {
  return (JSON.parse(reply.text) as { error: Record<string, unknown> }).error;
}

/** Sends raw bytes and gives all that comes back until the connection ends. */
function raw(text: string, port = Number(listener.address.split(':')[1])): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
  });
}

async function until(check: () => boolean): Promise<void> {
  for (let round = 0; round < 400 && !check(); round += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  expect(check()).toBe(true);
}

const COMPLETION = JSON.stringify({ model: 'catalogue', prompt: 'Is the hen well?' });
const STREAM = JSON.stringify({ model: 'catalogue', prompt: 'Is the hen well?', stream: true });

beforeEach(async () => {
  entry = new FakeEntry();
  await open();
});

afterEach(() => listener.destroy());

describe('client library', () => {
  // Guards against answers that a client library cannot read once its base URL is changed.
  const client = (): OpenAI => new OpenAI({ apiKey: 'none', baseURL: `${base}/v1`, maxRetries: 0 });

  it('reads a completion', async () => {
    const answer = await client().completions.create({ model: 'catalogue', prompt: 'Is the hen well?' });
    expect(answer.choices[0]?.text).toBe('The hen is well.');
    expect(answer.usage?.completion_tokens).toBe(4);
  });

  it('reads a streamed completion', async () => {
    const stream = await client().completions.create({ model: 'catalogue', prompt: 'x', stream: true });
    const texts: string[] = [];
    for await (const chunk of stream) texts.push(chunk.choices[0]?.text ?? '');
    expect(texts.join('')).toBe('The hen is well.');
  });

  it('reads a chat answer', async () => {
    const answer = await client().chat.completions.create({
      model: 'catalogue', messages: [{ role: 'user', content: 'Is the hen well?' }],
    });
    expect(answer.choices[0]?.message.content).toBe('The hen is well.');
    expect(entry.generated[0]?.prompt).toBe('user: Is the hen well?\n\nassistant:');
  });

  it('reads a streamed chat answer with usage', async () => {
    const stream = await client().chat.completions.create({
      model: 'catalogue', messages: [{ role: 'user', content: 'x' }], stream: true, stream_options: { include_usage: true },
    });
    let text = '';
    let tokens = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      tokens += chunk.usage?.completion_tokens ?? 0;
    }
    expect([text, tokens]).toEqual(['The hen is well.', 4]);
  });

  it('lists models', async () => {
    const models = await client().models.list();
    expect(models.data.map((model) => model.id)).toEqual(['catalogue']);
  });

  it('shows a refusal as an error with its code', async () => {
    entry.refusal = { code: 'unknown_model', model: 'x' };
    await expect(client().completions.create({ model: 'x', prompt: 'x' })).rejects
      .toMatchObject({ status: 404, code: 'unknown_model' });
  });

  it('raises an error when a stream is interrupted', async () => {
    entry.answer = new FakeAnswer([
      ...[...wordEvents(['a ', 'b'])].slice(0, 2),
      { type: 'interrupted', resumable: true, refusal: { code: 'draining' } },
    ]);
    const stream = await client().completions.create({ model: 'catalogue', prompt: 'x', stream: true });
    const texts: string[] = [];
    await expect((async () => {
      for await (const chunk of stream) texts.push(chunk.choices[0]?.text ?? '');
    })()).rejects.toMatchObject({ code: 'draining' });
    expect(texts).toEqual(['a ', 'b']);
  });
});

describe('headers', () => {
  it('reach the entry', async () => {
    await post('/v1/completions', COMPLETION, {
      'x-priority': 'urgent', 'x-deadline-ms': '700', 'x-workspace': 'farm-7', 'x-kind': 'sick-hen',
    });
    expect(entry.generated[0]).toMatchObject({
      priority: 'urgent', deadlineMs: 700, workspace: 'farm-7', kind: 'sick-hen',
    });
  });

  it('are refused with their name when malformed', async () => {
    const reply = await post('/v1/completions', COMPLETION, { 'x-deadline-ms': 'soon' });
    expect(reply.status).toBe(400);
    expect(errorOf(reply)).toMatchObject({ code: 'invalid_request', ran: 'no' });
    expect(entry.generated).toEqual([]);
  });
});

describe('streams', () => {
  it('carry an event id on each token and resume after the last one', async () => {
    const whole = await post('/v1/completions', STREAM);
    expect(whole.text.match(/^id: .*$/gm)).toHaveLength(5);
    const rest = await post('/v1/completions', STREAM, { 'last-event-id': 'ticket.mac.1' });
    expect(entry.resumed).toEqual(['ticket.mac.1']);
    expect(rest.text.match(/^id: .*$/gm)).toEqual(['id: ticket.mac.2', 'id: ticket.mac.3', 'id: ticket.mac.4']);
  });

  // Guards against `ran: no` for an answer whose first tokens the caller already has.
  it('say that an interrupted answer has run', async () => {
    entry.answer = new FakeAnswer([
      ...[...wordEvents(['a'])].slice(0, 1),
      { type: 'interrupted', resumable: true, refusal: { code: 'draining' } },
    ]);
    const reply = await post('/v1/completions', STREAM);
    expect(reply.text).toContain(`"ran":"${Ran.Yes}"`);
    expect(reply.text).not.toContain('[DONE]');
  });

  it('give the place to continue when an answer that is not streamed is interrupted', async () => {
    entry.answer = new FakeAnswer([
      ...[...wordEvents(['a'])].slice(0, 1),
      { type: 'interrupted', resumable: true, refusal: { code: 'draining' } },
    ]);
    const reply = await post('/v1/completions', COMPLETION);
    expect(reply.status).toBe(503);
    expect(errorOf(reply)).toMatchObject({ ran: 'yes', resume: { last_event_id: 'ticket.mac.0', text: 'a' } });
  });

  it('have the status of the refusal when they fail before the first token', async () => {
    entry.answer = new FakeAnswer([
      { type: 'interrupted', resumable: false, refusal: { code: 'engine_failed', ran: Ran.Unknown } },
    ]);
    const reply = await post('/v1/completions', STREAM);
    expect([reply.status, errorOf(reply).ran]).toEqual([502, 'unknown']);
  });

  // Guards against engine streams that run on for callers that have gone.
  it('are closed when the caller disconnects', async () => {
    entry.answer = new FakeAnswer([...wordEvents(['a', 'b'])].slice(0, 2), true);
    const stop = new AbortController();
    const res = await request(`${base}/v1/completions`, { method: 'POST', body: STREAM, signal: stop.signal });
    expect(res.statusCode).toBe(200);
    stop.abort();
    res.body.on('error', () => {});
    await until(() => entry.answer?.closed === true);
  });

  // Guards against unbounded buffering for a caller that stops reading.
  it('are read from the engine only as fast as the caller reads, and end after the stall time', async () => {
    listener.destroy();
    await open({ stall: 200 });
    const word = 'x'.repeat(10_000);
    entry.answer = new FakeAnswer(wordEvents(Array.from({ length: 20_000 }, () => word)));
    const port = Number(listener.address.split(':')[1]);
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.pause();
    socket.write(`POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${STREAM.length}\r\n\r\n${STREAM}`);
    await until(() => entry.answer?.closed === true);
    expect(entry.answer.read).toBeLessThan(2_000);
    socket.destroy();
  });
});

describe('plain services', () => {
  it('get operation, key and body', async () => {
    const reply = await post('/v1/call/ledger/book', '{"hens":3}', { 'idempotency-key': 'k1', 'x-workspace': 'farm-7' });
    expect([reply.status, reply.text]).toEqual([200, '{"booked":true}']);
    expect(entry.called[0]).toMatchObject({
      service: 'ledger', operation: 'book', body: '{"hens":3}', idempotencyKey: 'k1', workspace: 'farm-7',
    });
  });

  it('pass on Retry-After in whole seconds', async () => {
    entry.refusal = { code: 'record_store_unavailable', ran: Ran.Unknown, retryAfterMs: 1_200 };
    const reply = await post('/v1/call/ledger/book', '{}');
    expect([reply.status, reply.headers['retry-after']]).toEqual([503, '2']);
    expect(errorOf(reply)).toMatchObject({ ran: 'unknown', retry_after_ms: 1_200 });
  });
});

describe('stopping entry', () => {
  // Guards against callers that stay on a kept connection until it is cut.
  it('ends kept connections with the next answer and still serves', async () => {
    entry.isReady = false;
    const reply = await post('/v1/completions', COMPLETION);
    expect([reply.status, reply.headers.connection]).toEqual([200, 'close']);
  });
});

describe('hostile input', () => {
  it('is answered with 400 for malformed JSON', async () => {
    const reply = await post('/v1/completions', '{"model":');
    expect([reply.status, errorOf(reply).code]).toEqual([400, 'invalid_request']);
  });

  it('is answered with 413 for a large body, announced or not', async () => {
    const large = 'x'.repeat(LIMITS.body + 1);
    expect((await post('/v1/completions', large)).status).toBe(413);
    const chunk = `${(1_000).toString(16)}\r\n${'x'.repeat(1_000)}\r\n`;
    const reply = await raw(`POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(21)}0\r\n\r\n`);
    expect(reply).toMatch(/^HTTP\/1\.1 413 /);
  });

  it('is answered with 408 for slow headers while others are served', async () => {
    const slow = raw('POST /v1/completions HTTP/1.1\r\nhost: x\r\n');
    expect((await post('/v1/completions', COMPLETION)).status).toBe(200);
    expect(await slow).toMatch(/^HTTP\/1\.1 408 [\s\S]*request_timeout/);
  });

  it('is answered with 400 for bytes that are not HTTP and 431 for large headers', async () => {
    expect(await raw('GARBAGE\r\n\r\n')).toMatch(/^HTTP\/1\.1 400 [\s\S]*malformed_request/);
    expect(await raw(`GET / HTTP/1.1\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`)).toMatch(/^HTTP\/1\.1 431 /);
  });

  it('is answered with 503 above the connection limit while open connections go on', async () => {
    const port = Number(listener.address.split(':')[1]);
    const ping = 'GET /ready HTTP/1.1\r\nhost: x\r\n\r\n';
    const held = Array.from({ length: LIMITS.connections }, () => connect(port, '127.0.0.1'));
    const alive = await Promise.all(held.map((socket) => new Promise<string>((resolve) => {
      socket.once('data', (chunk) => resolve(chunk.toString()));
      socket.write(ping);
    })));
    expect(alive.every((text) => text.startsWith('HTTP/1.1 200'))).toBe(true);
    expect(await raw(ping)).toMatch(/^HTTP\/1\.1 503 [\s\S]*overloaded/);
    for (const socket of held) socket.destroy();
  });

  // Guards against a refusal that a caller would take for the answer to its running request.
  it('gets no refusal on a connection whose request is running', async () => {
    entry.answer = new FakeAnswer([], true);
    const socket = connect(Number(listener.address.split(':')[1]), '127.0.0.1');
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
    socket.write(`POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${COMPLETION.length}\r\n\r\n${COMPLETION}`);
    await until(() => entry.generated.length === 1);
    socket.write('GARBAGE\r\n\r\n');
    await until(() => entry.answer?.closed === true);
    await until(() => socket.closed);
    expect(received).toBe('');
  });

  // Guards against running a request after its caller was told that nothing was run.
  it('keeps a request from running when its connection was refused first', async () => {
    const reply = await raw(`POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${COMPLETION.length}\r\n\r\n${COMPLETION}GARBAGE\r\n\r\n`);
    expect(reply).toMatch(/^HTTP\/1\.1 400 [\s\S]*"ran":"no"/);
    expect(entry.generated).toEqual([]);
  });

  it('never stops the listener, whatever the body (fuzzed)', async () => {
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
      const reply = await post(target, content);
      expect([200, 400, 404, 405]).toContain(reply.status);
      if (reply.status !== 200) expect(errorOf(reply)).toMatchObject({ ran: 'no' });
    }), { seed: SEED, numRuns: 200 });
  });

  it('never stops the listener, whatever the headers (fuzzed)', async () => {
    const name = fc.constantFrom('x-priority', 'x-deadline-ms', 'x-workspace', 'x-kind', 'idempotency-key', 'last-event-id');
    const value = fc.string({ unit: 'grapheme-ascii', maxLength: 80 });
    await fc.assert(fc.asyncProperty(fc.dictionary(name, value), async (headers) => {
      const reply = await post('/v1/completions', COMPLETION, headers);
      expect([200, 400]).toContain(reply.status);
    }), { seed: SEED, numRuns: 200 });
  });
});
