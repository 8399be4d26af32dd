import OpenAI from 'openai';
import { request } from 'undici';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { RanStatus } from '../src/core/refusals.js';
import {
  CallerTestServer, COMPLETION, errorOf, STREAM, waitUntil,
} from './support/callers.js';
import { FakeAnswer, tokenEvents } from './support/fakes.js';

let bench: CallerTestServer;

beforeEach(async () => {
  bench = await CallerTestServer.open();
});

afterEach(() => bench.close());

function interruptedAfter(...words: string[]): FakeAnswer {
  const events = [...tokenEvents(words)].slice(0, words.length);
  return new FakeAnswer([...events, { type: 'interrupted', resumable: true, refusal: { code: 'draining' } }]);
}

describe('OpenAI client library with another base URL', () => {
  // Guards against answers that the library cannot parse, so that callers would have to change more than the base URL.
  const client = (): OpenAI => new OpenAI({ apiKey: 'none', baseURL: `${bench.baseUrl}/v1`, maxRetries: 0 });

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
    expect(bench.entry.generated[0]?.prompt).toBe('user: Is the hen well?\n\nassistant:');
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

  it('raises a refusal as an error with status and code', async () => {
    bench.entry.refusal = { code: 'unknown_model', model: 'x' };
    await expect(client().completions.create({ model: 'x', prompt: 'x' })).rejects
      .toMatchObject({ status: 404, code: 'unknown_model' });
  });

  it('raises an error when a stream is interrupted', async () => {
    bench.entry.answer = interruptedAfter('a ', 'b');
    const stream = await client().completions.create({ model: 'catalogue', prompt: 'x', stream: true });
    const texts: string[] = [];
    await expect((async () => {
      for await (const chunk of stream) texts.push(chunk.choices[0]?.text ?? '');
    })()).rejects.toMatchObject({ code: 'draining' });
    expect(texts).toEqual(['a ', 'b']);
  });
});

describe('caller headers', () => {
  it('are passed to the entry', async () => {
    await bench.post('/v1/completions', COMPLETION, {
      'x-priority': 'urgent', 'x-deadline-ms': '700', 'x-workspace': 'farm-7', 'x-kind': 'sick-hen',
    });
    expect(bench.entry.generated[0]).toMatchObject({
      priority: 'urgent', deadlineMs: 700, workspace: 'farm-7', kind: 'sick-hen',
    });
  });

  it('are refused with 400 when malformed, and the request does not run', async () => {
    const reply = await bench.post('/v1/completions', COMPLETION, { 'x-deadline-ms': 'soon' });
    expect(reply.status).toBe(400);
    expect(errorOf(reply)).toMatchObject({ code: 'invalid_request', ran: 'no' });
    expect(bench.entry.generated).toEqual([]);
  });
});

describe('streams', () => {
  it('carry an event id on each token and are resumed after the last event id of the caller', async () => {
    const whole = await bench.post('/v1/completions', STREAM);
    expect(whole.text.match(/^id: .*$/gm)).toHaveLength(5);
    const rest = await bench.post('/v1/completions', STREAM, { 'last-event-id': 'ticket.mac.1' });
    expect(bench.entry.resumed).toEqual(['ticket.mac.1']);
    expect(rest.text.match(/^id: .*$/gm)).toEqual(['id: ticket.mac.2', 'id: ticket.mac.3', 'id: ticket.mac.4']);
  });

  // Guards against `ran: no` for an answer of which the caller has already received tokens.
  it('report `ran: yes` when interrupted after the first token', async () => {
    bench.entry.answer = interruptedAfter('a');
    const reply = await bench.post('/v1/completions', STREAM);
    expect(reply.text).toContain(`"ran":"${RanStatus.Yes}"`);
    expect(reply.text).not.toContain('[DONE]');
  });

  it('return the last event id and the text so far when an answer that is not streamed is interrupted', async () => {
    bench.entry.answer = interruptedAfter('a');
    const reply = await bench.post('/v1/completions', COMPLETION);
    expect(reply.status).toBe(503);
    expect(errorOf(reply)).toMatchObject({ ran: 'yes', resume: { last_event_id: 'ticket.mac.0', text: 'a' } });
  });

  it('answer with the status of the refusal when they fail before the first token', async () => {
    bench.entry.answer = new FakeAnswer([
      { type: 'interrupted', resumable: false, refusal: { code: 'engine_failed', ran: RanStatus.Unknown } },
    ]);
    const reply = await bench.post('/v1/completions', STREAM);
    expect([reply.status, errorOf(reply).ran]).toEqual([502, 'unknown']);
  });

  // Guards against engine streams that continue after their caller has disconnected.
  it('are closed when the caller disconnects', async () => {
    bench.entry.answer = new FakeAnswer([...tokenEvents(['a', 'b'])].slice(0, 2), true);
    const stop = new AbortController();
    const res = await request(`${bench.baseUrl}/v1/completions`, { method: 'POST', body: STREAM, signal: stop.signal });
    expect(res.statusCode).toBe(200);
    stop.abort();
    res.body.on('error', () => {});
    await waitUntil(() => bench.entry.answer?.closed === true);
  });

  // Guards against unbounded buffering for a caller that does not read.
  it('are read from the engine only as fast as the caller reads, and are closed after the stall time', async () => {
    bench.close();
    bench = await CallerTestServer.open({ stallTimeoutMs: 200 });
    const word = 'x'.repeat(10_000);
    bench.entry.answer = new FakeAnswer(tokenEvents(Array.from({ length: 20_000 }, () => word)));
    const socket = bench.connect();
    socket.on('error', () => {});
    socket.pause();
    socket.write(`POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${STREAM.length}\r\n\r\n${STREAM}`);
    await waitUntil(() => bench.entry.answer?.closed === true);
    expect(bench.entry.answer.readCount).toBeLessThan(2_000);
    socket.destroy();
  });
});

describe('plain services', () => {
  it('receive the operation, idempotency key, workspace and body of a call', async () => {
    const reply = await bench.post('/v1/call/ledger/book', '{"hens":3}', { 'idempotency-key': 'k1', 'x-workspace': 'farm-7' });
    expect([reply.status, reply.text]).toEqual([200, '{"booked":true}']);
    expect(bench.entry.called[0]).toMatchObject({
      service: 'ledger', operation: 'book', body: '{"hens":3}', idempotencyKey: 'k1', workspace: 'farm-7',
    });
  });

  it('are refused with Retry-After in whole seconds, rounded up', async () => {
    bench.entry.refusal = { code: 'record_store_unavailable', ran: RanStatus.Unknown, retryAfterMs: 1_200 };
    const reply = await bench.post('/v1/call/ledger/book', '{}');
    expect([reply.status, reply.headers['retry-after']]).toEqual([503, '2']);
    expect(errorOf(reply)).toMatchObject({ ran: 'unknown', retry_after_ms: 1_200 });
  });
});

describe('stopping entry', () => {
  // Guards against callers that stay on a persistent connection until the process closes it.
  it('closes a persistent connection after the next answer, and still serves that request', async () => {
    bench.entry.isReady = false;
    const reply = await bench.post('/v1/completions', COMPLETION);
    expect([reply.status, reply.headers.connection]).toEqual([200, 'close']);
  });
});
